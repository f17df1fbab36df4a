"""Data types and encoding of HTTP/1.1 messages."""

from enum import Enum, unique
from http import HTTPStatus

from msgspec import Struct

Header = tuple[bytes, bytes]

#: Headers that apply to a single connection and that a proxy must not forward
#: (RFC 9110, section 7.6.1).
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
    """How the end of a message body is determined.

    :param length: length of the body in bytes; ``None`` for a chunked body.
    """

    length: int | None = 0


EMPTY_BODY = Framing(0)
CHUNKED = Framing(None)


class RequestHead(Struct, kw_only=True):
    """Request line and headers; header names are in lower case."""

    method: bytes
    target: bytes
    version: str
    headers: list[Header]
    framing: Framing
    keep_alive: bool


class ResponseHead(Struct, kw_only=True):
    """Status line and headers; header names are in lower case.

    :param is_framed: whether the headers determine where the body ends.
    :param is_bodiless: whether no body follows, as in a response to HEAD.
    """

    status: int
    headers: list[Header]
    framing: Framing
    keep_alive: bool
    is_framed: bool = True
    is_bodiless: bool = False

    @property
    def is_sized(self) -> bool:
        """Whether it is known how long the body is."""
        return self.is_bodiless or (
            self.is_framed and self.framing.length is not None
        )


@unique
class EndOfBody(Enum):
    """Event that marks the end of a complete message body."""

    END = 'end'


class ReadFailure(Struct, frozen=True):
    """Event that reports why a connection cannot be read any further.

    :param status: status of the error response, if the sender is at fault.
    """

    reason: str
    status: HTTPStatus | None = None


MessageEvent = RequestHead | ResponseHead | bytes | EndOfBody | ReadFailure


def allows_body(method: bytes, status: int) -> bool:
    """Whether a response has a body (RFC 9110, section 6.4.1).

    :param method: method of the request; empty if it is not known.
    """
    return (
        method != b'HEAD'
        and status >= HTTPStatus.OK
        and status not in _STATUSES_WITHOUT_BODY
    )


_STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


def find_length(headers: list[Header]) -> int | None:
    """Length of the body of a parsed message; ``None`` if it has none."""
    length = get_header(headers, CONTENT_LENGTH)
    return None if length is None else int(length)


def get_header(headers: list[Header], name: bytes) -> bytes | None:
    """Return the first value of a header.

    :param name: name of the header in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def get_all_headers(headers: list[Header], name: bytes) -> list[bytes]:
    """Return all values of a header.

    :param name: name of the header in lower case.
    """
    return [value for key, value in headers if key == name]


def parse_framing(headers: list[Header]) -> Framing:
    """Determine the framing of a message from its headers."""
    for name, value in headers:
        if name == TRANSFER_ENCODING:
            return CHUNKED
        if name == CONTENT_LENGTH:
            return Framing(int(value))
    return EMPTY_BODY


def end_to_end_headers(headers: list[Header]) -> list[Header]:
    """Return the headers that a proxy forwards.

    Hop-by-hop headers, headers listed in ``Connection`` and the internal
    headers of the mesh are removed: the next hop would otherwise assume that
    this proxy had set them itself.
    """
    excluded = HOP_BY_HOP
    connection = get_header(headers, b'connection')
    if connection is not None and connection.lower() not in _PLAIN_OPTIONS:
        options = (option.strip() for option in connection.lower().split(b','))
        excluded = HOP_BY_HOP.union(options)
    return [
        pair
        for pair in headers
        if pair[0] not in excluded
        and pair[0] != CONTENT_LENGTH
        and not pair[0].startswith(INTERNAL_PREFIX)
    ]


#: Values of ``Connection`` that list no further headers.
_PLAIN_OPTIONS = (b'keep-alive', b'close')


def encode_request(
    method: bytes,
    target: bytes,
    headers: list[Header],
    framing: Framing,
) -> bytes:
    """Encode the head of a request for sending."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if framing.length is None:
        lines.append(b'transfer-encoding: chunked')
    elif framing.length or method not in _METHODS_WITHOUT_BODY:
        lines.append(b'content-length: %d' % framing.length)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


_METHODS_WITHOUT_BODY = (b'GET', b'HEAD', b'OPTIONS', b'DELETE')


def encode_response(head: ResponseHead, *, close: bool) -> bytes:
    """Encode the head of a response for sending.

    :param close: whether to announce that the connection is closed after
        this response.
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
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(body), body)


LAST_CHUNK = b'0\r\n\r\n'
