"""Decides when a version is vetoed."""

from verbenamill_model.checks import MIN_MOVE
from verbenamill_model.typing import Profile
from verbenamill_moves.decision_context import DecisionContext
from verbenamill_moves.stages import CANARY_STAGE, FULL_STAGE


def find_veto(context: DecisionContext) -> str | None:
    """Return why the new version must get no traffic, or ``None``."""
    finding = context.finding
    if finding is not None and finding.conclusive:
        return finding.describe()
    move = context.move
    highest_stage = max(context.state.stages.values(), default=0)
    if context.now >= move.deadline and not highest_stage:
        return f'no upstream of {move.new} was ready before the deadline'
    if (
        context.now >= context.plan.full_traffic_by
        and 0 < highest_stage < FULL_STAGE
    ):
        return _find_objection(context) or _find_late_start(
            context, highest_stage
        )
    return None


def _find_objection(context: DecisionContext) -> str | None:
    """Return why a move must not be completed at its deadline, or ``None``."""
    finding = context.finding
    if (
        finding is not None
        and finding.weight >= context.thresholds.max_weight_at_deadline
    ):
        return f'doubt at the deadline: {finding.describe()}'
    if context.refuses_calls:
        # If the port of a version is closed, its calls neither fail nor get
        # an answer. Completed for lack of evidence, the version would refuse
        # all calls.
        return f'{context.move.new} refuses most of its calls at the deadline'
    if context.move.profile is Profile.CAUTIOUS and context.sheds_more:
        return f'{context.move.new} sheds load at the deadline'
    if context.move.profile is Profile.CAUTIOUS and context.fails_often:
        return f'calls of {context.move.new} fail at the deadline'
    return _find_missing_calls(context)


def _find_missing_calls(context: DecisionContext) -> str | None:
    expected = context.thresholds.min_calls
    if context.calls < expected:
        return (
            f'doubt at the deadline: {context.calls} calls of '
            f'{context.move.new}, expected {expected}'
        )
    return None


def _find_late_start(
    context: DecisionContext, highest_stage: int
) -> str | None:
    """Return why a version that was ready late must not be completed.

    Its canary stage was too short to show anything, so completing the move
    could give all traffic to a bad version.
    """
    move = context.move
    latest_start = move.deadline - MIN_MOVE
    first_ready = context.first_ready
    if (
        highest_stage > CANARY_STAGE
        or first_ready is None
        or first_ready <= latest_start
    ):
        return None
    remaining = (move.deadline - first_ready).total_seconds()
    return (
        f'{move.new} was ready only {remaining:.1f} s before the deadline, '
        f'expected {MIN_MOVE.total_seconds():.0f}'
    )
