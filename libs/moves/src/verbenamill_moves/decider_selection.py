"""Which daemon decides for a move: rendezvous hashing, no election.

Only daemons that own an upstream of the service are candidates. A daemon
then works on the moves of one service, however many run in the fleet.
"""

import hashlib
from collections.abc import Mapping

from verbenamill_model.state import Move
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, Offset, ServiceName, VmId

#: Owners of an availability zone that report in one period.
MAX_REPORTS_PER_PERIOD = 6


def choose_decider(
    move: Move,
    availability_zone: AvailabilityZone,
    members: Mapping[VmId, Member],
) -> VmId | None:
    """Daemon that decides for a move in an availability zone.

    Daemons whose views of the members differ may choose two; the states
    they publish merge, so that is wasteful but harmless.

    :returns: ``None`` when no live member of the zone owns an upstream of
        the service; such a zone follows the others.
    """
    candidates = (
        member.id
        for member in members.values()
        if member.availability_zone == availability_zone
        and owns_upstream_of(member, move.service)
    )
    return max(
        candidates, key=lambda vm: rendezvous_weight(move.id, vm), default=None
    )


def owns_upstream_of(member: Member, service: ServiceName) -> bool:
    """Whether a member's upstream is one of a service."""
    return member.upstream is not None and member.upstream.service == service


def is_report_due(
    vm: VmId,
    availability_zone: AvailabilityZone,
    owners: Mapping[VmId, Member],
    *,
    period: int,
) -> bool:
    """Whether an owner sends its evidence in a period.

    The reports of all owners of a zone meet at one decider. Were each sent
    in every period, a service with many upstreams would take that daemon
    over its bytes a second; with so many the evidence gathers fast anyway,
    and a report is cumulative, so waiting a turn loses nothing.

    :param owners: daemons with an upstream of the service.
    :param period: counts up by one.
    """
    mates = sorted(
        name
        for name, member in owners.items()
        if member.availability_zone == availability_zone
    )
    if vm not in mates:
        return False
    turns = -(-len(mates) // MAX_REPORTS_PER_PERIOD)
    return (mates.index(vm) + period) % turns == 0


def rendezvous_weight(move: Offset, name: str) -> bytes:
    """Weight of a name for a move; the highest one wins."""
    return hashlib.blake2b(f'{move}/{name}'.encode(), digest_size=8).digest()
