"""Which heartbeats of the own upstream are believed."""

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

#: Instances whose leaving is remembered; a VM has one upstream at a time.
MAX_REMEMBERED = 32


class Heartbeat(Struct, frozen=True, kw_only=True):
    """What an upstream says of itself.

    :param born: its start, Unix time in milliseconds; 0 if it says nothing.
    :param sequence: grows with each heartbeat of one start.
    :param cold: how much longer it is slow after its start, in seconds.
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
    """What became of a heartbeat."""

    CHANGED = 'news'
    UNCHANGED = 'known'
    STALE = 'stale'
    OTHER_ADDRESS = 'elsewhere'


class UpstreamTracker:
    """The upstream beside this daemon, from its heartbeats.

    A heartbeat may be late by seconds. One of an upstream that crashed must
    not bring it back in place of its successor, and one from before a drain
    must not undo the drain: callers would be sent to an upstream that
    refuses or ends. Start time and number order all of them.

    :param address: where the own upstream listens.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._current: UpstreamRecord | None = None
        self._left: dict[str, tuple[int, int]] = {}

    @property
    def current(self) -> UpstreamRecord | None:
        """The upstream as last told, also when it drains or is gone."""
        return self._current

    def update(self, beat: Heartbeat) -> HeartbeatResult:
        """Take in a heartbeat."""
        if beat.address != self._address:
            return HeartbeatResult.OTHER_ADDRESS
        order = (beat.born, beat.sequence)
        if self._left.get(beat.instance, (-1, -1)) >= order:
            return HeartbeatResult.STALE
        current = self._current
        if current is not None and not _follows(current, beat):
            return HeartbeatResult.STALE
        record = UpstreamRecord(
            instance=beat.instance,
            born=beat.born,
            heartbeat=beat.sequence,
            service=beat.service,
            version=beat.version,
            state=beat.state,
            slots=beat.slots,
            limit=_keep_limit(current, beat),
        )
        self._current = record
        if current is not None and _same_facts(current, record):
            return HeartbeatResult.UNCHANGED
        return HeartbeatResult.CHANGED

    def leave(self, instance: str, born: int, *, now: int) -> bool:
        """An upstream said that it ends; tells whether it was the current.

        :param born: start of the upstream that says so; 0 if not told.
        :param now: Unix time in milliseconds.
        """
        current = self._current
        if current is None or current.instance != instance:
            # A daemon that was just started knows no upstream yet. Its word
            # binds it all the same, and a late heartbeat must not undo it.
            # Without a start every start until now has ended: a heartbeat
            # that is late tells an earlier one, a successor a later one.
            self._remember(instance, born or now)
            return False
        if born and born < current.born:
            return False
        # Heartbeats from before the leave may still come; all of this start
        # are void, whatever their number.
        self._end(UpstreamState.GONE)
        return True

    def leave_in_band(self, instance: str, born: int) -> bool:
        """An answer says that the upstream leaves; tells whether it is news.

        It ends what it runs. Its heartbeats may go on saying that it is ready.
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
        """Whether a start of an upstream said that it ends."""
        known = self._left.get(upstream.instance, (-1, -1))
        return known >= (upstream.born, upstream.heartbeat)

    def mark_gone(self, instance: str) -> None:
        """Nobody of this name listens any more, until a heartbeat comes."""
        if self._current is not None and self._current.instance == instance:
            self._set_state(UpstreamState.GONE)

    def set_limit(self, limit: RateLimit | None) -> None:
        """The current upstream names a limit, or none any more."""
        if self._current is not None:
            self._current = replace(self._current, limit=limit)

    def restore(self, record: UpstreamRecord) -> bool:
        """Heed what other daemons remember; tells whether it was news.

        A daemon that was killed right after it acknowledged a drain forgot
        it. A late heartbeat from before would then bring the upstream back.
        """
        if record.state is UpstreamState.READY:
            return self._resume(record)
        known = self._left.get(record.instance, (-1, -1))
        order = (record.born, record.heartbeat)
        if order > known:
            self._left[record.instance] = order
            self._trim()
        current = self._current
        if current is None and record.has_left:
            # Told on, it also binds the starts of this daemon to come.
            self._current = record
            return True
        if current is None:
            return False
        if current.instance != record.instance or not _is_later(
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

    def _resume(self, record: UpstreamRecord) -> bool:
        """Use the upstream of the process before until it tells more.

        Requests name the instance that they are for, so another upstream
        that listens there by now refuses them.
        """
        if self._current is not None or record.instance in self._left:
            return False
        self._current = record
        return True

    def _end(self, state: UpstreamState) -> None:
        """The current upstream has said that it ends."""
        current = self._current
        assert current is not None
        self._remember(current.instance, current.born)
        self._current = replace(
            current,
            state=state,
            heartbeat=LEAVE_SEQUENCE,
        )

    def _remember(self, instance: str, born: int) -> None:
        self._left[instance] = (born, LEAVE_SEQUENCE)
        self._trim()

    def _trim(self) -> None:
        while len(self._left) > MAX_REMEMBERED:
            self._left.pop(next(iter(self._left)))

    def _set_state(self, state: UpstreamState) -> None:
        current = self._current
        assert current is not None
        self._current = replace(current, state=state)


def _follows(current: UpstreamRecord, beat: Heartbeat) -> bool:
    if beat.born != current.born:
        return beat.born > current.born
    return beat.instance == current.instance and (
        beat.sequence > current.heartbeat
    )


def _is_later(record: UpstreamRecord, current: UpstreamRecord) -> bool:
    """Whether what others remember says more than what is known."""
    if record.state is current.state or current.state is UpstreamState.GONE:
        return False
    return (record.born, record.heartbeat) >= (
        current.born,
        current.heartbeat,
    )


def _keep_limit(
    current: UpstreamRecord | None,
    beat: Heartbeat,
) -> RateLimit | None:
    """The limit that the same start of an upstream has named."""
    if current is None:
        return None
    is_same = (current.instance, current.born) == (beat.instance, beat.born)
    return current.limit if is_same else None


def _same_facts(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    return replace(one, heartbeat=other.heartbeat) == other
