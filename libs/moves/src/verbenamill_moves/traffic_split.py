"""Split of the calls of a service between its versions."""

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

    While a daemon knows no state of the move, it sends no calls to the new
    version. An availability zone without a stage of its own has no upstream
    of the service, so it uses the lowest stage of the other zones.

    :param state: state of the move of the service, if the mesh knows one.
    :param now: before the acceptance of the move, the new version gets no
        calls.
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
    lowest = min(state.stages.values(), default=0)
    return min(state.stages.get(availability_zone, lowest), FULL_STAGE)
