"""When a version is bad, or too doubtful to be completed."""

from verbenamill_model.checks import MIN_MOVE
from verbenamill_model.typing import Profile
from verbenamill_moves.decision_input import DecisionInput
from verbenamill_moves.stages import CANARY_STAGE, FULL_STAGE


def find_veto(view: DecisionInput) -> str | None:
    """Why the new version is to get no traffic, or ``None``."""
    finding = view.finding
    if finding is not None and finding.conclusive:
        return finding.describe()
    move = view.move
    begun = max(view.state.stages.values(), default=0)
    if view.now >= move.deadline and not begun:
        return f'no upstream of {move.new} was ready before the deadline'
    if view.now >= view.plan.settle and 0 < begun < FULL_STAGE:
        return _find_doubt(view) or _find_lateness(view, begun)
    return None


def _find_doubt(view: DecisionInput) -> str | None:
    """Why a move is not to be completed at its deadline, or ``None``."""
    finding = view.finding
    if (
        finding is not None
        and finding.weight >= view.caution.max_weight_at_deadline
    ):
        return f'doubt at the deadline: {finding.describe()}'
    if view.refuses:
        # A version whose port is closed fails no call and answers none.
        # Completed for want of evidence, it would refuse all of them.
        return f'{view.move.new} refuses most of its calls at the deadline'
    if view.move.profile is Profile.CAUTIOUS and view.sheds:
        return f'{view.move.new} sheds load at the deadline'
    if view.move.profile is Profile.CAUTIOUS and view.worsened:
        return f'calls of {view.move.new} fail at the deadline'
    return _find_few_calls(view)


def _find_few_calls(view: DecisionInput) -> str | None:
    wanted = view.caution.min_calls
    if view.calls < wanted:
        return (
            f'doubt at the deadline: {view.calls} calls of {view.move.new}, '
            f'expected {wanted}'
        )
    return None


def _find_lateness(view: DecisionInput, begun: int) -> str | None:
    """Why a version that came late is not to get all calls at once.

    Its canary was too short to tell anything; the symptom of going on would
    be a bad version with all of the traffic.
    """
    move = view.move
    latest = move.deadline - MIN_MOVE
    first_ready = view.first_ready
    if begun > CANARY_STAGE or first_ready is None or first_ready <= latest:
        return None
    left = (move.deadline - first_ready).total_seconds()
    return (
        f'{move.new} was ready only {left:.1f} s before the deadline, '
        f'expected {MIN_MOVE.total_seconds():.0f}'
    )
