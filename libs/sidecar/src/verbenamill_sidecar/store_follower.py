"""Bringing the operators' wishes here: from the store, or from others."""

from collections.abc import Callable
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_model.typing import VmId
from verbenamill_sidecar.datagrams import NoticeKind
from verbenamill_sidecar.distribution import NOTICE_PERIOD, DistributionTree
from verbenamill_sidecar.snapshot_client import fetch_snapshot
from verbenamill_sidecar.desired_state import Stamp, DesiredState
from verbenamill_sidecar.peers import Peer, Peers
from verbenamill_sidecar.protocol import PublishedRecords, Store, StoreFault
from verbenamill_telemetry import Event, log

#: Longest that the store holds a read back until something comes, in s. A
#: read that falls into an outage may never be answered, also not once the
#: store is back; it is noticed only when the answer is overdue. What was
#: published meanwhile has to be in force three seconds after the return.
LONG_POLL_TIMEOUT = 1.8
#: The same once nothing has happened for a while. By then the reads of the
#: daemons end at different times, as each waits a random part less, and the
#: first one that notices an outage has not long to go.
CALM_WAIT = 3.0
_CALM_AFTER = 10.0
_CALM_SPREAD = 0.4
#: Pause after news, in seconds. In a storm of changes each read would bring
#: one of them; only the newest counts, and reads are priced. A fifth of the
#: time in which a change has to be in force.
SETTLE = 0.4
#: Bounds of the pause after a call that failed, in seconds. The longest is
#: well below the time in which a daemon has to be up to date again after the
#: store's return.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0
#: How long a daemon that others are ahead of waits for its own read, in s.
_HEAD_START = 0.4
#: The same for one with a parent; a storm of changes is fetched in steps of
#: this length.
_FIRST_START = 0.05
#: How often a daemon that does not read looks whether it has to, in seconds.
_IDLE_PAUSE = 0.1
#: How long a daemon that starts waits for what its neighbours know, in
#: seconds; and how many that know nothing end the wait.
START_WAIT = 0.2
_ENOUGH_IGNORANT = 2
#: How often it is looked for something new to tell the children, in s.
_NEWS_PERIOD = 0.05
#: Longest wait for another daemon's answer, in seconds.
_FETCH_TIMEOUT = 2.0
#: Fetches at a time, but for the one from the parent.
_MAX_FETCHES = 3


class Follower:
    """Follows what operators publish.

    :param notify: tells other daemons what is known here.
    :ivar read_at: when the store last answered, on trio's clock.
    """

    def __init__(
        self,
        *,
        store: Store,
        desired_state: DesiredState,
        peers: Peers,
        random: Random,
        tree: DistributionTree,
        notify: Callable[[NoticeKind], None],
    ) -> None:
        self._tree = tree
        self._notify = notify
        self._store = store
        self._desired_state = desired_state
        self._peers = peers
        self._random = random
        self._position: int | None = None
        self._is_lost = False
        self._settle_until = float('-inf')
        self._stirred_at = trio.current_time()
        self._has_idled = False
        self._ignorant: set[VmId] = set()
        self._begun = trio.Event()
        self._fetching: set[VmId] = set()
        self._nursery: trio.Nursery | None = None
        self.read_at = float('-inf')

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_lost

    async def run(self, *, patience: float = START_WAIT) -> None:
        """Follow until cancelled.

        :param patience: how long to wait for what neighbours know before the
            store is asked, in seconds.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._tell)
            with trio.move_on_after(patience):
                await self._begun.wait()
            pause = FIRST_PAUSE
            while True:
                fault = await self._step()
                if fault is None:
                    pause = FIRST_PAUSE
                    continue
                await trio.sleep(pause * (0.5 + self._random.random()))
                pause = min(pause * 2, LONGEST_PAUSE)

    def begin(self) -> None:
        """Wait no longer for what neighbours know."""
        self._begun.set()

    def hear_stamp(self, vm: VmId, stamp: Stamp) -> None:
        """Take in what another daemon knows, in short."""
        if self._desired_state.lacks(stamp):
            self.is_behind(vm, stamp, is_parent=False)
        elif self._desired_state.version < 0:
            self._hear_ignorance(vm)

    def is_behind(self, vm: VmId, stamp: Stamp, *, is_parent: bool) -> None:
        """Another daemon knows more than this one.

        One fetch from each daemon runs at a time, and a few in all: one that
        hangs, as from a zone that was just cut off, must not keep what
        others have from coming here. More than a few would all bring the
        same.

        :param stamp: what it knows, in short.
        :param is_parent: whether it is the parent of this one; then there is no
            read of its own to wait for.
        """
        if self._nursery is None or vm in self._fetching:
            return
        if len(self._fetching) >= _MAX_FETCHES and not is_parent:
            return
        peer = self._peers.get(vm)
        if peer is not None:
            self._fetching.add(vm)
            self._nursery.start_soon(self._fetch, peer, stamp, is_parent)

    def _hear_ignorance(self, vm: VmId) -> None:
        """A neighbour knows no more than this daemon, which has started.

        After all were killed at once nobody has a configuration, and to wait
        for one would keep callers waiting.
        """
        self._ignorant.add(vm)
        if len(self._ignorant) >= _ENOUGH_IGNORANT:
            self._begun.set()

    async def _step(self) -> StoreFault | None:
        if not self._tree.must_read():
            await trio.sleep(_IDLE_PAUSE)
            self._has_idled = True
            return None
        if self._has_idled:
            # What was passed on meanwhile is not read once more; the newest
            # of each kind is one call.
            self._has_idled = False
            self._position = None
        if not self._desired_state.has_verdicts:
            # A version that was taken back may run without an order, and an
            # order without its verdict seems to run still.
            return await self._read_verdicts()
        if self._position is None:
            return self._take(await self._store.read_newest())
        await trio.sleep_until(self._settle_until)
        found = await self._follow(self._position)
        match found:
            case Failure(StoreFault.EXPIRED):
                # What lies between was thrown away; the newest of each kind
                # is kept, and nothing else is wanted.
                self._position = None
                return None
        return self._take(found)

    async def _follow(
        self, position: int
    ) -> Result[PublishedRecords, StoreFault]:
        found = await self._store.read_from(position, self._find_wait())
        now = trio.current_time()
        match found:
            case Success(published) if published.next_position == position:
                return found
            case Success(_):
                self._settle_until = now + SETTLE
        self._stirred_at = now
        return found

    def _find_wait(self) -> float:
        """How long the store may hold the next read back."""
        if trio.current_time() - self._stirred_at < _CALM_AFTER:
            return LONG_POLL_TIMEOUT
        return CALM_WAIT * (1 - _CALM_SPREAD * self._random.random())

    def _take(
        self,
        found: Result[PublishedRecords, StoreFault],
    ) -> StoreFault | None:
        match found:
            case Success(published):
                self._take_published(published)
                return None
            case Failure(fault):
                return self._lose(fault)
        raise AssertionError('a result is a success or a failure')

    def _take_published(self, published: PublishedRecords) -> None:
        for unreadable in published.faults:
            log(Event.RECORD_UNREADABLE, reason=unreadable)
        if published.configuration is not None:
            self._desired_state.apply_configuration(
                published.configuration, 'store'
            )
        for order in published.orders:
            self._desired_state.take_order(order)
        self._position = published.next_position
        self._recover()

    async def _read_verdicts(self) -> StoreFault | None:
        match await self._store.read_verdicts():
            case Success(settlements):
                self._desired_state.take_settlements(
                    settlements.settled.values()
                )
                self._recover()
                return None
            case Failure(fault):
                return self._lose(fault)
        raise AssertionError('a result is a success or a failure')

    def _recover(self) -> None:
        self.read_at = trio.current_time()
        if self._is_lost:
            self._is_lost = False
            log(Event.STORE_RECOVERED, calls=self._store.calls.total())

    def _lose(self, fault: StoreFault) -> StoreFault:
        if not self._is_lost:
            self._is_lost = True
            log(
                Event.STORE_LOST,
                fault=fault.value,
                version=self._desired_state.version,
            )
        return fault

    async def _tell(self) -> None:
        """Tell others of all that is new, and that they are up to date."""
        told = self._desired_state.stamp
        told_at = float('-inf')
        was = (False, False)
        while True:
            now = trio.current_time()
            is_news = self._desired_state.stamp != told
            # Who steps in for a reader tells it before the next one does so,
            # and a reader that gets no answer is replaced at once.
            state = (self._is_reading(), self._is_lost)
            if is_news or state != was or now - told_at >= NOTICE_PERIOD:
                told = self._desired_state.stamp
                told_at = now
                self._tell_now(is_news=is_news)
            was = state
            await trio.sleep(_NEWS_PERIOD)

    def _is_reading(self) -> bool:
        """Whether this daemon reads, and the store answers it."""
        return (
            self._tree.must_read()
            and self._position is not None
            and not self._has_idled
            and not self._is_lost
        )

    def _tell_now(self, *, is_news: bool) -> None:
        if not self._tree.must_read() or self._is_reading():
            self._notify(NoticeKind.CURRENT)
        elif self._is_lost:
            self._notify(NoticeKind.STALLED)
        if is_news and self._tree.must_read():
            self._notify(NoticeKind.NEWS)

    async def _fetch(self, peer: Peer, stamp: Stamp, is_parent: bool) -> None:
        """Get from another daemon what the store did not bring in time."""
        try:
            before = self._desired_state.stamp
            await trio.sleep(self._head_start(is_parent))
            # The store brings the rest as well, if it has brought something.
            is_served = not is_parent and self._desired_state.stamp != before
            if self._desired_state.lacks(stamp) and not is_served:
                with trio.move_on_after(_FETCH_TIMEOUT):
                    await self._fetch_now(peer)
                if is_parent and not self._desired_state.lacks(stamp):
                    self._tree.hear_notice()
        finally:
            self._fetching.discard(peer.record.vm)

    def _head_start(self, is_parent: bool) -> float:
        if self._desired_state.version < 0:
            return 0
        # Both parents tell the same at about the same time; the second one
        # is asked only if the first does not answer.
        is_first = is_parent and len(self._fetching) == 1
        return _FIRST_START if is_first else _HEAD_START

    async def _fetch_now(self, peer: Peer) -> None:
        known = await fetch_snapshot(peer.pool)
        if known is not None:
            self._desired_state.take_all(known, peer.record.vm)
            self._begin_informed()

    def _begin_informed(self) -> None:
        """A neighbour has told all; its notices will come."""
        if not self._begun.is_set() and self._desired_state.version >= 0:
            self._begun.set()
            self._tree.hear_notice()
