"""Conversion of the callbacks of httptools into message events."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from verbenamill_http.messages import (
    FRAMING_HEADERS,
    EndOfBody,
    Header,
    MessageEvent,
    ReadFailure,
    RequestHead,
    ResponseHead,
    allows_body,
    parse_framing,
)

_UPGRADE_REFUSED = ReadFailure('upgrade is refused', HTTPStatus.NOT_IMPLEMENTED)


class _Collector:
    """Collects the events that the parser reports through callbacks.

    Bytes that follow a message become events of the next message, so that
    pipelined requests can be processed in order. The queue is limited to the
    events of a single read.

    Bytes that are part of no body are limited as well: a head, an interim
    response, the line of a chunk and trailers can each go on without end.

    :param max_head: longest head, and most bytes in sequence without any of a
        body or the end of a message, apart from those of a single read.
    """

    def __init__(self, max_head: int) -> None:
        self._parse: Callable[[bytes], None] = _parse_nothing
        self.events: deque[MessageEvent] = deque()
        self._max_head = max_head
        self._head_size = 0
        self._overhead = 0
        self._has_progressed = False
        self.headers: list[Header] = []
        self.is_in_head = True
        self.is_between_messages = True

    def feed(self, data: bytes) -> ReadFailure | None:
        """Parse received bytes; returns why no more of them can be parsed."""
        self._has_progressed = False
        try:
            self._parse(data)
        except HttpParserUpgrade:
            return _UPGRADE_REFUSED
        except HttpParserError as error:
            return ReadFailure(str(error), HTTPStatus.BAD_REQUEST)
        self._overhead = (
            0 if self._has_progressed else (self._overhead + len(data))
        )
        if self._overhead <= self._max_head:
            return None
        if self.is_in_head:
            return head_too_long(self._max_head)
        return ReadFailure(
            f'more than {self._max_head} bytes are part of no body',
            HTTPStatus.BAD_REQUEST,
        )

    def on_message_begin(self) -> None:
        self.headers = []
        self._head_size = 0
        self.is_in_head = True
        self.is_between_messages = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser also reports trailers here, after the head. They are
        # dropped, because a recipient must not merge trailers into the
        # headers without knowing their meaning.
        if self.is_in_head:
            self._head_size += len(name) + len(value)
            self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._has_progressed = True
        self.events.append(body)

    def add_head(self, head: RequestHead | ResponseHead) -> None:
        self._has_progressed = True
        if self._head_size <= self._max_head:
            self.events.append(head)
        else:
            self.events.append(head_too_long(self._max_head))

    def end_message(self) -> None:
        self._has_progressed = True
        self.is_between_messages = True
        self.events.append(EndOfBody.END)


class RequestCollector(_Collector):
    """Collects the events of consecutive requests."""

    def __init__(self, max_head: int) -> None:
        super().__init__(max_head)
        self.parser = HttpRequestParser(self)
        self._parse = self.parser.feed_data
        self._target = b''

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b''

    @property
    def method(self) -> bytes:
        """Method of the request; empty before its target was received."""
        return self.parser.get_method() if self._target else b''

    def on_url(self, target: bytes) -> None:
        self._head_size += len(target)
        self._target += target

    def on_message_complete(self) -> None:
        self.end_message()

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        if self.parser.should_upgrade():
            # The parser reads no body after an upgrade, whatever the length
            # header says, so a body could not be distinguished from the next
            # request.
            self.events.append(_UPGRADE_REFUSED)
            return
        head = RequestHead(
            method=self.parser.get_method(),
            target=self._target,
            version=self.parser.get_http_version(),
            headers=self.headers,
            framing=parse_framing(self.headers),
            keep_alive=self.parser.should_keep_alive(),
        )
        self.add_head(head)


class ResponseCollector(_Collector):
    """Collects the events of a single response.

    Each response gets a parser of its own: the parser cannot be told that a
    response to HEAD has no body, so it must not read beyond such a response.

    :param is_bodiless: whether no body follows, as in a response to HEAD.
    """

    def __init__(self, max_head: int, *, is_bodiless: bool) -> None:
        super().__init__(max_head)
        self.parser = HttpResponseParser(self)
        self._parse = self.parser.feed_data
        self.is_after_head = is_bodiless
        self._is_interim = False

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        status = self.parser.get_status_code()
        self._is_interim = status < HTTPStatus.OK
        if self._is_interim:
            return
        names = {name for name, _ in self.headers}
        is_bodiless = self.is_after_head or not allows_body(b'', status)
        head = ResponseHead(
            status=status,
            headers=self.headers,
            framing=parse_framing(self.headers),
            keep_alive=self.parser.should_keep_alive() or self.is_after_head,
            is_framed=is_bodiless or not FRAMING_HEADERS.isdisjoint(names),
            is_bodiless=is_bodiless,
        )
        self.add_head(head)
        if self.is_after_head:
            self.end_message()

    def on_message_complete(self) -> None:
        if not self._is_interim and not self.is_after_head:
            self.end_message()


def _parse_nothing(data: bytes) -> None:
    """Parser of a collector that has none yet."""


def head_too_long(max_head: int) -> ReadFailure:
    """Return the failure of a message whose head exceeds the limit."""
    return ReadFailure(
        f'head is longer than {max_head} bytes',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )
