"""Reading and encoding of HTTP/1.1 messages on trio streams."""

import hashlib
from collections.abc import Mapping

import httptools
import trio
from msgspec import Struct

READ_CHUNK_BYTES = 64 * 1024
#: Parts of a body beyond this size are dropped. The length and the digest of
#: a message cover its complete body.
MAX_STORED_BODY_BYTES = 256 * 1024
DIGEST_BYTES = 16

_PARSE_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserCallbackError,
    httptools.HttpParserUpgrade,
)


class Message(Struct, kw_only=True):
    """A complete request or response.

    :param target: request target; empty for a response.
    :param status: status code; 0 for a request.
    :param body: the body, incomplete if it is longer than
        :data:`MAX_STORED_BODY_BYTES`.
    :param length: length of the complete body.
    :param digest: digest of the complete body.
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
    """Reads consecutive requests or responses from a stream.

    :param parser_type: request or response parser class of httptools.
    """

    def __init__(self, stream: trio.abc.ReceiveStream, parser_type: type):
        self._stream = stream
        self._parser = parser_type(self)
        self._complete_messages: list[Message] = []
        self._has_partial_message = False
        self._reset()

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message has been received."""
        return self._has_partial_message

    async def read(self) -> Message | None:
        """Return the next message; ``None`` at the end or on a parse error.

        :raises trio.BrokenResourceError: if the connection was reset.
        """
        while not self._complete_messages:
            chunk = await self._stream.receive_some(READ_CHUNK_BYTES)
            if not chunk:
                return None
            try:
                self._parser.feed_data(chunk)
            except _PARSE_ERRORS:
                return None
        return self._complete_messages.pop(0)

    # httptools calls the following methods while it parses.

    def on_message_begin(self) -> None:
        """Handle the start of a message."""
        self._reset()
        self._has_partial_message = True

    def on_url(self, part: bytes) -> None:
        """Handle a fragment of the request target."""
        self._target += part

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Handle a header field."""
        self._headers[name.decode('latin-1').lower()] = header_value.decode(
            'latin-1',
        )

    def on_body(self, part: bytes) -> None:
        """Handle a fragment of the body."""
        self._length += len(part)
        self._body_hash.update(part)
        if self._length <= MAX_STORED_BODY_BYTES:
            self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Handle the end of a message."""
        self._has_partial_message = False
        self._complete_messages.append(
            Message(
                method=self._get_method(),
                target=self._target.decode('latin-1'),
                status=self._get_status(),
                headers=self._headers,
                body=b''.join(self._body_parts),
                length=self._length,
                digest=self._body_hash.hexdigest(),
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
        self._body_parts: list[bytes] = []
        self._length = 0
        self._body_hash = hashlib.blake2b(digest_size=DIGEST_BYTES)


def digest_body(body: bytes) -> str:
    """Compute the digest with which both ends of a call compare a body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode_request(
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """Encode a request with a ``content-length`` header."""
    return _encode(f'{method} {target} HTTP/1.1', headers, body)


def encode_response(
    status: int,
    headers: Mapping[str, str],
    body: bytes = b'',
) -> bytes:
    """Encode a response with a ``content-length`` header."""
    return _encode(f'HTTP/1.1 {status} -', headers, body)


def _encode(start_line: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [start_line]
    lines.extend(
        f'{name}: {header_value}' for name, header_value in headers.items()
    )
    lines.append(f'content-length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body
