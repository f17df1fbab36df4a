"""Who takes part: one record for each daemon, the newest one wins."""

from collections.abc import Iterable, Iterator
from zlib import crc32

import msgspec
from msgspec import Struct

from verbenamill_model.typing import (
    AvailabilityZone,
    ServiceName,
    UpstreamState,
    VersionName,
    VmId,
)

#: Parts of the table that two daemons compare. With 64 of them, a table of
#: some thousand members differs in few parts after some changes.
BUCKETS = 64


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """The upstream beside a daemon, as the daemon tells the others.

    :param instance: differs for each start of an upstream, mostly.
    :param born: start of the upstream, Unix time in milliseconds.
    :param heartbeat: number of the heartbeat that told this.
    :param slots: requests it works on at a time.
    """

    instance: str
    born: int
    heartbeat: int
    service: ServiceName
    version: VersionName
    state: UpstreamState
    slots: int


class MemberRecord(Struct, frozen=True, array_like=True):
    """What a daemon tells of itself.

    :param incarnation: differs for each start of the daemon.
    :param sequence: grows with each change within an incarnation.
    :param calls: ``host:port`` where it takes requests of other daemons.
    :param gossip: ``host:port`` for datagrams.
    :param leaving: takes no further work.
    """

    vm: VmId
    incarnation: int
    sequence: int
    availability_zone: AvailabilityZone
    calls: str
    gossip: str
    leaving: bool = False
    upstream: UpstreamRecord | None = None

    @property
    def age(self) -> tuple[int, int]:
        """Order of two records of one daemon."""
        return self.incarnation, self.sequence


class MemberTable:
    """All daemons known, and digests to compare two tables by."""

    def __init__(self) -> None:
        self._records: dict[VmId, MemberRecord] = {}
        self._prints: dict[VmId, int] = {}
        self._digests = [0 for _ in range(BUCKETS)]
        self.version = 0

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digests(self) -> list[int]:
        """One number for each bucket; equal tables have equal ones."""
        return self._digests

    def get(self, vm: VmId) -> MemberRecord | None:
        """The newest record of a daemon."""
        return self._records.get(vm)

    def merge(self, record: MemberRecord) -> bool:
        """Take in a record; tells whether it was news."""
        known = self._records.get(record.vm)
        if known is not None and known.age >= record.age:
            return False
        if not self._displaces(record):
            return False
        self._put(record)
        return True

    def in_buckets(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Records in some buckets."""
        wanted = set(buckets)
        return [record for record in self if bucket_of(record.vm) in wanted]

    def drop(self, vm: VmId) -> None:
        """Forget a daemon."""
        if self._records.pop(vm, None) is not None:
            self._digests[bucket_of(vm)] ^= self._prints.pop(vm)
            self.version += 1

    def _displaces(self, record: MemberRecord) -> bool:
        """Whether an address is this daemon's now.

        The address of a VM that is gone is given to another one. Of two
        that claim it, the one that started later is there; the other would
        get requests that are meant for the first.
        """
        for other in list(self._records.values()):
            if other.calls != record.calls or other.vm == record.vm:
                continue
            if other.incarnation >= record.incarnation:
                return False
            self.drop(other.vm)
        return True

    def _put(self, record: MemberRecord) -> None:
        bucket = bucket_of(record.vm)
        digest = crc32(msgspec.msgpack.encode(record))
        self._digests[bucket] ^= self._prints.get(record.vm, 0) ^ digest
        self._prints[record.vm] = digest
        self._records[record.vm] = record
        self.version += 1


def bucket_of(vm: VmId) -> int:
    """Bucket of the table that a daemon is in."""
    return crc32(vm.encode()) % BUCKETS
