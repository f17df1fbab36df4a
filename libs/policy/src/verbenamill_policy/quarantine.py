"""Requests under which upstreams crash: who is suspected, who is blocked.

A query of death crashes each upstream that runs it, and its caller sends it
again. A crash alone tells little: all requests in hand beside it are lost as
well. But a harmless one completes elsewhere, soon after, and a deadly one
never does. So each crash accuses what was in hand and did not complete, and a
completion clears. What was in hand at several crashes runs alone from then on,
and if upstreams still crash under it, it is blocked.

All daemons merge what they know. Records of one round are joined, and a later
round replaces an earlier one, so the order in which records come is of no
matter.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NewType
from zlib import crc32

import msgspec
from msgspec import Struct

from verbenamill_policy.fingerprints import SIZE, Fingerprint

#: Names one crash of one upstream.
CrashId = NewType('CrashId', str)

#: Crashes from which on a request runs once at a time at each daemon, and
#: from which on it is blocked, if one of them was in such a run.
ISOLATE_AFTER = 2
BLOCK_AFTER = 3
#: Time from the crash that blocks to the first refusal, in seconds. Requests
#: are held meanwhile: upstreams of one rack may crash together, and copies of
#: a popular request under way elsewhere complete and clear it.
HOLD_TIME = 0.5
#: Time of the first block, in seconds, and its factor at each further crash.
BLOCK_TIME = 900
BLOCK_FACTOR = 4
LONGEST_BLOCK = 24 * 3600
#: How long a suspicion that never led to a block is kept, in seconds.
SUSPICION_TIME = 900
#: Bounds of what callers and other daemons can make this one remember.
MAX_RECORDS = 512
MAX_CRASHES = 8
MAX_NAME = 64
MAX_ABOUT = 120


class Suspect(Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of one fingerprint.

    :param round: grows when the request is cleared.
    :param crashes: under it in this round, in alphabetical order; none once
        it is cleared.
    :param alone: those of them in runs that were begun for a suspicion, one
        at a time.
    :param changed_at: newest crash, or when it was cleared; Unix time in s.
    :param about: method, host and path, for operators.
    """

    fingerprint: Fingerprint
    round: int = 0
    crashes: tuple[CrashId, ...] = ()
    changed_at: int = 0
    about: str = ''
    alone: tuple[CrashId, ...] = ()

    @property
    def is_blocked(self) -> bool:
        """Whether it was in hand at enough crashes to be refused."""
        return len(self.crashes) >= BLOCK_AFTER and bool(self.alone)

    @property
    def block_time(self) -> int:
        """How long its newest crash blocks it, in seconds."""
        further = len(self.crashes) - BLOCK_AFTER
        if further < 0:
            return 0
        span = int(BLOCK_TIME * BLOCK_FACTOR**further)
        return min(span, LONGEST_BLOCK)


@unique
class QuarantineStatus(Enum):
    """What may be done with a request.

    ``HELD`` waits until it is cleared, or is refused. ``ISOLATED`` runs while
    no other copy of it does, so that one run at a time can crash an upstream.
    """

    CLEAR = 'clear'
    SUSPECTED = 'watched'
    ISOLATED = 'isolated'
    HELD = 'held'
    BLOCKED = 'blocked'


@unique
class MergeResult(Enum):
    """What became of another daemon's record.

    ``BEHIND``: the other one lacks something that is known here.
    """

    CHANGED = 'news'
    KNOWN = 'known'
    SENDER_BEHIND = 'behind'


class Quarantine:
    """All fingerprints that are suspected, as one daemon knows them.

    :param block_jitter: share of a block's time that this daemon waits longer
        before it lets one copy run again. It differs between daemons, so that
        the first that tries tells the others before they do.
    """

    def __init__(self, *, block_jitter: float = 0) -> None:
        self._block_jitter = block_jitter
        self._records: dict[Fingerprint, Suspect] = {}
        self._shared: set[Fingerprint] = set()
        self._untold: set[Fingerprint] = set()
        self._held_until: dict[Fingerprint, float] = {}
        self._accused = 0

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is suspected, so that no request needs a look."""
        return not self._accused

    @property
    def suspected_count(self) -> int:
        """Fingerprints that are suspected or blocked."""
        return self._accused

    @property
    def blocked(self) -> list[Suspect]:
        """Those that are refused, or were until a further run is due."""
        return [one for one in self if one.is_blocked]

    @property
    def digest(self) -> int:
        """One number for all that is blocked; equal knowledge, equal number."""
        found = 0
        for one in self.blocked:
            found ^= crc32(msgspec.msgpack.encode(one))
        return found

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """What is known of a fingerprint."""
        return self._records.get(fingerprint)

    def find_status(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        wall: float,
    ) -> QuarantineStatus:
        """What may be done with a request.

        :param now: on a monotonic clock, in seconds.
        :param wall: Unix time in seconds; it may jump by some seconds.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return QuarantineStatus.CLEAR
        if not record.is_blocked:
            is_alone = len(record.crashes) >= ISOLATE_AFTER
            return (
                QuarantineStatus.ISOLATED
                if is_alone
                else QuarantineStatus.SUSPECTED
            )
        if now < self._held_until.get(fingerprint, 0):
            return QuarantineStatus.HELD
        is_over = not self.blocked_for(record, wall=wall)
        return (
            QuarantineStatus.ISOLATED if is_over else QuarantineStatus.BLOCKED
        )

    def blocked_for(self, record: Suspect, *, wall: float) -> float:
        """How much longer a request is refused here, in seconds."""
        # Beside a request of more crashes it may have been a passenger.
        if all(self._is_explained(one, record) for one in record.alone):
            return 0
        if not record.is_blocked:
            return 0
        span = record.block_time * (1 + self._block_jitter)
        return max(record.changed_at + span - wall, 0)

    def held_until(self, fingerprint: Fingerprint) -> float:
        """End of the time in which a request is held, on the clock of now."""
        return self._held_until.get(fingerprint, 0)

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Whether one coming of a request may reach a further upstream."""
        record = self._records.get(fingerprint)
        return record is None or len(record.crashes) < ISOLATE_AFTER

    def record_crash(
        self,
        fingerprint: Fingerprint,
        crash: CrashId,
        *,
        about: str,
        alone: bool,
        now: float,
        wall: float,
    ) -> None:
        """Note that an upstream crashed while it ran a request.

        :param alone: whether the run was begun with the request suspected, so
            that no other copy ran from the same daemon.
        """
        known = self._records.get(fingerprint) or Suspect(
            fingerprint=fingerprint,
            about=about[:MAX_ABOUT],
        )
        name = CrashId(crash[:MAX_NAME])
        if name in known.crashes:
            return
        self._put(
            msgspec.structs.replace(
                known,
                crashes=_join(known.crashes, (name,)),
                alone=_join(known.alone, (name,) if alone else ()),
                changed_at=int(wall),
            ),
            now=now,
        )
        self._untold.add(fingerprint)

    def record_completion(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        wall: float,
    ) -> bool:
        """Note that a request has completed; tells whether others must know.

        :returns: ``True`` if other daemons know of the suspicion.
        """
        known = self._records.get(fingerprint)
        if known is None or not known.crashes:
            return False
        if fingerprint not in self._shared:
            self._drop(fingerprint)
            return False
        self._put(
            msgspec.structs.replace(
                known,
                round=known.round + 1,
                crashes=(),
                alone=(),
                changed_at=int(wall),
            ),
            now=now,
        )
        return True

    def mark_shared(self, fingerprint: Fingerprint) -> bool:
        """Mark a suspicion as told; tells whether others lack something."""
        if fingerprint not in self._untold:
            return False
        self._untold.discard(fingerprint)
        self._shared.add(fingerprint)
        return True

    def merge(self, record: Suspect, *, now: float) -> MergeResult:
        """Take in what another daemon knows."""
        if not _is_sound(record):
            return MergeResult.KNOWN
        known = self._records.get(record.fingerprint)
        self._shared.add(record.fingerprint)
        if known is None or record.round > known.round:
            self._put(record, now=now)
            return MergeResult.CHANGED
        if record.round < known.round:
            return MergeResult.SENDER_BEHIND
        joined = msgspec.structs.replace(
            known,
            crashes=_join(known.crashes, record.crashes),
            alone=_join(known.alone, record.alone),
            changed_at=max(known.changed_at, record.changed_at),
            about=max(known.about, record.about),
        )
        if joined != known:
            self._put(joined, now=now)
            return MergeResult.CHANGED
        return (
            MergeResult.KNOWN if joined == record else MergeResult.SENDER_BEHIND
        )

    def sweep(self, *, wall: float) -> None:
        """Forget what is too old to be of use."""
        for one in list(self):
            if wall > one.changed_at + _life_of(one):
                self._drop(one.fingerprint)

    def _is_explained(self, crash: CrashId, record: Suspect) -> bool:
        """Whether a request of more crashes was in hand at a crash as well."""
        return any(
            crash in other.crashes and len(other.crashes) > len(record.crashes)
            for other in self
        )

    def _put(self, record: Suspect, *, now: float) -> None:
        fingerprint = record.fingerprint
        before = self._records.get(fingerprint)
        was_blocked = before is not None and before.is_blocked
        if record.is_blocked and not was_blocked:
            self._held_until[fingerprint] = now + HOLD_TIME
        self._records[fingerprint] = record
        self._accused += bool(record.crashes)
        self._accused -= before is not None and bool(before.crashes)
        if len(self._records) > MAX_RECORDS:
            least = min(self, key=_weight)
            self._drop(least.fingerprint)

    def _drop(self, fingerprint: Fingerprint) -> None:
        record = self._records.pop(fingerprint)
        self._accused -= bool(record.crashes)
        self._shared.discard(fingerprint)
        self._untold.discard(fingerprint)
        self._held_until.pop(fingerprint, None)


def _join(
    one: tuple[CrashId, ...],
    other: tuple[CrashId, ...],
) -> tuple[CrashId, ...]:
    return tuple(sorted({*one, *other})[:MAX_CRASHES])


def _life_of(record: Suspect) -> int:
    """How long a record is kept after its newest change, in seconds."""
    if record.crashes and not record.is_blocked:
        return SUSPICION_TIME
    # A block that has ended is remembered, so that one further crash renews
    # it; what was cleared, so that a daemon that was cut off cannot undo it.
    return record.block_time + LONGEST_BLOCK


def _weight(record: Suspect) -> tuple[int, int]:
    """Order in which records give way: those with most crashes stay."""
    return len(record.crashes), record.changed_at


def _is_sound(record: Suspect) -> bool:
    """Whether a record is one that a daemon of ours could have made."""
    for names in (record.crashes, record.alone):
        is_long = any(len(one) > MAX_NAME for one in names)
        if is_long or names != _join(names, ()):
            return False
    return (
        len(record.fingerprint) == SIZE
        and record.round >= 0
        and len(record.about) <= MAX_ABOUT
    )
