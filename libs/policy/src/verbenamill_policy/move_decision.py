"""When a move goes on, is done or is taken back."""

from msgspec import Struct

from verbenamill_policy.evidence import Finding
from verbenamill_policy.rollouts import (
    DONE_AT,
    LAST_STAGE,
    LOST_AT,
    STAGES,
    Progress,
)

#: Evidence at which a move waits for more before it goes on.
_SUSPICIOUS = 3.0
#: Requests of the new version without which it does not leave the canary,
#: unless time presses.
_CANARY_CALLS = 10
#: Time in the last stage before a move is done, in seconds: what the old
#: version works on has to end first, since it is stopped without a drain.
_LAST_STAGE_TIME = 0.8
#: Part of the window after which a stage is not held up any longer.
_PRESSING = 0.75


class MoveContext(Struct, frozen=True, kw_only=True):
    """One move as its decider sees it.

    :param elapsed: since the order, in seconds.
    :param time_in_stage: since the current stage began, in seconds.
    :param target_ready: whether an upstream of the new version is ready.
    :param calls: requests that the new version has answered.
    """

    window: float
    elapsed: float
    time_in_stage: float
    progress: Progress
    target_ready: bool
    calls: int
    finding: Finding


class Decision(Struct, frozen=True, kw_only=True):
    """What becomes of a move.

    :param stage: that it is to be in now.
    """

    stage: int
    veto: str = ''
    done: bool = False


def decide(situation: MoveContext) -> Decision:
    """Decide on one move."""
    stage = situation.progress.stage
    part = situation.elapsed / max(situation.window, 0.001)
    if situation.finding.is_conclusive:
        return Decision(stage=stage, veto=situation.finding.reason)
    if not situation.target_ready and part >= LOST_AT:
        return Decision(stage=stage, veto='no upstream of it is ready')
    if not situation.target_ready:
        return Decision(stage=stage)
    if stage == LAST_STAGE:
        return _end(situation, part)
    return Decision(stage=_next_stage(situation, part))


def _end(situation: MoveContext, part: float) -> Decision:
    long_enough = situation.time_in_stage >= _LAST_STAGE_TIME
    is_due = part >= DONE_AT and long_enough
    # Doubt holds it up as long as there is time, and not beyond.
    if situation.finding.weight >= _SUSPICIOUS and part < LOST_AT:
        is_due = False
    return Decision(stage=LAST_STAGE, done=is_due)


def _next_stage(situation: MoveContext, part: float) -> int:
    stage = situation.progress.stage
    following = stage + 1
    if part < STAGES[following].begins:
        return stage
    if part < _PRESSING:
        if situation.finding.weight >= _SUSPICIOUS:
            return stage
        if stage and situation.calls < _CANARY_CALLS:
            return stage
    return following
