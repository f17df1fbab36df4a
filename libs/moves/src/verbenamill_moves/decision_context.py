"""Input of the decisions on one move."""

from collections.abc import Mapping
from datetime import datetime

from msgspec import Struct

from verbenamill_model.state import Move
from verbenamill_model.traffic import Member
from verbenamill_model.typing import (
    AvailabilityZone,
    Profile,
    UpstreamState,
    VmId,
)
from verbenamill_moves.decider_selection import owns_upstream_of
from verbenamill_moves.route_evidence import Finding
from verbenamill_moves.stages import Plan, plan_move
from verbenamill_moves.state import MoveState

#: Weight of the evidence (natural logarithm) above which the share of the
#: new version stops growing for a while.
_SUSPICIOUS_WEIGHT = 2.0


class DecisionThresholds(Struct, frozen=True, kw_only=True):
    """Limits that decide whether a version is vetoed or completed.

    :param alpha: probability of finding a good version bad, per move and
        availability zone.
    :param max_weight_at_deadline: weight of the evidence (natural logarithm)
        from which the move is not completed at its deadline.
    :param min_calls: calls of the new version below which the move is not
        completed at its deadline either.
    """

    alpha: float
    max_weight_at_deadline: float
    min_calls: int


#: Thresholds by profile; docs/design/moves.md has the figures behind them.
THRESHOLDS_BY_PROFILE: Mapping[Profile, DecisionThresholds] = {
    Profile.ON_TIME: DecisionThresholds(
        alpha=0.001, max_weight_at_deadline=7, min_calls=0
    ),
    Profile.CAUTIOUS: DecisionThresholds(
        alpha=0.005, max_weight_at_deadline=4, min_calls=25
    ),
}


class DecisionContext(Struct, frozen=True, kw_only=True):
    """State of one move at one step of its decider.

    :param availability_zone: zone of the decider.
    :param first_ready: when an upstream of the new version was first ready.
    :param calls: calls of the new version, in all zones that report here.
    :param call_rate: calls per second of both versions.
    :param sheds_more: whether the new version sheds more than the old one.
    :param refuses_calls: whether the new version sheds most of its calls.
    :param fails_often: whether many recent calls of the new version failed.
    """

    move: Move
    availability_zone: AvailabilityZone
    state: MoveState
    members: Mapping[VmId, Member]
    now: datetime
    first_ready: datetime | None
    finding: Finding | None
    calls: int
    call_rate: float
    sheds_more: bool
    refuses_calls: bool
    fails_often: bool
    thresholds: DecisionThresholds

    @property
    def zones(self) -> set[AvailabilityZone]:
        """Availability zones with an upstream of the service."""
        return {
            member.availability_zone
            for member in self.members.values()
            if owns_upstream_of(member, self.move.service)
        }

    @property
    def ready_zones(self) -> set[AvailabilityZone]:
        """Availability zones with a ready upstream of the new version."""
        return {
            member.availability_zone
            for member in self.members.values()
            if is_ready(member, self.move)
        }

    @property
    def suspicious(self) -> bool:
        """Whether the new version should not get more calls for now."""
        looks_bad = (
            self.finding is not None
            and self.finding.weight > _SUSPICIOUS_WEIGHT
        )
        return looks_bad or self.sheds_more

    @property
    def stage(self) -> int:
        """Stage in the availability zone of the decider."""
        return self.state.stages.get(self.availability_zone, 0)

    @property
    def plan(self) -> Plan:
        """Plan of the stages for the remaining time."""
        return plan_move(self.move, first_ready=self.first_ready or self.now)


def is_ready(member: Member, move: Move) -> bool:
    """Return whether a member has a ready upstream of the new version."""
    upstream = member.upstream
    return (
        upstream is not None
        and upstream.service == move.service
        and upstream.version == move.new
        and upstream.state is UpstreamState.READY
    )
