"""Reads answers that come one behind the other on a connection."""

import httptools
from msgspec import Struct

from verbenamill_platform_standins.callers import read_seal


class Answer(Struct, kw_only=True):
    """One whole answer.

    :param is_last: whether the daemon closes the connection behind it.
    """

    status: int
    seal: bytes
    body: bytes
    is_last: bool


class Answers:
    """What a connection has brought so far."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = b''
        self._whole: list[Answer] = []

    def feed(self, data: bytes) -> list[Answer]:
        """Answers that have become whole by further bytes.

        :raises httptools.HttpParserError: if it is no HTTP.
        """
        self._whole = []
        self._parser.feed_data(data)
        return self._whole

    def on_message_begin(self) -> None:
        """Begin the next answer."""
        self._headers = []
        self._body = b''

    def on_header(self, name: bytes, told: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), told))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """End the answer."""
        self._whole.append(
            Answer(
                status=self._parser.get_status_code(),
                seal=read_seal(self._headers),
                body=self._body,
                is_last=not self._parser.should_keep_alive(),
            ),
        )
