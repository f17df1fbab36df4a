"""Decides when the next stage of a move begins."""

from msgspec import Struct

from verbenamill_model.typing import Profile
from verbenamill_moves.decision_context import DecisionContext
from verbenamill_moves.stages import (
    CANARY_STAGE,
    FULL_STAGE,
    HOLD_STAGE,
    STAGES,
    Plan,
)

#: Fraction of the plan from which a move of the on-time profile advances in
#: spite of suspicion.
_SUSPICION_HOLD_UNTIL = 0.85
#: Calls of the new version in a stage that let the next stage begin early.
_EARLY_ADVANCE_CALLS = 150
#: Calls per second that the old version should keep until this fraction of
#: the plan, so that a fault of both versions soon shows on the old one too.
_MIN_CONTROL_RATE = 2.0
_CONTROL_NEEDED_UNTIL = 0.88


class StageAdvance(Struct, frozen=True):
    """A stage that begins, and the reason."""

    stage: int
    reason: str


def find_stage_advance(
    context: DecisionContext, *, stage_calls: int
) -> StageAdvance | None:
    """Return the stage that begins now and the reason, or ``None``.

    :param stage_calls: calls of the new version in the current stage.
    """
    stage = context.stage
    ready = context.ready_zones
    if stage >= FULL_STAGE or not ready:
        return None
    if context.availability_zone not in ready:
        lowest = min(context.state.stages.get(zone, 0) for zone in ready)
        return (
            StageAdvance(lowest, 'other zones lead') if stage < lowest else None
        )
    if stage >= CANARY_STAGE and context.now >= context.plan.full_traffic_by:
        return StageAdvance(
            FULL_STAGE, f'the plan, after {context.calls} calls'
        )
    enough_calls = stage_calls >= _EARLY_ADVANCE_CALLS
    reason = _find_advance_reason(
        context, context.plan, stage + 1, enough_calls=enough_calls
    )
    return StageAdvance(stage + 1, reason) if reason else None


def _find_advance_reason(
    context: DecisionContext,
    plan: Plan,
    stage: int,
    *,
    enough_calls: bool,
) -> str | None:
    """Return why a stage begins now, or ``None`` if it does not."""
    planned = STAGES[stage]
    if context.now < plan.time_of(planned.earliest):
        return None
    if stage <= CANARY_STAGE:
        return 'the plan'
    must_wait = _must_wait(context, plan, stage)
    if enough_calls and not context.suspicious and not must_wait:
        return f'{context.calls} calls without a finding'
    if context.now >= plan.time_of(planned.latest) and not must_wait:
        return f'no time left to wait, {context.calls} calls so far'
    return None


def _must_wait(context: DecisionContext, plan: Plan, stage: int) -> bool:
    if context.refuses_calls or (
        context.suspicious and _may_hold_back(context, plan)
    ):
        return True
    control_rate = context.call_rate * (1 - STAGES[stage].share)
    control_optional = context.now >= plan.time_of(_CONTROL_NEEDED_UNTIL)
    return (
        stage >= HOLD_STAGE
        and control_rate < _MIN_CONTROL_RATE
        and not control_optional
    )


def _may_hold_back(context: DecisionContext, plan: Plan) -> bool:
    """Return whether a suspicion may still hold back the move."""
    cautious = context.move.profile is Profile.CAUTIOUS
    return cautious or context.now < plan.time_of(_SUSPICION_HOLD_UNTIL)
