"""Quarantine of requests under which upstreams crash.

A query of death crashes each upstream that runs it, and its caller sends it
again. A single crash is weak evidence, since all other requests in flight at
that upstream are lost as well. However, a harmless request soon completes at
another upstream, and a deadly one never does. Each crash therefore counts
against the requests that were in flight and have not completed, and a
completion clears a request. A request that was in flight at several crashes
runs in isolation from then on, and is blocked if upstreams still crash.

All daemons merge their records. Records of one round are joined, and a later
round replaces an earlier one, so the result does not depend on the order in
which records arrive.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NewType
from zlib import crc32

import msgspec
from msgspec import Struct

from verbenamill_model.external import Number
from verbenamill_policy.fingerprints import FINGERPRINT_BYTES, Fingerprint

#: Identifies one crash of one upstream.
CrashId = NewType('CrashId', str)

#: Number of crashes from which on each daemon runs a request once at a time.
ISOLATE_AFTER = 2
#: Number of crashes from which on a request is blocked, if one of them
#: occurred in an isolated run.
BLOCK_AFTER = 3
#: Time from the crash that blocks a request to its first refusal, in seconds.
#: Meanwhile requests are held: upstreams of one rack may crash together, and
#: copies of a popular request that are in flight elsewhere complete and clear
#: it.
HOLD_TIME = 0.5
#: Duration of the first block, in seconds, and its factor for each further
#: crash.
BLOCK_TIME = 900
BLOCK_FACTOR = 4
MAX_BLOCK_TIME = 24 * 3600
#: Lifetime of a suspicion that never led to a block, in seconds.
SUSPICION_TIME = 900
#: Bounds of the memory that callers and other daemons can make this one use.
MAX_RECORDS = 512
MAX_CRASHES = 8
MAX_NAME_LENGTH = 64
MAX_ABOUT_LENGTH = 120


class Suspect(Struct, frozen=True, kw_only=True, array_like=True):
    """Everything known about one fingerprint.

    :param round: increases when the request is cleared.
    :param crashes: crashes in this round while the request was in flight, in
        alphabetical order; empty once it is cleared.
    :param alone: the subset of crashes that occurred in isolated runs, which
        are started one at a time because of the suspicion.
    :param changed_at: time of the newest crash or of the clearance, as Unix
        time in seconds.
    :param about: method, host and path, for operators.
    """

    fingerprint: Fingerprint
    round: Number = 0
    crashes: tuple[CrashId, ...] = ()
    changed_at: Number = 0
    about: str = ''
    alone: tuple[CrashId, ...] = ()

    @property
    def is_blocked(self) -> bool:
        """Whether enough crashes occurred to refuse the request."""
        return len(self.crashes) >= BLOCK_AFTER and bool(self.alone)

    @property
    def block_time(self) -> int:
        """Duration of the block after the newest crash, in seconds."""
        excess = len(self.crashes) - BLOCK_AFTER
        if excess < 0:
            return 0
        duration = int(BLOCK_TIME * BLOCK_FACTOR**excess)
        return min(duration, MAX_BLOCK_TIME)


@unique
class QuarantineStatus(Enum):
    """Treatment of a request.

    ``HELD`` requests wait until they are cleared or refused. ``ISOLATED``
    requests run while no other copy of them does, so that only one run at a
    time can crash an upstream.
    """

    CLEAR = 'clear'
    SUSPECTED = 'watched'
    ISOLATED = 'isolated'
    HELD = 'held'
    BLOCKED = 'blocked'


@unique
class MergeResult(Enum):
    """Result of merging another daemon's record.

    ``SENDER_BEHIND`` means that the other daemon lacks something known here.
    """

    CHANGED = 'news'
    KNOWN = 'known'
    SENDER_BEHIND = 'behind'


class Quarantine:
    """All suspected fingerprints that one daemon knows of.

    :param block_jitter: share of a block's duration that this daemon waits
        longer before it runs one copy again. It differs between daemons, so
        that the first daemon to try reports its result before the others try.
    """

    def __init__(self, *, block_jitter: float = 0) -> None:
        self._block_jitter = block_jitter
        self._records: dict[Fingerprint, Suspect] = {}
        self._shared: set[Fingerprint] = set()
        self._unshared: set[Fingerprint] = set()
        self._held_until: dict[Fingerprint, float] = {}
        self._suspected_count = 0

    def __iter__(self) -> Iterator[Suspect]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is suspected, so that requests need no check."""
        return not self._suspected_count

    @property
    def suspected_count(self) -> int:
        """Number of fingerprints that are suspected or blocked."""
        return self._suspected_count

    @property
    def blocked(self) -> list[Suspect]:
        """Blocked records, including those whose block has expired."""
        return [one for one in self if one.is_blocked]

    @property
    def digest(self) -> int:
        """Checksum of all blocked records, to compare two daemons by."""
        checksum = 0
        for one in self.blocked:
            checksum ^= crc32(msgspec.msgpack.encode(one))
        return checksum

    def get(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return the record of a fingerprint."""
        return self._records.get(fingerprint)

    def find_status(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        wall: float,
    ) -> QuarantineStatus:
        """Find how a request is treated.

        :param now: time on a monotonic clock, in seconds.
        :param wall: Unix time in seconds; it may jump by some seconds.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return QuarantineStatus.CLEAR
        if not record.is_blocked:
            is_isolated = len(record.crashes) >= ISOLATE_AFTER
            return (
                QuarantineStatus.ISOLATED
                if is_isolated
                else QuarantineStatus.SUSPECTED
            )
        if now < self._held_until.get(fingerprint, 0):
            return QuarantineStatus.HELD
        has_expired = not self.blocked_for(record, wall=wall)
        return (
            QuarantineStatus.ISOLATED
            if has_expired
            else QuarantineStatus.BLOCKED
        )

    def blocked_for(self, record: Suspect, *, wall: float) -> float:
        """Remaining time for which a request is refused here, in seconds."""
        # A request with more crashes that was in flight at the same time is
        # the more likely cause of each of them.
        if all(self._is_explained(one, record) for one in record.alone):
            return 0
        if not record.is_blocked:
            return 0
        duration = record.block_time * (1 + self._block_jitter)
        return max(record.changed_at + duration - wall, 0)

    def held_until(self, fingerprint: Fingerprint) -> float:
        """Time until which a request is held, on the monotonic clock."""
        return self._held_until.get(fingerprint, 0)

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        """Whether a failed request may be sent to a further upstream."""
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
        """Record that an upstream crashed while it ran a request.

        :param alone: whether the request was suspected when the run started,
            so that no other copy ran from the same daemon.
        """
        known = self._records.get(fingerprint) or Suspect(
            fingerprint=fingerprint,
            about=about[:MAX_ABOUT_LENGTH],
        )
        crash_id = CrashId(crash[:MAX_NAME_LENGTH])
        if crash_id in known.crashes:
            return
        self._put(
            msgspec.structs.replace(
                known,
                crashes=_join(known.crashes, (crash_id,)),
                alone=_join(known.alone, (crash_id,) if alone else ()),
                changed_at=int(wall),
            ),
            now=now,
        )
        self._unshared.add(fingerprint)

    def record_completion(
        self,
        fingerprint: Fingerprint,
        *,
        now: float,
        wall: float,
    ) -> bool:
        """Clear a request, since an upstream has completed it.

        :returns: ``True`` if other daemons know of the suspicion and have to
            be informed.
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
        """Mark a suspicion as sent to the other daemons.

        :returns: ``True`` if it holds something that was not sent before.
        """
        if fingerprint not in self._unshared:
            return False
        self._unshared.discard(fingerprint)
        self._shared.add(fingerprint)
        return True

    def merge(self, record: Suspect, *, now: float) -> MergeResult:
        """Merge a record of another daemon."""
        if not _is_valid(record):
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
        """Remove expired records."""
        for one in list(self):
            if wall > one.changed_at + _lifetime(one):
                self._drop(one.fingerprint)

    def _is_explained(self, crash: CrashId, record: Suspect) -> bool:
        """Whether a request with more crashes was in flight at a crash."""
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
        self._suspected_count += bool(record.crashes)
        self._suspected_count -= before is not None and bool(before.crashes)
        if len(self._records) > MAX_RECORDS:
            least = min(self, key=_eviction_key)
            self._drop(least.fingerprint)

    def _drop(self, fingerprint: Fingerprint) -> None:
        record = self._records.pop(fingerprint)
        self._suspected_count -= bool(record.crashes)
        self._shared.discard(fingerprint)
        self._unshared.discard(fingerprint)
        self._held_until.pop(fingerprint, None)


def _join(
    one: tuple[CrashId, ...],
    other: tuple[CrashId, ...],
) -> tuple[CrashId, ...]:
    return tuple(sorted({*one, *other})[:MAX_CRASHES])


def _lifetime(record: Suspect) -> int:
    """Time that a record is kept after its newest change, in seconds."""
    if record.crashes and not record.is_blocked:
        return SUSPICION_TIME
    # An expired block is kept so that a single further crash renews it. A
    # cleared record is kept so that a daemon that was partitioned off cannot
    # bring the suspicion back.
    return record.block_time + MAX_BLOCK_TIME


def _eviction_key(record: Suspect) -> tuple[int, int]:
    """Order in which records are evicted; those with most crashes stay."""
    return len(record.crashes), record.changed_at


def _is_valid(record: Suspect) -> bool:
    """Whether a daemon of this program could have made a record."""
    for names in (record.crashes, record.alone):
        has_long_name = any(len(one) > MAX_NAME_LENGTH for one in names)
        if has_long_name or names != _join(names, ()):
            return False
    return (
        len(record.fingerprint) == FINGERPRINT_BYTES
        and record.round >= 0
        and len(record.about) <= MAX_ABOUT_LENGTH
    )
