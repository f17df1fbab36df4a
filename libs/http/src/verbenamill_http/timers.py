"""Sleeps of periodic tasks that wake up together.

An idle process spends most of its time on waking up for periodic tasks. Sleeps
that end on the ticks of a common grid share these wake-ups.
"""

from heapq import heappop, heappush

import trio
from trio.lowlevel import Abort, RaiseCancelT, RunVar, Task

#: Interval between the times at which sleeps end.
TICK_S = 0.05
#: Share of a tick by which rounding may put the present before a tick.
_ROUNDING = 0.001


class _Sleep:
    """One sleeping task.

    :ivar task: ``None`` once it has been woken up.
    """

    __slots__ = ('task',)

    def __init__(self, task: Task) -> None:
        self.task: Task | None = task


class _Clock:
    """Wakes up the sleeping tasks of one event loop."""

    def __init__(self) -> None:
        self._sleeps: dict[int, list[_Sleep]] = {}
        self._due_ticks: list[int] = []
        self._scope = trio.CancelScope()

    def add(self, sleep: _Sleep, due: int) -> None:
        """Wake up a task at a tick."""
        sleeps = self._sleeps.get(due)
        if sleeps is not None:
            sleeps.append(sleep)
            return
        self._sleeps[due] = [sleep]
        heappush(self._due_ticks, due)
        self._scope.deadline = self._due_ticks[0] * TICK_S

    async def run(self) -> None:
        """Wake up tasks until the event loop ends."""
        while True:
            with self._scope:
                await trio.sleep_forever()
            now = _count_ticks(trio.current_time())
            while self._due_ticks and self._due_ticks[0] <= now:
                for sleep in self._sleeps.pop(heappop(self._due_ticks)):
                    _wake(sleep)
            self._scope = trio.CancelScope()
            if self._due_ticks:
                self._scope.deadline = self._due_ticks[0] * TICK_S


class Pause:
    """A sleep of one task that other tasks can end early."""

    def __init__(self) -> None:
        self._sleep: _Sleep | None = None

    async def sleep(self, seconds: float) -> float:
        """Sleep until the tick that is nearest to the end of this time.

        :param seconds: at least half a tick.
        :return: the time of that tick on trio's clock.
        """
        now = trio.current_time()
        due = max(round((now + seconds) / TICK_S), _count_ticks(now) + 1)
        sleep = _Sleep(trio.lowlevel.current_task())
        self._sleep = sleep
        _find_clock().add(sleep, due)

        def abort(_: RaiseCancelT) -> Abort:
            sleep.task = None
            return Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        return due * TICK_S

    def end(self) -> None:
        """End the sleep, if there is one."""
        if self._sleep is not None:
            _wake(self._sleep)


async def sleep_coarsely(seconds: float) -> float:
    """Sleep until the tick that is nearest to the end of this time.

    The parameter and the result are those of :meth:`Pause.sleep`.
    """
    return await Pause().sleep(seconds)


def _count_ticks(now: float) -> int:
    """Count the ticks until a time on trio's clock."""
    return int(now / TICK_S + _ROUNDING)


def _wake(sleep: _Sleep) -> None:
    if sleep.task is not None:
        trio.lowlevel.reschedule(sleep.task)
        sleep.task = None


def _find_clock() -> _Clock:
    clock = _clock.get(None)
    if clock is None:
        clock = _Clock()
        _clock.set(clock)
        trio.lowlevel.spawn_system_task(clock.run)
    return clock


_clock: RunVar[_Clock | None] = RunVar('clock')
