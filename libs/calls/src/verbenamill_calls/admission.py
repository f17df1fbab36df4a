"""Slots of the own upstream, and the bounded queue in front of them."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, unique

import trio

from verbenamill_calls.exchange import POLL
from verbenamill_calls.settings import CallSettings
from verbenamill_model.typing import Priority
from verbenamill_runtime import Clock

#: Order in which priorities are served.
_ORDER = (Priority.HIGH, Priority.NORMAL, Priority.BULK)
#: Share of the slots that bulk calls leave to the others.
_BULK_RESERVE = 0.25
#: Weight of the newest call in the mean service time.
_MEAN_WEIGHT = 0.05
#: Mean service time before any call was seen, in seconds.
_FIRST_MEAN = 0.005
#: Shortest hint for another try, in seconds.
_MIN_RETRY = 0.05


@unique
class Entry(Enum):
    """Whether a call got a slot."""

    ADMITTED = 'admitted'
    SHED = 'shed'
    GONE = 'gone'


class _Waiter:
    """A call that waits for a slot."""

    def __init__(self, priority: Priority, caller: str) -> None:
        self.priority = priority
        self.caller = caller
        self.entry: Entry | None = None
        self.done = trio.Event()

    def settle(self, entry: Entry) -> None:
        self.entry = entry
        self.done.set()


class _Line:
    """Waiters of one priority, served in turn by caller.

    A caller with many calls waits behind its own, not in front of others.
    """

    def __init__(self) -> None:
        self.size = 0
        self._by_caller: dict[str, deque[_Waiter]] = {}

    def push(self, waiter: _Waiter) -> None:
        self._by_caller.setdefault(waiter.caller, deque()).append(waiter)
        self.size += 1

    def pop(self) -> _Waiter:
        caller = next(iter(self._by_caller))
        waiters = self._by_caller.pop(caller)
        waiter = waiters.popleft()
        if waiters:
            self._by_caller[caller] = waiters
        self.size -= 1
        return waiter

    def remove(self, waiter: _Waiter) -> None:
        waiters = self._by_caller[waiter.caller]
        waiters.remove(waiter)
        if not waiters:
            self._by_caller.pop(waiter.caller)
        self.size -= 1

    def waiting(self, caller: str) -> int:
        return len(self._by_caller.get(caller, ()))

    def newest_of_greediest(self) -> _Waiter:
        greediest = max(self._by_caller.values(), key=len)
        return greediest[-1]


class Admission:
    """Slots and queue of one upstream.

    A call waits for a bounded time and in a bounded queue; one that would
    wait too long is refused at once, so that its caller can go elsewhere
    while there is time.

    :param allowed: slots that may be used now; grows after a cold start.
    """

    def __init__(
        self,
        *,
        allowed: Callable[[], int],
        clock: Clock,
        settings: CallSettings,
    ) -> None:
        self.running = 0
        self._running_bulk = 0
        self._mean = _FIRST_MEAN
        self._allowed = allowed
        self._clock = clock
        self._settings = settings
        self._lines = {priority: _Line() for priority in _ORDER}

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return sum(line.size for line in self._lines.values())

    def retry_after(self) -> timedelta:
        """When the queue of now should have been worked off."""
        wait = self._mean * (self.queued + 1) / self._allowed()
        return timedelta(seconds=max(wait, _MIN_RETRY))

    async def enter(
        self,
        priority: Priority,
        caller: str,
        *,
        deadline: timedelta,
        is_gone: Callable[[], bool],
    ) -> Entry:
        """Get a slot, or learn at once that there will be none in time."""
        if self._is_free(priority) and not self._is_ahead(priority):
            self._take(priority)
            return Entry.ADMITTED
        if not self._may_queue(priority, caller, deadline):
            return Entry.SHED
        waiter = _Waiter(priority, caller)
        self._lines[priority].push(waiter)
        try:
            await self._wait(waiter, deadline, is_gone)
        except trio.Cancelled:
            self._withdraw(waiter)
            raise
        assert waiter.entry is not None
        return waiter.entry

    def leave(self, priority: Priority, served: timedelta | None) -> None:
        """Free a slot.

        :param served: how long it was held; ``None`` says nothing of the
            service time, as with a cancelled call.
        """
        self.running -= 1
        if priority is Priority.BULK:
            self._running_bulk -= 1
        assert self.running >= 0
        assert self._running_bulk >= 0
        if served is not None:
            change = served.total_seconds() - self._mean
            self._mean += _MEAN_WEIGHT * change
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Give free slots to those who wait."""
        for priority in _ORDER:
            line = self._lines[priority]
            while line.size and self._is_free(priority):
                waiter = line.pop()
                self._take(priority)
                waiter.settle(Entry.ADMITTED)

    def shed_waiting(self) -> None:
        """Refuse all who wait, as when the upstream leaves."""
        for line in self._lines.values():
            while line.size:
                line.pop().settle(Entry.SHED)

    def _is_free(self, priority: Priority) -> bool:
        allowed = self._allowed()
        if self.running >= allowed:
            return False
        if priority is not Priority.BULK:
            return True
        # Photos hold a slot for long. If they held all, a lookup that takes
        # a millisecond would wait for the fastest photo.
        reserve = min(max(1, int(allowed * _BULK_RESERVE)), allowed - 1)
        return self._running_bulk < allowed - reserve

    def _is_ahead(self, priority: Priority) -> bool:
        """Whether somebody waits who is served first."""
        ahead = _ORDER[: _ORDER.index(priority) + 1]
        return any(self._lines[other].size for other in ahead)

    def _take(self, priority: Priority) -> None:
        self.running += 1
        if priority is Priority.BULK:
            self._running_bulk += 1

    def _may_queue(
        self,
        priority: Priority,
        caller: str,
        deadline: timedelta,
    ) -> bool:
        limit = min(
            self._settings.queue_wait,
            (deadline - self._clock.monotonic()) / 2,
        )
        ahead = _ORDER[: _ORDER.index(priority) + 1]
        waiting = sum(self._lines[other].size for other in ahead)
        wait = self._mean * (waiting + 1) / self._allowed()
        if wait > limit.total_seconds():
            return False
        full = self._settings.queue_factor * self._allowed()
        return self.queued < full or self._make_room(priority, caller)

    def _make_room(self, priority: Priority, caller: str) -> bool:
        """Refuse a waiter that comes after this call, if there is one."""
        for other in reversed(_ORDER):
            line = self._lines[other]
            if not line.size:
                continue
            victim = line.newest_of_greediest()
            if other is priority:
                mine = line.waiting(caller)
                if line.waiting(victim.caller) <= mine + 1:
                    return False
            elif _ORDER.index(other) < _ORDER.index(priority):
                return False
            line.remove(victim)
            victim.settle(Entry.SHED)
            return True
        return False

    async def _wait(
        self,
        waiter: _Waiter,
        deadline: timedelta,
        is_gone: Callable[[], bool],
    ) -> None:
        until = min(
            self._clock.monotonic() + self._settings.queue_wait,
            deadline,
        )
        while waiter.entry is None:
            left = (until - self._clock.monotonic()).total_seconds()
            if left <= 0:
                self._withdraw(waiter)
                waiter.entry = Entry.SHED
                return
            with trio.move_on_after(min(POLL, left)):
                await waiter.done.wait()
            if waiter.entry is None and is_gone():
                self._withdraw(waiter)
                waiter.entry = Entry.GONE

    def _withdraw(self, waiter: _Waiter) -> None:
        """Leave the queue, or the slot that was given meanwhile."""
        if waiter.entry is None:
            self._lines[waiter.priority].remove(waiter)
        elif waiter.entry is Entry.ADMITTED:
            self.leave(waiter.priority, None)
