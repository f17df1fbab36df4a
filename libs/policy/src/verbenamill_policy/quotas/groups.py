"""Groups of daemons that share a pool, and the order of their pool hosts."""

import math
from collections.abc import Iterable, Sequence
from zlib import crc32

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord

#: Most daemons of a zone that share a pool, on average.
GROUP_SIZE = 64

#: A zone and the number of the group in it.
_GroupId = tuple[AvailabilityZone, int]


class Groups:
    """Groups of the known daemons that aren't leaving.

    :ivar daemons: number of these daemons.
    :ivar own: daemons of the own group, the preferred pool host first.
    :ivar others: daemons of each other group, in the same order.
    """

    def __init__(
        self,
        records: Iterable[MemberRecord],
        own: VmId,
        zone: AvailabilityZone,
    ) -> None:
        by_zone: dict[AvailabilityZone, list[VmId]] = {zone: []}
        for record in records:
            if not record.leaving:
                members = by_zone.setdefault(record.availability_zone, [])
                members.append(record.vm)
        self.daemons = sum(map(len, by_zone.values()))
        own_parts = _count_parts(by_zone[zone])
        own_group = zone, _part_of(own, own_parts)
        groups: dict[_GroupId, list[VmId]] = {own_group: []}
        for name, zone_members in by_zone.items():
            parts = _count_parts(zone_members)
            for vm in zone_members:
                group = name, _part_of(vm, parts)
                groups.setdefault(group, []).append(vm)
        ordered = {
            group: _order_hosts(group, vms) for group, vms in groups.items()
        }
        self.own = ordered.pop(own_group)
        self.others = list(ordered.values())


def _count_parts(members: Sequence[VmId]) -> int:
    return max(math.ceil(len(members) / GROUP_SIZE), 1)


def _part_of(vm: VmId, parts: int) -> int:
    return crc32(vm.encode()) % parts


def _order_hosts(group: _GroupId, members: Iterable[VmId]) -> list[VmId]:
    """Order daemons by rendezvous hashing.

    A daemon that joins or leaves changes the relative order of no others.
    """
    zone, part = group
    return sorted(
        members, key=lambda vm: (crc32(f'{zone}/{part}/{vm}'.encode()), vm)
    )
