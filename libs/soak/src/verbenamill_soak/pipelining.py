"""Callers that have a request in hand until the daemon closes."""

from collections import deque
from collections.abc import Callable

import httptools
import trio

from verbenamill_platform_standins.callers import request_headers
from verbenamill_soak.responses import Answer, Answers
from verbenamill_soak.callers import (
    DEADLINE,
    HOST,
    PATIENCE,
    PAUSE,
    SITE,
    Asked,
    Caller,
    Ending,
)

#: Time between two requests, in seconds: shorter than any upstream works, so
#: that the next one comes before the answer to the last.
_PERIOD = 0.015
#: Requests under way at once.
_MOST = 2
_READ_SIZE = 65_536
#: Requests under way on a connection, the oldest first.
InHand = deque[Asked]


class PipeliningCaller(Caller):
    """One caller that sends its next request before the last is answered."""

    async def run(self, versions: Callable[[], list[int]]) -> None:
        """Call until cancelled.

        :param versions: not looked at; its one route is in all of them.
        """
        while True:
            await trio.sleep(self._random.expovariate(1 / PAUSE))
            try:
                self._stream = await trio.open_tcp_stream(
                    HOST,
                    self._node.ports[0],
                )
            except OSError:
                continue
            await self._talk(self._stream)
            await self._drop()

    async def _talk(self, stream: trio.SocketStream) -> None:
        """Have requests in hand until the daemon closes the connection."""
        in_hand: InHand = deque()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, stream, in_hand)
            ending = await _read(stream, in_hand)
            nursery.cancel_scope.cancel()
        for asked in in_hand:
            _end(asked, ending)

    async def _send(self, stream: trio.SocketStream, in_hand: InHand) -> None:
        while True:
            if len(in_hand) < _MOST:
                asked = self._note('/lookup/', is_fee=False)
                in_hand.append(asked)
                try:
                    await stream.send_all(_encode(asked))
                except trio.BrokenResourceError:
                    # What was answered before the close can still be read.
                    return
            await trio.sleep(_PERIOD)


async def _read(stream: trio.SocketStream, in_hand: InHand) -> Ending:
    """Read answers; tells how those end that are in hand at the last."""
    answers = Answers()
    while True:
        data = None
        try:
            with trio.move_on_after(DEADLINE + PATIENCE):
                data = await stream.receive_some(_READ_SIZE)
            found = answers.feed(bytes(data or b''))
        except (trio.BrokenResourceError, httptools.HttpParserError):
            return Ending.CUT
        if data is None and in_hand:
            _end(in_hand.popleft(), Ending.NO_ANSWER)
            return Ending.UNSENT
        if not data or len(found) > len(in_hand):
            return Ending.CUT
        for answer in found:
            _answer(in_hand.popleft(), answer)
            if answer.is_last:
                return Ending.UNSENT


def _encode(asked: Asked) -> bytes:
    headers = request_headers(asked.id, deadline=DEADLINE)
    lines = [
        f'GET {asked.target} HTTP/1.1',
        f'Host: {SITE}',
        *(f'{name}: {told}' for name, told in headers),
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def _answer(asked: Asked, answer: Answer) -> None:
    asked.status = answer.status
    asked.seal = answer.seal
    asked.body = answer.body
    _end(asked, Ending.ANSWERED)


def _end(asked: Asked, ending: Ending) -> None:
    asked.ending = ending
    asked.ended_at = trio.current_time()
