"""Selection of the daemon that decides on a move, by rendezvous hashing.

No election takes place. Only daemons that own an upstream of the service are
candidates, so a daemon works on the moves of a single service, however many
moves run in the fleet.
"""

import hashlib
from collections.abc import Mapping

from verbenamill_model.state import Move
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, Offset, ServiceName, VmId

#: Most owners of one availability zone that report in the same period.
MAX_REPORTS_PER_PERIOD = 6


def choose_decider(
    move: Move,
    availability_zone: AvailabilityZone,
    members: Mapping[VmId, Member],
) -> VmId | None:
    """Choose the daemon that decides on a move in an availability zone.

    Daemons whose views of the members differ may choose different deciders.
    The states that these deciders publish merge, so the only cost is
    duplicate work.

    :returns: ``None`` when no live member of the zone owns an upstream of
        the service; such a zone follows the other zones.
    """
    candidates = (
        member.id
        for member in members.values()
        if member.availability_zone == availability_zone
        and owns_upstream_of(member, move.service)
    )
    return max(
        candidates,
        key=lambda vm: rendezvous_weight(move.id, vm),
        default=None,
    )


def owns_upstream_of(member: Member, service: ServiceName) -> bool:
    """Return whether the upstream of a member belongs to a service."""
    return member.upstream is not None and member.upstream.service == service


def is_report_due(
    vm: VmId,
    availability_zone: AvailabilityZone,
    owners: Mapping[VmId, Member],
    *,
    period: int,
) -> bool:
    """Return whether an owner sends its evidence in a period.

    All owners of a zone report to the same decider. If a service has many
    upstreams and each owner reported in every period, that daemon would
    exceed its bytes per second. With so many owners the evidence accumulates
    quickly anyway, and reports are cumulative, so a report that is sent some
    periods later loses nothing.

    :param owners: daemons with an upstream of the service.
    :param period: number of the period; increases by one each time.
    """
    zone_owners = sorted(
        name
        for name, member in owners.items()
        if member.availability_zone == availability_zone
    )
    if vm not in zone_owners:
        return False
    cycle_length = -(-len(zone_owners) // MAX_REPORTS_PER_PERIOD)
    return (zone_owners.index(vm) + period) % cycle_length == 0


def rendezvous_weight(move: Offset, name: str) -> bytes:
    """Return the weight of a name for a move; the highest weight is chosen."""
    return hashlib.blake2b(f'{move}/{name}'.encode(), digest_size=8).digest()
