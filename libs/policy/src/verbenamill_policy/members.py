"""Cluster membership: one record for each daemon, of which the newest wins."""

from collections.abc import Collection, Iterator
from zlib import crc32

import msgspec
from msgspec import Struct

from verbenamill_model.external import (
    MAX_NUMBER,
    InstanceField,
    Number,
    ServiceField,
    Slots,
    TextField,
    UnixMs,
    VersionField,
    VmField,
    ZoneField,
)
from verbenamill_model.typing import AvailabilityZone, UpstreamState, VmId
from verbenamill_policy.limits import RateLimit

#: Number of buckets of a zone's records whose digests two daemons compare. A
#: zone of a thousand daemons has about thirty in each bucket, whose revisions
#: fit into one datagram.
BUCKETS = 32
#: Heartbeat number of an upstream that announced its shutdown. It is higher
#: than that of any heartbeat of the same start, so that later heartbeats no
#: longer count.
LEAVE_SEQUENCE = MAX_NUMBER


class UpstreamRecord(Struct, frozen=True, array_like=True):
    """The upstream of a daemon as announced to the other daemons.

    :param instance: usually differs for each start of an upstream.
    :param born: start of the upstream, as Unix time in milliseconds.
    :param heartbeat: number of the heartbeat that this record is based on.
    :param slots: number of requests that the upstream runs concurrently.
    :param limit: limit on the rate of requests, if it announces one.
    """

    instance: InstanceField
    born: UnixMs
    heartbeat: Number
    service: ServiceField
    version: VersionField
    state: UpstreamState
    slots: Slots
    limit: RateLimit | None = None

    @property
    def has_left(self) -> bool:
        """Whether this start announced its shutdown, which is final."""
        return self.heartbeat == LEAVE_SEQUENCE


class MemberRecord(Struct, frozen=True, array_like=True):
    """A daemon as announced by itself.

    :param incarnation: differs for each start of the daemon.
    :param sequence: increases with each change within an incarnation.
    :param calls: ``host:port`` for requests of other daemons.
    :param gossip: ``host:port`` for datagrams.
    :param leaving: whether the daemon accepts no further requests.
    """

    vm: VmField
    incarnation: UnixMs
    sequence: Number
    availability_zone: ZoneField
    calls: TextField
    gossip: TextField
    leaving: bool = False
    upstream: UpstreamRecord | None = None

    @property
    def revision(self) -> tuple[int, int]:
        """Sort key of the records of one daemon; the newest is the highest."""
        return self.incarnation, self.sequence


class MemberTable:
    """All known daemons by availability zone, with digests for comparison."""

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
        """Digest of each zone; equal tables have equal digests."""
        return {name: zone.digest for name, zone in self._zones.items()}

    @property
    def zones(self) -> Collection[AvailabilityZone]:
        """Zones with known daemons."""
        return self._zones.keys()

    def get(self, vm: VmId) -> MemberRecord | None:
        """Return the newest record of a daemon."""
        return self._records.get(vm)

    def in_zone(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """Records of the daemons in a zone."""
        found = self._zones.get(zone)
        return [] if found is None else list(found.records.values())

    def bucket_digests(self, zone: AvailabilityZone) -> list[int]:
        """Digest of each bucket of a zone."""
        found = self._zones.get(zone)
        return _empty_buckets() if found is None else list(found.buckets)

    def in_buckets(
        self,
        zone: AvailabilityZone,
        buckets: Collection[int],
    ) -> list[MemberRecord]:
        """Records in some buckets of a zone."""
        return [
            record
            for record in self.in_zone(zone)
            if bucket_of(record.vm) in buckets
        ]

    def merge(self, record: MemberRecord) -> bool:
        """Merge a record, and return whether it changed the table."""
        known = self._records.get(record.vm)
        if known is not None and known.revision >= record.revision:
            return False
        # A record that no message can carry raises here, before any change.
        checksum = crc32(msgspec.msgpack.encode(record))
        if not self._claim_address(record):
            return False
        if known is not None:
            self._remove(known)
        self._put(record, checksum)
        self.version += 1
        return True

    def drop(self, vm: VmId) -> None:
        """Remove a daemon."""
        known = self._records.get(vm)
        if known is not None:
            self._remove(known)
            self.version += 1

    def _claim_address(self, record: MemberRecord) -> bool:
        """Assign the address of a record, and return whether it is valid.

        The address of a terminated VM is assigned to another VM later. Of two
        daemons with the same address, the one that started later uses it. The
        other one is removed, since requests for it would reach the wrong
        daemon.
        """
        vm = self._by_address.get(record.calls)
        if vm is None or vm == record.vm:
            return True
        if self._records[vm].incarnation >= record.incarnation:
            return False
        self.drop(vm)
        return True

    def _put(self, record: MemberRecord, checksum: int) -> None:
        self._records[record.vm] = record
        self._by_address[record.calls] = record.vm
        zone = self._zones.setdefault(record.availability_zone, _Zone())
        zone.put(record, checksum)

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
        self._checksums: dict[VmId, int] = {}

    def put(self, record: MemberRecord, checksum: int) -> None:
        """Add the record of a daemon that has none in the zone."""
        self.records[record.vm] = record
        self._checksums[record.vm] = checksum
        self._toggle(record.vm, checksum)

    def remove(self, vm: VmId) -> None:
        """Remove the record of a daemon."""
        self.records.pop(vm)
        self._toggle(vm, self._checksums.pop(vm))

    def _toggle(self, vm: VmId, checksum: int) -> None:
        """Add a checksum to the digests, or remove it from them."""
        self.buckets[bucket_of(vm)] ^= checksum
        self.digest ^= checksum


def _empty_buckets() -> list[int]:
    return [0 for _ in range(BUCKETS)]


def bucket_of(vm: VmId) -> int:
    """Bucket of a daemon within its zone."""
    return crc32(vm.encode()) % BUCKETS
