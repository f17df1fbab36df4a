"""Parser for pipelined HTTP responses on one connection."""

import httptools
from msgspec import Struct

from verbenamill_platform_standins.callers import read_seal


class Response(Struct, kw_only=True):
    """A complete response.

    :param is_last: whether the daemon closes the connection after it.
    """

    status: int
    seal: bytes
    body: bytes
    is_last: bool


class ResponseParser:
    """Incremental parser of the responses on one connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = b''
        self._complete_responses: list[Response] = []

    def feed(self, data: bytes) -> list[Response]:
        """Parse more bytes and return the responses that they complete.

        :raises httptools.HttpParserError: if the bytes are not valid HTTP.
        """
        self._complete_responses = []
        self._parser.feed_data(data)
        return self._complete_responses

    def on_message_begin(self) -> None:
        """Reset the state for the next response."""
        self._headers = []
        self._body = b''

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Store a response header."""
        self._headers.append((name.lower(), header_value))

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Store the completed response."""
        self._complete_responses.append(
            Response(
                status=self._parser.get_status_code(),
                seal=read_seal(self._headers),
                body=self._body,
                is_last=not self._parser.should_keep_alive(),
            ),
        )
