"""Stages of a move and the times at which they may and must begin."""

from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.state import Move


class Stage(Struct, frozen=True, kw_only=True):
    """One stage of a move.

    :param share: share of the calls that the new version gets, 0 to 1.
    :param earliest: fraction of the plan from which the stage may begin.
    :param latest: fraction of the plan at which the stage begins even without
        enough evidence.
    """

    share: float
    earliest: float
    latest: float


#: The old version keeps a small share until the verdict. Without answers of
#: both versions from the same seconds, a fault that affects both would look
#: like a fault of the new version.
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

#: Time reserved before the deadline to append the verdict to the log and put
#: it in force: a fraction of the window between acceptance and deadline, and
#: its upper bound.
_VERDICT_MARGIN = 0.15
_MAX_VERDICT_MARGIN = timedelta(seconds=5)


class Plan(Struct, frozen=True, kw_only=True):
    """Times of the stages of a move.

    :param start: when the new version can take its first call.
    :param full_traffic_by: when the new version has to get all traffic; a
        little before the deadline, so that the verdict is in force in time.
    :param verdict_by: when the verdict no longer waits for slow zones.
    """

    start: datetime
    full_traffic_by: datetime
    verdict_by: datetime

    def time_of(self, fraction: float) -> datetime:
        """Return the time at a fraction of the plan."""
        length = max(self.full_traffic_by - self.start, timedelta(0))
        return self.start + length * fraction


def plan_move(move: Move, *, first_ready: datetime) -> Plan:
    """Plan the stages of a move within the remaining time.

    :param first_ready: when an upstream of the new version was first seen
        ready; a late upstream shortens the plan and does not postpone the
        deadline.
    """
    window = move.deadline - move.accepted_at
    margin = min(window * _VERDICT_MARGIN, _MAX_VERDICT_MARGIN)
    return Plan(
        start=max(move.accepted_at, first_ready),
        full_traffic_by=move.deadline - margin,
        verdict_by=move.deadline - margin / 2,
    )
