"""Stages of a move and when each may and must begin."""

from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.state import Move


class Stage(Struct, frozen=True, kw_only=True):
    """One step of a move.

    :param share: share of the calls that the new version gets, 0 to 1.
    :param earliest: fraction of the plan at which it may begin.
    :param latest: fraction at which it begins without enough evidence.
    """

    share: float
    earliest: float
    latest: float


#: The old version keeps a small share until the verdict: without answers of
#: both versions from the same seconds, a fault that hits both would look
#: like a fault of the new one.
STAGES = (
    Stage(share=0, earliest=0, latest=0),
    Stage(share=0.01, earliest=0, latest=0),
    Stage(share=0.05, earliest=0.02, latest=0.02),
    Stage(share=0.15, earliest=0.3, latest=0.5),
    Stage(share=0.4, earliest=0.38, latest=0.57),
    Stage(share=0.7, earliest=0.46, latest=0.64),
    Stage(share=0.95, earliest=0.55, latest=0.72),
    Stage(share=1, earliest=1, latest=1),
)
CANARY_STAGE = 2
HOLD_STAGE = len(STAGES) - 2
FULL_STAGE = len(STAGES) - 1

#: Time before the deadline for the verdict to get on the log and in force,
#: as a part of the window and at most.
_MARGIN = 0.15
_MAX_MARGIN = timedelta(seconds=5)


class Plan(Struct, frozen=True, kw_only=True):
    """Times of a move's stages.

    :param start: when the new version can take its first call.
    :param settle: when all traffic has to be on it; a little before the
        deadline, so that the verdict is in force in time.
    :param last_call: when the verdict waits for slow zones no longer.
    """

    start: datetime
    settle: datetime
    last_call: datetime

    def time_of(self, fraction: float) -> datetime:
        """Moment at a fraction of the plan."""
        length = max(self.settle - self.start, timedelta(0))
        return self.start + length * fraction


def plan_move(move: Move, *, first_ready: datetime) -> Plan:
    """Plan the stages in the time that is left.

    :param first_ready: when an upstream of the new version was first seen
        ready; a late one gets a shorter plan, not a later deadline.
    """
    window = move.deadline - move.accepted_at
    margin = min(window * _MARGIN, _MAX_MARGIN)
    return Plan(
        start=max(move.accepted_at, first_ready),
        settle=move.deadline - margin,
        last_call=move.deadline - margin / 2,
    )
