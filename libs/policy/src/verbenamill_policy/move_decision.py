"""Decision whether a move advances, is done or is taken back."""

from msgspec import Struct

from verbenamill_policy.evidence import Finding
from verbenamill_policy.rollouts import (
    DONE_AT,
    GIVE_UP_AT,
    LAST_STAGE,
    STAGES,
    Progress,
)

#: Weight of the evidence from which on a move waits for more evidence before
#: it advances.
_SUSPICIOUS_WEIGHT = 3.0
#: Number of requests that the new version needs to leave the canary stage,
#: unless little of the window is left.
_MIN_CANARY_CALLS = 10
#: Time in the last stage before a move is done, in seconds. The requests that
#: the old version still works on have to end first, since it is stopped
#: without a drain.
_LAST_STAGE_TIME = 0.8
#: Share of the window after which a stage is no longer delayed.
_NO_DELAY_AFTER = 0.75


class MoveContext(Struct, frozen=True, kw_only=True):
    """One move as seen by its decider.

    :param window: time in which the move is to be done, in seconds.
    :param elapsed: time since the order, in seconds.
    :param time_in_stage: time since the current stage began, in seconds.
    :param target_ready: whether an upstream of the new version is ready.
    :param calls: number of requests that the new version has processed.
    """

    window: float
    elapsed: float
    time_in_stage: float
    progress: Progress
    target_ready: bool
    calls: int
    finding: Finding


class Decision(Struct, frozen=True, kw_only=True):
    """Decision on a move.

    :param stage: stage of the move from now on.
    :param veto: reason to take the version back, if any.
    """

    stage: int
    veto: str = ''
    done: bool = False


def decide(context: MoveContext) -> Decision:
    """Decide on one move."""
    stage = context.progress.stage
    elapsed_share = context.elapsed / max(context.window, 0.001)
    if context.finding.is_conclusive:
        return Decision(stage=stage, veto=context.finding.reason)
    if not context.target_ready and elapsed_share >= GIVE_UP_AT:
        return Decision(stage=stage, veto='no upstream of it is ready')
    if not context.target_ready:
        return Decision(stage=stage)
    if stage == LAST_STAGE:
        return _decide_last_stage(context, elapsed_share)
    return Decision(stage=_next_stage(context, elapsed_share))


def _decide_last_stage(context: MoveContext, elapsed_share: float) -> Decision:
    has_settled = context.time_in_stage >= _LAST_STAGE_TIME
    is_done = elapsed_share >= DONE_AT and has_settled
    # Suspicious evidence delays the end of the move while time is left.
    if (
        context.finding.weight >= _SUSPICIOUS_WEIGHT
        and elapsed_share < GIVE_UP_AT
    ):
        is_done = False
    return Decision(stage=LAST_STAGE, done=is_done)


def _next_stage(context: MoveContext, elapsed_share: float) -> int:
    stage = context.progress.stage
    following = stage + 1
    if elapsed_share < STAGES[following].begins:
        return stage
    if elapsed_share < _NO_DELAY_AFTER:
        if context.finding.weight >= _SUSPICIOUS_WEIGHT:
            return stage
        if stage and context.calls < _MIN_CANARY_CALLS:
            return stage
    return following
