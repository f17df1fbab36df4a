"""Callers that pipeline requests until the daemon closes the connection."""

from collections import deque
from collections.abc import Callable

import httptools
import trio

from verbenamill_platform_standins.callers import request_headers
from verbenamill_soak.callers import (
    DEADLINE_S,
    LATE_RESPONSE_WAIT_S,
    LOOPBACK,
    MEAN_PAUSE_S,
    SERVICE_HOST,
    Caller,
    Outcome,
    RequestRecord,
)
from verbenamill_soak.responses import Response, ResponseParser

#: Time between two requests: shorter than the service time of any upstream, so
#: that the next request is sent before the response to the last one.
_SEND_PERIOD_S = 0.015
#: Maximum number of requests without a response on one connection.
_MAX_PENDING = 2
_READ_SIZE = 65_536
#: Requests without a response on a connection, the oldest first.
PendingRequests = deque[RequestRecord]


class PipeliningCaller(Caller):
    """A caller that sends the next request before the last response."""

    async def run(self, versions: Callable[[], list[int]]) -> None:
        """Send requests until cancelled.

        :param versions: unused, because all versions contain the one route.
        """
        while True:
            await trio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            try:
                self._stream = await trio.open_tcp_stream(
                    LOOPBACK,
                    self._node.ports[0],
                )
            except OSError:
                continue
            await self._run_connection(self._stream)
            await self._drop_connection()

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        """Keep requests pending until the daemon closes the connection."""
        pending: PendingRequests = deque()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_requests, stream, pending)
            outcome = await _read_responses(stream, pending)
            nursery.cancel_scope.cancel()
        for record in pending:
            _finish(record, outcome)

    async def _send_requests(
        self, stream: trio.SocketStream, pending: PendingRequests
    ) -> None:
        while True:
            if len(pending) < _MAX_PENDING:
                record = self._add_record('/lookup/', is_fee=False)
                pending.append(record)
                try:
                    await stream.send_all(_encode_request(record))
                except trio.BrokenResourceError:
                    # Responses sent before the close can still be read.
                    return
            await trio.sleep(_SEND_PERIOD_S)


async def _read_responses(
    stream: trio.SocketStream, pending: PendingRequests
) -> Outcome:
    """Read responses until the connection ends.

    Return the outcome of the requests that are still pending.
    """
    parser = ResponseParser()
    while True:
        data = None
        try:
            with trio.move_on_after(DEADLINE_S + LATE_RESPONSE_WAIT_S):
                data = await stream.receive_some(_READ_SIZE)
            responses = parser.feed(bytes(data or b''))
        except (trio.BrokenResourceError, httptools.HttpParserError):
            return Outcome.CUT
        if data is None and pending:
            _finish(pending.popleft(), Outcome.NO_ANSWER)
            return Outcome.UNSENT
        if not data or len(responses) > len(pending):
            return Outcome.CUT
        for response in responses:
            _complete(pending.popleft(), response)
            if response.is_last:
                return Outcome.UNSENT


def _encode_request(record: RequestRecord) -> bytes:
    headers = request_headers(record.id, deadline=DEADLINE_S, key=record.key)
    lines = [
        f'GET {record.target} HTTP/1.1',
        f'Host: {SERVICE_HOST}',
        *(f'{name}: {header_value}' for name, header_value in headers),
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def _complete(record: RequestRecord, response: Response) -> None:
    record.status = response.status
    record.seal = response.seal
    record.body = response.body
    _finish(record, Outcome.ANSWERED)


def _finish(record: RequestRecord, outcome: Outcome) -> None:
    record.outcome = outcome
    record.ended_at = trio.current_time()
