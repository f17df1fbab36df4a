"""What a decision on one move is made from."""

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

#: Evidence (logarithm) at which a version grows no further for a while.
_SUSPICIOUS = 2.0


class DecisionThresholds(Struct, frozen=True, kw_only=True):
    """How doubt about a version is resolved.

    :param alpha: probability of finding a good version bad, per move and
        availability zone.
    :param doubtful: evidence (logarithm) from which a version is not
        completed at its deadline.
    :param calls_wanted: calls of the new version without which it is
        doubtful as well.
    """

    alpha: float
    max_weight_at_deadline: float
    min_calls: int


#: Doubt by profile; the figures behind them are in docs/design/moves.md.
THRESHOLDS_BY_PROFILE: Mapping[Profile, DecisionThresholds] = {
    Profile.ON_TIME: DecisionThresholds(
        alpha=0.001, max_weight_at_deadline=7, min_calls=0
    ),
    Profile.CAUTIOUS: DecisionThresholds(
        alpha=0.005, max_weight_at_deadline=4, min_calls=25
    ),
}


class DecisionInput(Struct, frozen=True, kw_only=True):
    """One move as its decider sees it at one step.

    :param availability_zone: the decider's own.
    :param first_ready: when an upstream of the new version was first ready.
    :param calls: calls of the new version, in all zones that are heard.
    :param call_rate: calls a second of both versions.
    :param sheds: whether the new version sheds more than the old one.
    :param refuses: whether it sheds most of its calls.
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
    sheds: bool
    refuses: bool
    worsened: bool
    caution: DecisionThresholds

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
        """Whether more calls might not do the new version good."""
        looks_bad = (
            self.finding is not None and self.finding.weight > _SUSPICIOUS
        )
        return looks_bad or self.sheds

    @property
    def stage(self) -> int:
        """Stage of the decider's availability zone."""
        return self.state.stages.get(self.availability_zone, 0)

    @property
    def plan(self) -> Plan:
        """The stages in the time that is left."""
        return plan_move(self.move, first_ready=self.first_ready or self.now)


def is_ready(member: Member, move: Move) -> bool:
    """Whether a member's upstream can take calls of the new version."""
    upstream = member.upstream
    return (
        upstream is not None
        and upstream.service == move.service
        and upstream.version == move.new
        and upstream.state is UpstreamState.READY
    )
