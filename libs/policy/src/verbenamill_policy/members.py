"""Who takes part: one record for each daemon, the newest one wins."""

from collections.abc import Collection, Iterator
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
from verbenamill_policy.limits import RateLimit

#: Parts of a zone's records that two daemons compare: a zone of a thousand
#: daemons has some thirty in each, whose ages fit into one datagram.
BUCKETS = 32
#: Number that comes after each heartbeat of one start of an upstream: it said
#: that it ends, so what a heartbeat says of it counts no more.
LEAVE_SEQUENCE = 1 << 62


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """The upstream beside a daemon, as the daemon tells the others.

    :param instance: differs for each start of an upstream, mostly.
    :param born: start of the upstream, Unix time in milliseconds.
    :param heartbeat: number of the heartbeat that told this.
    :param slots: requests it works on at a time.
    :param limit: on the rate of requests, if it names one.
    """

    instance: str
    born: int
    heartbeat: int
    service: ServiceName
    version: VersionName
    state: UpstreamState
    slots: int
    limit: RateLimit | None = None

    @property
    def has_left(self) -> bool:
        """Whether this start said that it ends; no heartbeat undoes that."""
        return self.heartbeat == LEAVE_SEQUENCE


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
    def revision(self) -> tuple[int, int]:
        """Order of two records of one daemon."""
        return self.incarnation, self.sequence


class MemberTable:
    """All daemons known, by availability zone, and digests to compare by."""

    def __init__(self) -> None:
        self._records: dict[VmId, MemberRecord] = {}
        self._zones: dict[AvailabilityZone, _Zone] = {}
        self._by_address: dict[str, VmId] = {}
        self.version = 0

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digests(self) -> dict[AvailabilityZone, int]:
        """One number for each zone; equal tables have equal ones."""
        return {name: zone.digest for name, zone in self._zones.items()}

    @property
    def zones(self) -> Collection[AvailabilityZone]:
        """Zones that daemons are known in."""
        return self._zones.keys()

    def get(self, vm: VmId) -> MemberRecord | None:
        """The newest record of a daemon."""
        return self._records.get(vm)

    def in_zone(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """Records of a zone's daemons."""
        found = self._zones.get(zone)
        return [] if found is None else list(found.records.values())

    def bucket_digests(self, zone: AvailabilityZone) -> list[int]:
        """One number for each part of a zone."""
        found = self._zones.get(zone)
        return _empty_buckets() if found is None else list(found.buckets)

    def in_buckets(
        self,
        zone: AvailabilityZone,
        buckets: Collection[int],
    ) -> list[MemberRecord]:
        """Records in some parts of a zone."""
        return [
            record
            for record in self.in_zone(zone)
            if bucket_of(record.vm) in buckets
        ]

    def merge(self, record: MemberRecord) -> bool:
        """Take in a record; tells whether it was news."""
        known = self._records.get(record.vm)
        if known is not None and known.revision >= record.revision:
            return False
        if not self._displaces(record):
            return False
        if known is not None:
            self._remove(known)
        self._put(record)
        self.version += 1
        return True

    def drop(self, vm: VmId) -> None:
        """Forget a daemon."""
        known = self._records.get(vm)
        if known is not None:
            self._remove(known)
            self.version += 1

    def _displaces(self, record: MemberRecord) -> bool:
        """Whether an address is this daemon's now.

        The address of a VM that is gone is given to another one. Of two
        that claim it, the one that started later is there; the other would
        get requests that are meant for the first.
        """
        vm = self._by_address.get(record.calls)
        if vm is None or vm == record.vm:
            return True
        if self._records[vm].incarnation >= record.incarnation:
            return False
        self.drop(vm)
        return True

    def _put(self, record: MemberRecord) -> None:
        self._records[record.vm] = record
        self._by_address[record.calls] = record.vm
        zone = self._zones.setdefault(record.availability_zone, _Zone())
        zone.put(record)

    def _remove(self, record: MemberRecord) -> None:
        self._records.pop(record.vm)
        self._by_address.pop(record.calls, None)
        zone = self._zones[record.availability_zone]
        zone.remove(record.vm)
        if not zone.records:
            self._zones.pop(record.availability_zone)


class _Zone:
    """Records of one availability zone, with their digests."""

    def __init__(self) -> None:
        self.records: dict[VmId, MemberRecord] = {}
        self.buckets = _empty_buckets()
        self.digest = 0
        self._prints: dict[VmId, int] = {}

    def put(self, record: MemberRecord) -> None:
        """Add the record of a daemon that is not in it."""
        self.records[record.vm] = record
        found = crc32(msgspec.msgpack.encode(record))
        self._prints[record.vm] = found
        self._mix(record.vm, found)

    def remove(self, vm: VmId) -> None:
        """Take a daemon out."""
        self.records.pop(vm)
        self._mix(vm, self._prints.pop(vm))

    def _mix(self, vm: VmId, found: int) -> None:
        self.buckets[bucket_of(vm)] ^= found
        self.digest ^= found


def _empty_buckets() -> list[int]:
    return [0 for _ in range(BUCKETS)]


def bucket_of(vm: VmId) -> int:
    """Part of its zone that a daemon is in."""
    return crc32(vm.encode()) % BUCKETS
