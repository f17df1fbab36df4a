"""Heads, bodies and framing of HTTP messages."""

from enum import Enum, unique
from http import HTTPStatus

from msgspec import Struct

Header = tuple[bytes, bytes]

#: Headers of one connection only, which no proxy may pass on (RFC 9110 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
FRAMING_HEADERS = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
INTERNAL_PREFIX = b'verbenamill-'


class Framing(Struct, frozen=True):
    """How the end of a body is told.

    :param length: bytes, when told before; ``None`` for a chunked body.
    """

    length: int | None = 0


EMPTY_BODY = Framing(0)
CHUNKED = Framing(None)


class RequestHead(Struct, kw_only=True):
    """Head of a request; header names are in lower case."""

    method: bytes
    target: bytes
    version: str
    headers: list[Header]
    framing: Framing
    keep_alive: bool


class ResponseHead(Struct, kw_only=True):
    """Head of an answer; header names are in lower case.

    :param is_framed: whether the end of the body can be told at all.
    :param is_bodiless: whether the head is all, as after HEAD.
    """

    status: int
    headers: list[Header]
    framing: Framing
    keep_alive: bool
    is_framed: bool = True
    is_bodiless: bool = False


@unique
class EndOfBody(Enum):
    """Marks the checked end of a body."""

    END = 'end'


class ReadFailure(Struct, frozen=True):
    """A connection that cannot be read any further.

    :param status: what to answer, if the fault is the sender's.
    """

    reason: str
    status: HTTPStatus | None = None


MessageEvent = RequestHead | ResponseHead | bytes | EndOfBody | ReadFailure


def get_header(headers: list[Header], name: bytes) -> bytes | None:
    """First value of a header, by its name in lower case."""
    for known, value in headers:
        if known == name:
            return value
    return None


def get_all_headers(headers: list[Header], name: bytes) -> list[bytes]:
    """All values of a header, by its name in lower case."""
    return [value for known, value in headers if known == name]


def parse_framing(headers: list[Header]) -> Framing:
    """How a message ends, by its headers."""
    for name, value in headers:
        if name == TRANSFER_ENCODING:
            return CHUNKED
        if name == CONTENT_LENGTH:
            return Framing(int(value))
    return EMPTY_BODY


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Headers that a proxy passes on.

    Hop-by-hop headers, those that ``Connection`` names, and our internal
    ones go: the next hop would take them for our own.
    """
    dropped = HOP_BY_HOP
    named = get_header(headers, b'connection')
    if named is not None and named.lower() not in _PLAIN_CONNECTION:
        names = (name.strip() for name in named.lower().split(b','))
        dropped = HOP_BY_HOP.union(names)
    return [
        pair
        for pair in headers
        if pair[0] not in dropped
        and pair[0] != CONTENT_LENGTH
        and not pair[0].startswith(INTERNAL_PREFIX)
    ]


_PLAIN_CONNECTION = (b'keep-alive', b'close')


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[Header],
    framing: Framing,
) -> bytes:
    """Head of a request as it goes over the wire."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if framing.length is None:
        lines.append(b'transfer-encoding: chunked')
    elif framing.length or method not in _BODILESS:
        lines.append(b'content-length: %d' % framing.length)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


_BODILESS = (b'GET', b'HEAD', b'OPTIONS', b'DELETE')


def encode_response(head: ResponseHead, *, close: bool) -> bytes:
    """Head of an answer as it goes over the wire.

    :param close: tell the other end that the connection ends here.
    """
    lines = [_status_line(head.status)]
    lines.extend(b'%b: %b' % pair for pair in head.headers)
    if head.framing.length is None:
        lines.append(b'transfer-encoding: chunked')
    elif head.framing.length or not head.is_bodiless:
        lines.append(b'content-length: %d' % head.framing.length)
    if close:
        lines.append(b'connection: close')
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def _status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b'HTTP/1.1 %d Other' % status


_STATUS_LINES = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}'.encode()
    for status in HTTPStatus
}


def encode_chunk(body: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(body), body)


LAST_CHUNK = b'0\r\n\r\n'
