"""Share of a service's calls that each version gets."""

from datetime import datetime

from verbenamill_model.state import ServiceState
from verbenamill_model.traffic import Shares
from verbenamill_model.typing import AvailabilityZone
from verbenamill_moves.stages import FULL_STAGE, STAGES
from verbenamill_moves.state import MoveState


def split_traffic(
    service: ServiceState,
    state: MoveState | None,
    *,
    availability_zone: AvailabilityZone,
    now: datetime,
) -> Shares:
    """Split the calls of a service between its versions.

    A daemon that has heard nothing of the move gives the new version
    nothing. An availability zone without a stage of its own has no upstream
    of the service; it follows the zone that is furthest behind.

    :param state: what the mesh knows of the service's move, if anything.
    :param now: not before the move's acceptance when a share is given.
    :returns: shares that add up to 1.
    """
    move = service.move
    if move is None or state is None or state.veto or now < move.accepted_at:
        return {service.version: 1.0}
    share = STAGES[_stage_in(state, availability_zone)].share
    if not share:
        return {move.old: 1.0}
    if share == 1:
        return {move.new: 1.0}
    return {move.old: 1 - share, move.new: share}


def _stage_in(state: MoveState, availability_zone: AvailabilityZone) -> int:
    behind = min(state.stages.values(), default=0)
    return min(state.stages.get(availability_zone, behind), FULL_STAGE)
