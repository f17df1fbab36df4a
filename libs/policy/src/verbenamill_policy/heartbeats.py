"""Ordering and validation of the heartbeats of the local upstream."""

from enum import Enum, unique

from msgspec import Struct
from msgspec.structs import replace

from verbenamill_model.typing import (
    ServiceName,
    UpstreamState,
    VersionName,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import LEAVE_SEQUENCE, UpstreamRecord

#: Maximum number of instances whose shutdown is remembered. A VM has only one
#: upstream at a time.
MAX_REMEMBERED = 32


class Heartbeat(Struct, frozen=True, kw_only=True):
    """A heartbeat of an upstream.

    :param born: start of the upstream, as Unix time in milliseconds; 0 if not
        stated.
    :param sequence: increases with each heartbeat of one start.
    :param cold: remaining time for which it is slow after its start, in
        seconds.
    """

    instance: str
    address: str
    service: ServiceName
    version: VersionName
    slots: int
    state: UpstreamState
    sequence: int
    born: int
    cold: float = 0


@unique
class HeartbeatResult(Enum):
    """Result of processing a heartbeat."""

    CHANGED = 'news'
    UNCHANGED = 'known'
    STALE = 'stale'
    OTHER_ADDRESS = 'elsewhere'


class UpstreamTracker:
    """State of the local upstream, from its heartbeats.

    A heartbeat may be delayed by seconds. A heartbeat of a crashed upstream
    must not replace its successor, and one from before a drain must not undo
    the drain: callers would be sent to an upstream that refuses requests or
    terminates. Heartbeats are therefore ordered by start time and number.

    :param address: address on which the local upstream listens.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._current: UpstreamRecord | None = None
        self._shutdowns: dict[str, tuple[int, int]] = {}

    @property
    def current(self) -> UpstreamRecord | None:
        """The last known upstream, even if it drains or has terminated."""
        return self._current

    def update(self, beat: Heartbeat) -> HeartbeatResult:
        """Process a heartbeat."""
        if beat.address != self._address:
            return HeartbeatResult.OTHER_ADDRESS
        order = (beat.born, beat.sequence)
        if self._shutdowns.get(beat.instance, (-1, -1)) >= order:
            return HeartbeatResult.STALE
        current = self._current
        if current is not None and not _is_newer_heartbeat(current, beat):
            return HeartbeatResult.STALE
        record = UpstreamRecord(
            instance=beat.instance,
            born=beat.born,
            heartbeat=beat.sequence,
            service=beat.service,
            version=beat.version,
            state=beat.state,
            slots=beat.slots,
            limit=_inherited_limit(current, beat),
        )
        self._current = record
        if current is not None and _differs_only_in_number(current, record):
            return HeartbeatResult.UNCHANGED
        return HeartbeatResult.CHANGED

    def leave(self, instance: str, born: int, *, now: int) -> bool:
        """Process a shutdown notice; returns whether it is the current one.

        :param born: start of the upstream that sent it; 0 if not stated.
        :param now: Unix time in milliseconds.
        """
        current = self._current
        if current is None and born:
            # A daemon that has just started knows no upstream yet. The notice
            # still applies, and a delayed heartbeat must not undo it, also
            # after another restart.
            self._remember_leave(instance, born)
            self._current = _make_tombstone(instance, born)
            return False
        if current is None or current.instance != instance:
            # A notice without a start time ends every start until now: a
            # delayed heartbeat states an earlier start, a successor a later
            # one.
            self._remember_leave(instance, born or now)
            return False
        if born and born < current.born:
            return False
        # Heartbeats from before the notice may still arrive. All heartbeats of
        # this start are ignored from now on, whatever their number.
        self._end(UpstreamState.GONE)
        return True

    def keeps_out(self, instance: str, born: int) -> bool:
        """Whether the current record keeps a start from getting requests.

        :param born: start of the upstream; 0 if not stated.
        """
        current = self._current
        if current is None:
            return True
        if current.instance == instance:
            return current.state is not UpstreamState.READY
        # No delayed heartbeat of an earlier start replaces the current one.
        return born <= current.born

    def leave_in_band(self, instance: str, born: int) -> bool:
        """Process a shutdown notice in an answer; returns whether it is new.

        The upstream completes its running requests. Its heartbeats may still
        state that it is ready.
        """
        current = self._current
        if current is None or (current.instance, current.born) != (
            instance,
            born,
        ):
            return False
        if current.has_left:
            return False
        self._end(UpstreamState.DRAINING)
        return True

    def has_left(self, upstream: UpstreamRecord) -> bool:
        """Whether a start of an upstream has announced its shutdown."""
        known = self._shutdowns.get(upstream.instance, (-1, -1))
        return known >= (upstream.born, upstream.heartbeat)

    def mark_gone(self, instance: str) -> None:
        """Mark an instance as not listening, until its next heartbeat."""
        if self._current is not None and self._current.instance == instance:
            self._set_state(UpstreamState.GONE)

    def set_limit(self, limit: RateLimit | None) -> None:
        """Set or clear the rate limit of the current upstream."""
        if self._current is not None:
            self._current = replace(self._current, limit=limit)

    def restore(self, record: UpstreamRecord) -> bool:
        """Apply a record kept by other daemons; returns whether it is new.

        A daemon that was killed right after it acknowledged a drain has lost
        that state. Without the record, a delayed heartbeat from before the
        drain would make the upstream ready again.
        """
        if record.state is UpstreamState.READY:
            return self._restore_ready(record)
        known = self._shutdowns.get(record.instance, (-1, -1))
        order = (record.born, record.heartbeat)
        if order > known:
            self._shutdowns[record.instance] = order
            self._evict_oldest()
        current = self._current
        if current is None:
            # The record is announced again, so that it also applies after
            # further restarts of this daemon.
            self._current = record
            return True
        if current.instance != record.instance or not _is_newer_record(
            record,
            current,
        ):
            return False
        self._current = replace(
            current,
            state=record.state,
            heartbeat=record.heartbeat,
        )
        return True

    def _restore_ready(self, record: UpstreamRecord) -> bool:
        """Use the upstream of the previous process until its next heartbeat.

        Requests state the instance that they are for, so a different upstream
        that has started at the address refuses them.
        """
        if self._current is not None or record.instance in self._shutdowns:
            return False
        self._current = record
        return True

    def _end(self, state: UpstreamState) -> None:
        """Record that the current upstream has announced its shutdown."""
        current = self._current
        assert current is not None
        self._remember_leave(current.instance, current.born)
        self._current = replace(
            current,
            state=state,
            heartbeat=LEAVE_SEQUENCE,
        )

    def _remember_leave(self, instance: str, born: int) -> None:
        self._shutdowns[instance] = (born, LEAVE_SEQUENCE)
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while len(self._shutdowns) > MAX_REMEMBERED:
            self._shutdowns.pop(next(iter(self._shutdowns)))

    def _set_state(self, state: UpstreamState) -> None:
        current = self._current
        assert current is not None
        self._current = replace(current, state=state)


def _make_tombstone(instance: str, born: int) -> UpstreamRecord:
    """Make the record of an upstream of which only its leave is known."""
    return UpstreamRecord(
        instance=instance,
        born=born,
        heartbeat=LEAVE_SEQUENCE,
        service=ServiceName(''),
        version=VersionName(''),
        state=UpstreamState.GONE,
        slots=1,
    )


def _is_newer_heartbeat(current: UpstreamRecord, beat: Heartbeat) -> bool:
    if beat.born != current.born:
        return beat.born > current.born
    return beat.instance == current.instance and (
        beat.sequence > current.heartbeat
    )


def _is_newer_record(record: UpstreamRecord, current: UpstreamRecord) -> bool:
    """Whether a record kept by other daemons is newer than the current one."""
    if record.state is current.state or current.state is UpstreamState.GONE:
        return False
    return (record.born, record.heartbeat) >= (
        current.born,
        current.heartbeat,
    )


def _inherited_limit(
    current: UpstreamRecord | None,
    beat: Heartbeat,
) -> RateLimit | None:
    """The rate limit that the same start of an upstream has announced."""
    if current is None:
        return None
    is_same = (current.instance, current.born) == (beat.instance, beat.born)
    return current.limit if is_same else None


def _differs_only_in_number(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    return replace(one, heartbeat=other.heartbeat) == other
