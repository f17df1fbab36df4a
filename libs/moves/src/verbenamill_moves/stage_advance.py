"""When the next stage of a move begins."""

from msgspec import Struct

from verbenamill_model.typing import Profile
from verbenamill_moves.decision_input import DecisionInput
from verbenamill_moves.stages import (
    CANARY_STAGE,
    FULL_STAGE,
    HOLD_STAGE,
    STAGES,
    Plan,
)

#: Fraction of the plan at which an on-time move grows in spite of suspicion.
_NO_MORE_WAITING = 0.85
#: Calls of the new version at a stage that allow the next one early.
_STAGE_CALLS = 150
#: Calls a second that the old version should keep until late in the plan: a
#: fault of both versions has to show on it soon enough.
_CONTROL_RATE = 2.0
_CONTROL_UNTIL = 0.88


class StageAdvance(Struct, frozen=True):
    """A stage that begins, and why."""

    stage: int
    reason: str


def find_stage_advance(
    view: DecisionInput, *, stage_calls: int
) -> StageAdvance | None:
    """The stage that begins now and why, or ``None``.

    :param stage_calls: calls of the new version since the last one began.
    """
    stage = view.stage
    ready = view.ready_zones
    if stage >= FULL_STAGE or not ready:
        return None
    if view.availability_zone not in ready:
        led = min(view.state.stages.get(zone, 0) for zone in ready)
        return StageAdvance(led, 'other zones lead') if stage < led else None
    if stage >= CANARY_STAGE and view.now >= view.plan.settle:
        return StageAdvance(FULL_STAGE, f'the plan, after {view.calls} calls')
    clean = stage_calls >= _STAGE_CALLS
    reason = _find_due(view, view.plan, stage + 1, clean=clean)
    return StageAdvance(stage + 1, reason) if reason else None


def _find_due(
    view: DecisionInput,
    plan: Plan,
    stage: int,
    *,
    clean: bool,
) -> str | None:
    """Why a stage begins now, or ``None`` when it does not."""
    wanted = STAGES[stage]
    if view.now < plan.time_of(wanted.earliest):
        return None
    if stage <= CANARY_STAGE:
        return 'the plan'
    waits = _has_to_wait(view, plan, stage)
    if clean and not view.suspicious and not waits:
        return f'{view.calls} calls without a finding'
    if view.now >= plan.time_of(wanted.latest) and not waits:
        return f'no time left to wait, {view.calls} calls so far'
    return None


def _has_to_wait(view: DecisionInput, plan: Plan, stage: int) -> bool:
    if view.refuses or (view.suspicious and _can_wait(view, plan)):
        return True
    control = view.call_rate * (1 - STAGES[stage].share)
    late = view.now >= plan.time_of(_CONTROL_UNTIL)
    return stage >= HOLD_STAGE and control < _CONTROL_RATE and not late


def _can_wait(view: DecisionInput, plan: Plan) -> bool:
    """Whether suspicion may hold a move back a little longer."""
    cautious = view.move.profile is Profile.CAUTIOUS
    return cautious or view.now < plan.time_of(_NO_MORE_WAITING)
