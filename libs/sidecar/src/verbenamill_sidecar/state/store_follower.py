"""Keeps the desired state current from the store or from other daemons."""

from collections.abc import Callable
from math import isfinite
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_http.timers import Pause, sleep_coarsely
from verbenamill_model.typing import VmId
from verbenamill_sidecar.membership.datagrams import NoticeKind
from verbenamill_sidecar.protocol import PublishedRecords, Store, StoreFault
from verbenamill_sidecar.state.announcements import AnnouncedStamps, Channel
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    StateSnapshot,
    VersionStamp,
)
from verbenamill_sidecar.state.distribution import (
    NOTICE_PERIOD,
    DistributionTree,
    ReadingReason,
)
from verbenamill_sidecar.state.state_fetcher import Fetch, StateFetcher
from verbenamill_telemetry import Event, log

#: Longest time for which the store holds a read open until a record arrives,
#: in seconds. A read that falls into an outage may never be answered, even
#: after the store has recovered, and is noticed only once it is overdue. A
#: change published meanwhile must take effect within three seconds of the
#: recovery.
LONG_POLL_TIMEOUT = 1.8
#: The same after :data:`_IDLE_AFTER` seconds without a change. The reads of
#: the daemons end at different times by then, because each is shortened by a
#: random part, so the first daemon to notice an outage does so soon.
IDLE_LONG_POLL_TIMEOUT = 3.0
_IDLE_AFTER = 10.0
#: Largest random part by which the idle timeout is shortened.
_IDLE_JITTER = 0.4
#: Pause after a read that returned records, in seconds. During a burst of
#: changes each read would return only one of them, although only the newest
#: matters and reads are billed. The pause takes a fifth of the time within
#: which a change must take effect.
COALESCING_PAUSE = 0.4
#: Bounds of the pause after a failed call, in seconds. The longest is well
#: below the time within which a daemon must be up to date after the store has
#: recovered.
MIN_RETRY_PAUSE = 0.1
MAX_RETRY_PAUSE = 1.0
#: Time for which a daemon that reads the store waits for its own read before
#: it fetches what another daemon has announced, in seconds.
_READER_FETCH_DELAY = 0.4
#: The same for other daemons. During a burst of changes a daemon fetches once
#: per this interval.
_FETCH_DELAY = 0.05
#: Interval at which a daemon that does not read checks whether it must, in
#: seconds.
_READER_CHECK_PERIOD = 0.1
#: Longest wait of a starting daemon for the state of its neighbours before it
#: reads the store, in seconds.
PEER_STATE_WAIT = 0.2
#: Neighbours without a configuration that end this wait.
_ENOUGH_UNINFORMED_PEERS = 2
#: Interval between checks for something to notify others of, in seconds.
_NOTICE_CHECK_PERIOD = 0.05
#: Shortest interval at which a daemon that does not read passes notices on, in
#: seconds. A notice travels the whole tree within one notice period.
_RELAY_PERIOD = 0.8 * NOTICE_PERIOD
#: Interval between checks of the path to the store while a read is held open,
#: in seconds. A path that fails in silence is noticed long before the read is
#: overdue.
PATH_CHECK_PERIOD = 0.25
#: Time within which a connection to the store must open, in seconds.
PATH_CHECK_TIMEOUT = 0.4


class Follower:
    """Follows the records that operators publish in the store.

    :param fetch: fetches the state of another daemon.
    :param notify: sends a notice about this daemon's state to others.
    :ivar announced: what other daemons have announced to have.
    :ivar last_read_at: when the store last answered, on trio's clock.
    """

    def __init__(
        self,
        *,
        store: Store,
        desired_state: DesiredState,
        fetch: Fetch,
        random: Random,
        tree: DistributionTree,
        notify: Callable[[NoticeKind], None],
    ) -> None:
        self._tree = tree
        self._notify = notify
        self._store = store
        self._desired_state = desired_state
        self._random = random
        self._position: int | None = None
        self._is_store_lost = False
        self._is_path_lost = False
        self._open_read: trio.CancelScope | None = None
        self._coalesce_until = float('-inf')
        self._changed_at = trio.current_time()
        self._was_not_reader = False
        self._uninformed_peers: set[VmId] = set()
        self._may_read = trio.Event()
        self._notice_pause = Pause()
        self._reading_reason: ReadingReason | None = None
        self._fetcher = StateFetcher(
            desired_state=desired_state,
            fetch=fetch,
            on_fetched=self._apply_fetched,
            choose_delay=self._choose_fetch_delay,
        )
        self.announced = AnnouncedStamps(desired_state)
        self.last_read_at = float('-inf')

    @property
    def is_store_lost(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_store_lost

    async def run(self, *, patience: float = PEER_STATE_WAIT) -> None:
        """Follow the store until cancelled.

        :param patience: how long to wait for the state of neighbours before
            the first read of the store, in seconds.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_notices)
            nursery.start_soon(self._fetcher.run)
            nursery.start_soon(self._check_path)
            with trio.move_on_after(patience):
                await self._may_read.wait()
            pause = MIN_RETRY_PAUSE
            while True:
                fault = await self._step()
                if fault is None:
                    pause = MIN_RETRY_PAUSE
                    continue
                await trio.sleep(pause * (0.5 + self._random.random()))
                pause = min(pause * 2, MAX_RETRY_PAUSE)

    def start_reading(self) -> None:
        """End the wait for the state of neighbours."""
        self._may_read.set()

    def handle_stamp(
        self, vm: VmId, stamp: VersionStamp, channel: Channel
    ) -> None:
        """Fetch the state of another daemon if its stamp is newer."""
        if self.announced.record(vm, stamp, channel):
            self._fetcher.offer(vm, stamp)
        elif self._desired_state.version < 0:
            self._count_uninformed_peer(vm)

    def _count_uninformed_peer(self, vm: VmId) -> None:
        """Count a neighbour without a configuration during the start.

        After all daemons were killed at once none has a configuration, and
        waiting for one would only delay callers.
        """
        self._uninformed_peers.add(vm)
        if len(self._uninformed_peers) >= _ENOUGH_UNINFORMED_PEERS:
            self._may_read.set()

    async def _step(self) -> StoreFault | None:
        if not self._tree.must_read():
            await sleep_coarsely(_READER_CHECK_PERIOD)
            self._was_not_reader = True
            return None
        if self._was_not_reader:
            # What other daemons passed on meanwhile need not be read again;
            # one call returns the newest record of each kind.
            self._was_not_reader = False
            self._position = None
        if not self._desired_state.has_verdicts:
            # Without the verdicts, a version that was taken back might get
            # requests, and a settled order would appear to be running.
            return await self._read_verdicts()
        if self._position is None:
            began = trio.current_time()
            return self._apply(await self._store.read_newest(), began)
        return await self._read_next(self._position)

    async def _read_next(self, position: int) -> StoreFault | None:
        """Wait for the next records and apply them."""
        await trio.sleep_until(self._coalesce_until)
        began = trio.current_time()
        found = await self._poll(position)
        match found:
            case None:
                return None
            case Failure(StoreFault.EXPIRED):
                # The records in between have expired. The store keeps the
                # newest record of each kind, and no others are needed.
                self._position = None
                return None
        return self._apply(found, began)

    async def _poll(
        self, position: int
    ) -> Result[PublishedRecords, StoreFault] | None:
        """Wait for the next records; ``None`` if the read was given up."""
        found = None
        with trio.CancelScope() as scope:
            self._open_read = scope
            found = await self._store.read_from(
                position, self._choose_long_poll_timeout()
            )
        self._open_read = None
        now = trio.current_time()
        match found:
            case Success(published) if published.next_position == position:
                return found
            case Success(_):
                self._coalesce_until = now + COALESCING_PAUSE
            case None:
                return None
        self._changed_at = now
        return found

    def _choose_long_poll_timeout(self) -> float:
        """Choose how long the store may hold the next read open."""
        if trio.current_time() - self._changed_at < _IDLE_AFTER:
            return LONG_POLL_TIMEOUT
        return IDLE_LONG_POLL_TIMEOUT * (
            1 - _IDLE_JITTER * self._random.random()
        )

    def _apply(
        self,
        found: Result[PublishedRecords, StoreFault],
        began: float,
    ) -> StoreFault | None:
        match found:
            case Success(published):
                self._apply_published(published)
                self.announced.confirm(began)
                self._note_applied()
                return None
            case Failure(fault):
                return self._note_failure(fault)
        raise AssertionError('a result is a success or a failure')

    def _apply_published(self, published: PublishedRecords) -> None:
        for unreadable in published.faults:
            log(Event.RECORD_UNREADABLE, reason=unreadable)
        # Evacuations come first: with a configuration, the daemon is ready.
        for evacuation in published.evacuations:
            self._desired_state.apply_evacuation(evacuation)
        if published.listed_until is not None:
            self._desired_state.apply_listed_evacuations(
                published.evacuations, end=published.listed_until
            )
        if published.configuration is not None:
            self._desired_state.apply_configuration(
                published.configuration, 'store'
            )
        for order in published.orders:
            self._desired_state.apply_order(order)
        self._position = published.next_position
        self._note_success()

    async def _read_verdicts(self) -> StoreFault | None:
        match await self._store.read_verdicts():
            case Success(reported):
                self._desired_state.apply_stored_verdicts(
                    reported.settled.values()
                )
                self._note_success()
                return None
            case Failure(fault):
                return self._note_failure(fault)
        raise AssertionError('a result is a success or a failure')

    def _note_applied(self) -> None:
        """Tell others at once, and end the wait for what was missing."""
        if self.announced.behind_since is None:
            self._tree.note_caught_up()
        self._notice_pause.end()

    def _note_success(self) -> None:
        self.last_read_at = trio.current_time()
        self._tree.note_answered(is_answered=True)
        if self._is_store_lost:
            self._is_store_lost = False
            log(Event.STORE_RECOVERED, calls=self._store.calls.total())

    def _note_failure(self, fault: StoreFault) -> StoreFault:
        self._tree.note_answered(is_answered=False)
        if not self._is_store_lost:
            self._is_store_lost = True
            log(
                Event.STORE_LOST,
                fault=fault.value,
                version=self._desired_state.version,
            )
        return fault

    async def _check_path(self) -> None:
        """Notice a path to the store that fails while a read is open.

        Such a read hangs until it is overdue, and others take this daemon for
        up to date until then. Opening a connection is no call.
        """
        while True:
            await sleep_coarsely(PATH_CHECK_PERIOD)
            if self._open_read is None:
                self._is_path_lost = False
                continue
            is_reachable = False
            with trio.move_on_after(PATH_CHECK_TIMEOUT):
                is_reachable = await self._store.is_reachable()
            if self._open_read is not None:
                self._note_path(self._open_read, is_reachable=is_reachable)

    def _note_path(
        self, open_read: trio.CancelScope, *, is_reachable: bool
    ) -> None:
        is_lost = not is_reachable
        if is_lost == self._is_path_lost:
            return
        self._is_path_lost = is_lost
        if is_lost:
            log(
                Event.STORE_LOST,
                fault='no connection opens',
                version=self._desired_state.version,
            )
            return
        log(Event.STORE_RECOVERED, calls=self._store.calls.total())
        # What was lost meanwhile may not be sent again for long.
        open_read.cancel()

    async def _send_notices(self) -> None:
        """Notify others of each change and, regularly, of this state."""
        sent_stamp = self._desired_state.stamp
        sent_at = float('-inf')
        previous = (False, False, False)
        while True:
            now = trio.current_time()
            has_changed = self._desired_state.stamp != sent_stamp
            # A change of role is sent at once: a daemon that replaces a reader
            # thereby keeps the next rank from reading too, and a reader
            # without answers of the store is replaced without delay.
            state = (
                self._is_reading(),
                self._lacks_answers(),
                self._tree.is_stalled,
            )
            self._log_reading()
            if (
                has_changed
                or state != previous
                or self._is_notice_due(now - sent_at)
            ):
                sent_stamp = self._desired_state.stamp
                sent_at = now
                self._send_notice(has_changed=has_changed)
            previous = state
            await self._notice_pause.sleep(_NOTICE_CHECK_PERIOD)

    def _is_notice_due(self, elapsed: float) -> bool:
        """Whether a notice is due some seconds after the last one.

        A daemon that does not read passes each notice on as soon as it comes,
        so that notices reach the end of the tree within one period.
        """
        if elapsed < _RELAY_PERIOD:
            return False
        if elapsed >= NOTICE_PERIOD:
            return True
        return not self._tree.must_read() and self._tree.notice_age < elapsed

    def _log_reading(self) -> None:
        reason = self._tree.reading_reason
        if reason is self._reading_reason:
            return
        self._reading_reason = reason
        log(
            Event.READING_CHANGED,
            reason='no' if reason is None else reason.value,
            rank=self._tree.rank,
            notice_age_ms=_to_ms(self._tree.notice_age),
        )

    def _is_reading(self) -> bool:
        """Whether this daemon reads the store and gets answers from it."""
        return (
            self._position is not None
            and not self._was_not_reader
            and not self._lacks_answers()
            and self._tree.must_read()
        )

    def _lacks_answers(self) -> bool:
        """Whether the store does not answer, or cannot be reached."""
        return self._is_store_lost or self._is_path_lost

    def _send_notice(self, *, has_changed: bool) -> None:
        if self._is_reading():
            self._notify(NoticeKind.CURRENT)
        elif self._tree.must_read():
            if self._lacks_answers():
                self._notify(NoticeKind.STALLED)
        elif self._tree.is_informed:
            self._notify(NoticeKind.CURRENT)
        elif self._tree.is_stalled:
            self._notify(NoticeKind.STALLED)
        if has_changed:
            self._notify(NoticeKind.CHANGED)

    def _choose_fetch_delay(self) -> float:
        if self._desired_state.version < 0:
            return 0
        return _READER_FETCH_DELAY if self._is_reading() else _FETCH_DELAY

    def _apply_fetched(self, snapshot: StateSnapshot, vm: VmId) -> None:
        self._desired_state.apply_snapshot(snapshot, vm)
        self._note_applied()
        self._start_informed()

    def _start_informed(self) -> None:
        """Start with a neighbour's state; it will keep sending notices."""
        if not self._may_read.is_set() and self._desired_state.version >= 0:
            self._may_read.set()
            self._tree.note_current()


def _to_ms(seconds: float) -> int:
    """Convert to milliseconds for a log event; -1 if infinite."""
    return int(seconds * 1000) if isfinite(seconds) else -1
