"""Which daemon decides for a move: rendezvous hashing, no election."""

import hashlib
from collections.abc import Mapping

from verbenamill_model.state import Move
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, Offset, VmId


def decider_of(
    move: Move,
    availability_zone: AvailabilityZone,
    members: Mapping[VmId, Member],
) -> VmId | None:
    """Daemon that decides for a move in an availability zone.

    Daemons whose views of the members differ may choose two; the states
    they publish merge, so that is wasteful but harmless.

    :returns: ``None`` when no member of the zone is alive.
    """
    candidates = (
        member.id
        for member in members.values()
        if member.availability_zone == availability_zone
    )
    return max(candidates, key=lambda vm: weigh(move.id, vm), default=None)


def weigh(move: Offset, name: str) -> bytes:
    """Weight of a name for a move; the highest one wins."""
    return hashlib.blake2b(f'{move}/{name}'.encode(), digest_size=8).digest()
