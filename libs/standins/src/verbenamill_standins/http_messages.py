"""HTTP/1.1 messages on a trio stream, parsed by httptools."""

import hashlib
from collections.abc import Mapping

import httptools
import trio
from msgspec import Struct

READ_SIZE = 64 * 1024
#: Bodies up to this length are kept; of longer ones only the digest.
KEPT_BODY = 256 * 1024
DIGEST_SIZE = 16

_PARSE_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserCallbackError,
    httptools.HttpParserUpgrade,
)


class Message(Struct, kw_only=True):
    """A whole request or response.

    :param target: request target; empty in a response.
    :param status: status code; 0 in a request.
    :param body: the body, unless longer than :data:`KEPT_BODY`.
    :param digest: digest of the whole body.
    """

    method: str = ''
    target: str = ''
    status: int = 0
    headers: dict[str, str]
    body: bytes
    length: int
    digest: str
    keep_alive: bool


class MessageReader:
    """Reads the messages of one kind from a stream, in order.

    :param parser_type: httptools' request or response parser.
    """

    def __init__(self, stream: trio.abc.ReceiveStream, parser_type: type):
        self._stream = stream
        self._parser = parser_type(self)
        self._ready: list[Message] = []
        self._begun = False
        self._reset()

    @property
    def begun(self) -> bool:
        """Whether a part of the next message has arrived."""
        return self._begun

    async def read(self) -> Message | None:
        """Next whole message; ``None`` when the stream ended or broke.

        :raises trio.BrokenResourceError: when the connection was reset.
        """
        while not self._ready:
            received = await self._stream.receive_some(READ_SIZE)
            if not received:
                return None
            try:
                self._parser.feed_data(received)
            except _PARSE_ERRORS:
                return None
        return self._ready.pop(0)

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Start a message."""
        self._reset()
        self._begun = True

    def on_url(self, part: bytes) -> None:
        """Take a part of the request target."""
        self._target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._length += len(part)
        self._hash.update(part)
        if self._length <= KEPT_BODY:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """Finish a message."""
        self._begun = False
        self._ready.append(
            Message(
                method=self._get_method(),
                target=self._target.decode('latin-1'),
                status=self._get_status(),
                headers=self._headers,
                body=b''.join(self._parts),
                length=self._length,
                digest=self._hash.hexdigest(),
                keep_alive=self._parser.should_keep_alive(),
            ),
        )

    def _get_method(self) -> str:
        if isinstance(self._parser, httptools.HttpRequestParser):
            return str(self._parser.get_method(), 'ascii')
        return ''

    def _get_status(self) -> int:
        if isinstance(self._parser, httptools.HttpResponseParser):
            return int(self._parser.get_status_code())
        return 0

    def _reset(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._length = 0
        self._hash = hashlib.blake2b(digest_size=DIGEST_SIZE)


def digest_body(body: bytes) -> str:
    """Digest by which the two ends of a call compare a body."""
    return hashlib.blake2b(body, digest_size=DIGEST_SIZE).hexdigest()


def encode_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """One request with a content length."""
    return _encode(f'{method} {target} HTTP/1.1', headers, body)


def encode_response(
    status: int,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """One response with a content length."""
    return _encode(f'HTTP/1.1 {status} -', headers, body)


def _encode(first: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [first]
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'content-length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body
