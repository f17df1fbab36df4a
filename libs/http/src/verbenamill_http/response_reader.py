"""Assembles the response to one request from what its connection receives."""

from collections.abc import Callable
from enum import Enum, unique

from msgspec import Struct

from verbenamill_http.messages import (
    EndOfBody,
    Header,
    ReadFailure,
    ResponseHead,
    find_length,
)
from verbenamill_http.parsing import ResponseCollector
from verbenamill_http.unsized_bodies import UnsizedBodies


@unique
class ExchangeFailure(Enum):
    """Why a request has no response.

    ``NOT_SENT`` proves that the server has not received the request. After
    ``CONNECTION_LOST`` and ``MALFORMED`` the server may have executed it.
    """

    NOT_SENT = 'unsent'
    CONNECTION_LOST = 'lost'
    MALFORMED = 'garbled'


class ClientResponse(Struct, kw_only=True):
    """A complete response.

    :param length: announced length of the body; ``None`` without one.
    :param is_reusable: whether the connection can carry another request.
    """

    status: int
    headers: list[Header]
    body: bytes
    length: int | None = None
    is_reusable: bool = True


class ResponseReader:
    """Assembles one response and skips responses to other requests."""

    def __init__(
        self,
        matches_request: Callable[[ResponseHead], bool],
        collector: ResponseCollector,
        max_body: int,
        unsized: UnsizedBodies,
    ) -> None:
        self._unsized = unsized
        self._matches_request = matches_request
        self._collector = collector
        self._max_body = max_body
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> ClientResponse | ExchangeFailure | None:
        """Process received bytes.

        :return: the response once it is complete, or a failure.
        """
        is_malformed = self._collector.feed(data) is not None
        result = self._process_events()
        if result is None and is_malformed:
            return ExchangeFailure.MALFORMED
        if isinstance(result, ClientResponse) and is_malformed:
            result.is_reusable = False
        return result

    def end(self) -> ClientResponse | ExchangeFailure:
        """Process an orderly end of the connection."""
        head = self._head
        if (
            head is not None
            and not head.is_framed
            and self._matches_request(head)
        ):
            # The response has no length, so the end of the connection is the
            # end of the body.
            return self._build_response(head, is_reusable=False)
        return ExchangeFailure.CONNECTION_LOST

    def _process_events(self) -> ClientResponse | ExchangeFailure | None:
        events = self._collector.events
        while events:
            event = events.popleft()
            if isinstance(event, bytes):
                self._parts.append(event)
                self._size += len(event)
                if not self._may_hold_body():
                    return ExchangeFailure.MALFORMED
            elif isinstance(event, ResponseHead):
                self._head = event
                if _announces_more(event, self._max_body):
                    return ExchangeFailure.MALFORMED
            elif event is EndOfBody.END:
                response = self._complete_response()
                if response is not None:
                    return response
            else:
                assert isinstance(event, ReadFailure)
                return ExchangeFailure.MALFORMED
        return None

    def _may_hold_body(self) -> bool:
        """Whether the part of the body that was received may be kept."""
        head = self._head
        if self._size > self._max_body:
            return False
        if head is not None and head.is_sized:
            return True
        return self._unsized.hold(self, self._size)

    def _complete_response(self) -> ClientResponse | None:
        head = self._head
        assert head is not None
        if self._matches_request(head):
            # A body after HEAD, which a faulty server may send, would arrive
            # in place of the next response.
            is_last = (
                not self._collector.events
                and self._collector.is_between_messages
                and not self._collector.is_after_head
            )
            return self._build_response(
                head,
                is_reusable=head.keep_alive and is_last,
            )
        self._head = None
        self._parts = []
        self._size = 0
        return None

    def _build_response(
        self, head: ResponseHead, *, is_reusable: bool
    ) -> ClientResponse:
        return ClientResponse(
            status=head.status,
            headers=head.headers,
            body=b''.join(self._parts),
            length=find_length(head.headers),
            is_reusable=is_reusable,
        )


def _announces_more(head: ResponseHead, max_body: int) -> bool:
    """Whether a response has a length that is not accepted."""
    length = 0 if head.is_bodiless else head.framing.length
    return head.is_framed and length is not None and length > max_body
