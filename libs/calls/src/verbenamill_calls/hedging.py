"""A second try while the first is still waited for."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import trio

from verbenamill_calls.body import Relayed
from verbenamill_calls.call import Answer, Attempt, Refusal, Reply

#: Step of the quantile's estimate, as a share of it.
_STEP = 0.1
_QUANTILE = 0.95
_HIGHEST = timedelta(seconds=5)


class LatencyQuantile:
    """Running estimate of the latency that 95 of 100 calls stay under.

    :param lowest: the estimate never falls below it.
    """

    def __init__(self, lowest: timedelta) -> None:
        self.value = lowest
        self._lowest = lowest

    def add(self, latency: timedelta) -> None:
        """Count one call: up by much if it was slower, else down a little."""
        if latency > self.value:
            grown = self.value * (1 + _STEP * _QUANTILE)
            self.value = min(grown, _HIGHEST)
        else:
            shrunk = self.value * (1 - _STEP * (1 - _QUANTILE))
            self.value = max(shrunk, self._lowest)


async def race(
    first: Attempt,
    begin_second: Callable[[], Awaitable[Attempt | Answer]],
    wait: Callable[[Attempt], Awaitable[Answer]],
) -> Answer:
    """The first good answer of two tries; the other try is cancelled."""
    runners = _Race(wait)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runners.run_first, first, nursery)
        nursery.start_soon(runners.run_second, begin_second, nursery)
    return runners.settle()


class _Race:
    def __init__(self, wait: Callable[[Attempt], Awaitable[Answer]]) -> None:
        self._wait = wait
        self._answers: list[Answer] = []

    async def run_first(self, attempt: Attempt, nursery: trio.Nursery) -> None:
        await self._run(attempt, nursery)

    async def run_second(
        self,
        begin: Callable[[], Awaitable[Attempt | Answer]],
        nursery: trio.Nursery,
    ) -> None:
        started = await begin()
        if isinstance(started, Reply | Refusal):
            self._offer(started, nursery)
        else:
            await self._run(started, nursery)

    def settle(self) -> Answer:
        """The best answer; whatever else came is given up."""
        assert self._answers, 'both tries ended without an answer'
        best = next(filter(_is_good, self._answers), self._answers[0])
        for answer in self._answers:
            if answer is not best and isinstance(answer, Reply):
                answer.finish(Relayed.SINK_BROKEN)
        return best

    async def _run(self, attempt: Attempt, nursery: trio.Nursery) -> None:
        try:
            answer = await self._wait(attempt)
        except trio.Cancelled:
            attempt.abandon()
            raise
        self._offer(answer, nursery)

    def _offer(self, answer: Answer, nursery: trio.Nursery) -> None:
        self._answers.append(answer)
        if _is_good(answer):
            nursery.cancel_scope.cancel()


def _is_good(answer: Answer) -> bool:
    if isinstance(answer, Refusal):
        return False
    return answer.head.status < HTTPStatus.INTERNAL_SERVER_ERROR
