"""Fetches from other daemons what is missing here."""

from collections.abc import Awaitable, Callable

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    StateSnapshot,
    VersionStamp,
)
from verbenamill_telemetry import Event, log

#: Longest wait for the state of another daemon, in seconds. Over a congested
#: link, opening a connection alone may take half a second.
FETCH_TIMEOUT = 2.0
#: Time without a result after which another daemon is asked too, in seconds.
HEDGE_DELAY = 0.25
#: Concurrent fetches; more of them would return the same state.
MAX_FETCHES = 4
#: Time for which a fetch is not ended in favour of another one, in seconds.
#: Over a congested link, a fetch crosses it twice.
_MIN_FETCH_TIME = 1.5
#: Attempts to fetch from a daemon that has announced something once.
_MAX_ATTEMPTS = 3

#: Fetches the state of a daemon; ``None`` if that fails.
Fetch = Callable[[VmId], Awaitable[StateSnapshot | None]]


class _Offer:
    """What a daemon has announced."""

    def __init__(self, vm: VmId, stamp: VersionStamp) -> None:
        self.vm = vm
        self.stamp = stamp
        self.attempts = 0

    def sort_key(self) -> tuple[int, int, int]:
        """Fewest attempts first, then the newest stamp."""
        version, record = self.stamp
        return self.attempts, -version, -record


class _Running:
    """A fetch in progress."""

    def __init__(self) -> None:
        self.began = trio.current_time()
        self.scope = trio.CancelScope(deadline=self.began + FETCH_TIMEOUT)


class StateFetcher:
    """Asks the daemons that have announced something newer, in turn.

    A fetch that hangs, for example from a zone that was just cut off, delays
    the next one by :data:`HEDGE_DELAY` only.

    :param fetch: fetches the state of a daemon.
    :param on_fetched: called with each state and the daemon it comes from.
    :param choose_delay: returns the time to wait before the first daemon is
        asked, in seconds.
    """

    def __init__(
        self,
        *,
        desired_state: DesiredState,
        fetch: Fetch,
        on_fetched: Callable[[StateSnapshot, VmId], None],
        choose_delay: Callable[[], float],
    ) -> None:
        self._desired_state = desired_state
        self._fetch = fetch
        self._on_fetched = on_fetched
        self._choose_delay = choose_delay
        self._offers: dict[VmId, _Offer] = {}
        self._running: dict[VmId, _Running] = {}
        self._has_offers = trio.Event()
        self._has_ended = trio.Event()

    def offer(self, vm: VmId, stamp: VersionStamp) -> None:
        """Record that a daemon has something that is missing here."""
        self._offers[vm] = _Offer(vm, stamp)
        self._has_offers.set()

    async def run(self) -> None:
        """Fetch what is offered until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._has_offers = trio.Event()
                if self._choose_offer() is None:
                    await self._has_offers.wait()
                    continue
                if not self._running:
                    await trio.sleep(self._choose_delay())
                offer = self._choose_offer()
                if offer is None:
                    continue
                if self._make_room():
                    nursery.start_soon(self._run_fetch, offer)
                await self._wait_for_end()

    def _choose_offer(self) -> _Offer | None:
        """Choose whom to ask next; ``None`` if nothing can be fetched now."""
        self._offers = {
            vm: offer
            for vm, offer in self._offers.items()
            if self._desired_state.is_older_than(offer.stamp)
        }
        usable = [
            offer
            for offer in self._offers.values()
            if offer.vm not in self._running and offer.attempts < _MAX_ATTEMPTS
        ]
        return min(usable, key=_Offer.sort_key, default=None)

    def _make_room(self) -> bool:
        """End the oldest fetch if there are too many.

        :returns: whether another one may begin.
        """
        if len(self._running) < MAX_FETCHES:
            return True
        vm, oldest = next(iter(self._running.items()))
        if trio.current_time() - oldest.began < _MIN_FETCH_TIME:
            return False
        self._running.pop(vm)
        oldest.scope.cancel()
        return True

    async def _wait_for_end(self) -> None:
        self._has_ended = trio.Event()
        with trio.move_on_after(HEDGE_DELAY):
            await self._has_ended.wait()

    async def _run_fetch(self, offer: _Offer) -> None:
        offer.attempts += 1
        running = _Running()
        self._running[offer.vm] = running
        snapshot = None
        with running.scope:
            snapshot = await self._fetch(offer.vm)
        if snapshot is not None:
            self._on_fetched(snapshot, offer.vm)
        elif self._desired_state.is_older_than(offer.stamp):
            elapsed = trio.current_time() - running.began
            log(Event.STATE_NOT_FETCHED, peer=offer.vm, ms=int(elapsed * 1000))
        if self._running.get(offer.vm) is running:
            self._running.pop(offer.vm)
            self._has_ended.set()
            self._has_offers.set()
        self._end_superfluous()

    def _end_superfluous(self) -> None:
        """End the other fetches once nothing is missing here."""
        if self._choose_offer() is None and not self._offers:
            for running in self._running.values():
                running.scope.cancel()
