"""Decisions on the running moves: stages, vetoes and verdicts."""

from collections.abc import Iterator, Mapping
from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.checks import MIN_MOVE
from verbenamill_model.state import Move, Snapshot
from verbenamill_model.tickets import VerdictRecord
from verbenamill_model.traffic import Member
from verbenamill_model.typing import (
    AvailabilityZone,
    Offset,
    Profile,
    ServiceName,
    UpstreamState,
    VerdictKind,
    VmId,
)
from verbenamill_moves.choice import decider_of, owns, weigh
from verbenamill_moves.evidence import Report, read_report
from verbenamill_moves.stages import (
    CANARY,
    FULL,
    HOLD,
    STAGES,
    Plan,
    plan_move,
)
from verbenamill_moves.state import MoveState, join
from verbenamill_moves.tally import Finding, MoveTally

#: Evidence (logarithm) at which a version grows no further for a while.
_SUSPICIOUS = 2.0
#: Fraction of the plan at which an on-time move grows in spite of suspicion.
_NO_MORE_WAITING = 0.85
#: Calls of the new version at a stage that allow the next one early.
_STAGE_CALLS = 150
#: Calls a second that the old version should keep until late in the plan: a
#: fault of both versions has to show on it soon enough.
_CONTROL_RATE = 2.0
_CONTROL_UNTIL = 0.88
#: A decider that did not step for so long was paused,
_PAUSE = timedelta(seconds=3)
#: and takes so long to hear from the owners again.
_SETTLE_IN = timedelta(milliseconds=1500)
#: Between two tries to append a verdict.
_REPEAT = timedelta(seconds=2)
#: By how much each further availability zone waits with the verdict.
_STAGGER = timedelta(seconds=1)


class Caution(Struct, frozen=True, kw_only=True):
    """How doubt about a version is resolved.

    :param alpha: probability of finding a good version bad, per move and
        availability zone.
    :param doubtful: evidence (logarithm) from which a version is not
        completed at its deadline.
    :param calls_wanted: calls of the new version without which it is
        doubtful as well.
    """

    alpha: float
    doubtful: float
    calls_wanted: int


#: Doubt by profile; the figures behind them are in docs/design/moves.md.
CAUTIONS: Mapping[Profile, Caution] = {
    Profile.ON_TIME: Caution(alpha=0.001, doubtful=7, calls_wanted=0),
    Profile.CAUTIOUS: Caution(alpha=0.005, doubtful=3, calls_wanted=40),
}


class Publish(Struct, frozen=True, kw_only=True):
    """Tell the other daemons a move's new state."""

    move: Offset
    state: MoveState


class Settle(Struct, frozen=True, kw_only=True):
    """Append a verdict; given again until it is in force."""

    record: VerdictRecord


class Send(Struct, frozen=True, kw_only=True):
    """Send a report to the decider of another availability zone."""

    to: VmId
    body: bytes


class Note(Struct, frozen=True, kw_only=True):
    """A step and its cause, for the audit trail."""

    at: datetime
    move: Offset
    service: ServiceName
    text: str


Action = Publish | Settle | Send | Note


class _View(Struct, frozen=True, kw_only=True):
    """What a decision on one move is made from."""

    move: Move
    state: MoveState
    members: Mapping[VmId, Member]
    now: datetime
    finding: Finding | None
    calls: int
    call_rate: float
    sheds: bool
    worsened: bool
    caution: Caution

    @property
    def zones(self) -> set[AvailabilityZone]:
        """Availability zones with an upstream of the service."""
        return {
            member.availability_zone
            for member in self.members.values()
            if owns(member, self.move.service)
        }

    @property
    def ready_zones(self) -> set[AvailabilityZone]:
        """Availability zones with a ready upstream of the new version."""
        return {
            member.availability_zone
            for member in self.members.values()
            if _is_ready(member, self.move)
        }

    @property
    def suspicious(self) -> bool:
        """Whether more calls might not do the new version good."""
        looks_bad = (
            self.finding is not None and self.finding.weight > _SUSPICIOUS
        )
        return looks_bad or self.sheds


class _Growth(Struct, frozen=True):
    """A stage that begins, and why."""

    stage: int
    reason: str


class _Progress(Struct, kw_only=True):
    """What one decider remembers of a move.

    :param listening_since: evidence is complete from a little after it.
    :param stage_calls: calls of the new version when the stage began.
    """

    tally: MoveTally
    listening_since: datetime
    first_ready: datetime | None = None
    stage: int = 0
    stage_calls: int = 0
    settled_at: datetime | None = None


class Decider:
    """Acts for the moves that it is chosen for in its availability zone.

    :param vm: the daemon it runs in.
    :param cautions: how doubt is resolved, by the profile of a move.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        availability_zone: AvailabilityZone,
        cautions: Mapping[Profile, Caution] = CAUTIONS,
    ) -> None:
        self._vm = vm
        self._zone = availability_zone
        self._cautions = cautions
        self._members: Mapping[VmId, Member] = {}
        self._moves: dict[Offset, Move] = {}
        self._progress: dict[Offset, _Progress] = {}
        self._stepped_at: datetime | None = None

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take a report; unreadable ones are left out.

        From another availability zone only its decider is heard: two that
        both hold themselves chosen would have the zone's calls count twice.
        """
        told = read_report(report)
        if told is None:
            return
        for version in told.versions:
            self._receive_on(version.service, sender, told)

    def step(
        self,
        *,
        snapshot: Snapshot,
        states: Mapping[Offset, MoveState],
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> tuple[Action, ...]:
        """Decide on every running move; to be called a few times a second.

        :param states: what the mesh knows of the moves.
        :param members: daemons that are alive, this one included.
        :returns: what the daemon has to do, in this order.
        """
        self._follow(snapshot, members, now)
        actions: list[Action] = []
        for move in self._moves.values():
            if decider_of(move, self._zone, self._members) != self._vm:
                self._progress.pop(move.id, None)
                continue
            state = states.get(move.id, MoveState())
            actions.extend(self._decide(move, state, now))
        return tuple(actions)

    def _receive_on(
        self,
        service: ServiceName,
        sender: VmId,
        report: Report,
    ) -> None:
        member = self._members.get(sender)
        if member is None:
            return
        zone = member.availability_zone
        for move in self._moves.values():
            if move.service != service or move.id not in self._progress:
                continue
            if zone == self._zone or sender == decider_of(
                move,
                zone,
                self._members,
            ):
                tally = self._progress[move.id].tally
                tally.receive(sender, zone, report)

    def _follow(
        self,
        snapshot: Snapshot,
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> None:
        """Take in what changed since the last step."""
        me = members.get(self._vm)
        running = (known.move for known in snapshot.services.values())
        self._moves = {
            move.id: move
            for move in running
            if move and me and owns(me, move.service)
        }
        services = {move.service for move in self._moves.values()}
        # A zone has many members and few of them own the moved service.
        self._members = {
            vm: member
            for vm, member in members.items()
            if member.upstream and member.upstream.service in services
        }
        for move_id in set(self._progress).difference(self._moves):
            self._progress.pop(move_id)
        paused = self._stepped_at and now - self._stepped_at > _PAUSE
        for progress in self._progress.values():
            progress.tally.keep_owners(self._members)
            if paused:
                # After a pause the clock says "next stage", while what the
                # owners saw meanwhile is still on its way.
                progress.listening_since = now
        self._stepped_at = now

    def _progress_of(self, move: Move, now: datetime) -> _Progress:
        if move.id not in self._progress:
            self._progress[move.id] = _Progress(
                tally=MoveTally(
                    move,
                    availability_zone=self._zone,
                    alpha=self._cautions[move.profile].alpha,
                    now=now,
                ),
                listening_since=now,
            )
        return self._progress[move.id]

    def _decide(
        self,
        move: Move,
        state: MoveState,
        now: datetime,
    ) -> Iterator[Action]:
        progress = self._progress_of(move, now)
        progress.tally.advance(now)
        view = _View(
            move=move,
            state=state,
            members=self._members,
            now=now,
            finding=progress.tally.find(),
            calls=progress.tally.new_calls,
            call_rate=progress.tally.call_rate,
            sheds=progress.tally.sheds,
            worsened=progress.tally.worsened,
            caution=self._cautions[move.profile],
        )
        if progress.first_ready is None and view.ready_zones:
            progress.first_ready = now
        step = self._next_state(view, progress)
        if step is not None:
            told, reason = step
            state = join(state, told)
            yield Publish(move=move.id, state=state)
            yield Note(at=now, move=move.id, service=move.service, text=reason)
        yield from self._settle(view, state, progress)
        yield from self._relay(view, progress)

    def _next_state(
        self,
        view: _View,
        progress: _Progress,
    ) -> tuple[MoveState, str] | None:
        """What to add to the move's state and why, if anything."""
        if view.state.veto:
            return None
        reason = _find_veto(view, progress.first_ready)
        if reason is not None:
            told = MoveState(veto=True, reason=reason)
            return told, f'veto: {reason}'
        stage = view.state.stages.get(self._zone, 0)
        if stage != progress.stage:
            progress.stage = stage
            progress.stage_calls = view.calls
        grown = self._find_growth(view, progress, stage)
        if grown is None:
            return None
        share = STAGES[grown.stage].share
        text = f'share {share:.0%} in {self._zone}: {grown.reason}'
        return MoveState(stages={self._zone: grown.stage}), text

    def _find_growth(
        self,
        view: _View,
        progress: _Progress,
        stage: int,
    ) -> _Growth | None:
        """The stage that begins now and why, or ``None``."""
        ready = view.ready_zones
        if stage >= FULL or progress.first_ready is None or not ready:
            return None
        if stage and view.now < progress.listening_since + _SETTLE_IN:
            return None
        if self._zone not in ready:
            led = min(view.state.stages.get(zone, 0) for zone in ready)
            return _Growth(led, 'other zones lead') if stage < led else None
        plan = plan_move(view.move, first_ready=progress.first_ready)
        if stage >= CANARY and view.now >= plan.settle:
            return _Growth(FULL, f'the plan, after {view.calls} calls')
        clean = view.calls - progress.stage_calls >= _STAGE_CALLS
        reason = _find_due(view, plan, stage + 1, clean=clean)
        return _Growth(stage + 1, reason) if reason else None

    def _settle(
        self,
        view: _View,
        state: MoveState,
        progress: _Progress,
    ) -> Iterator[Settle]:
        kind = _find_verdict(view, state, self._zone)
        if kind is None:
            return
        if progress.settled_at is None:
            # All zones come to the same verdict at about the same time; the
            # later ones only write when the first could not.
            progress.settled_at = view.now + _STAGGER * self._rank(view)
        if view.now < progress.settled_at:
            return
        progress.settled_at = view.now + _REPEAT
        done = f'{view.calls} calls of {view.move.new} seen in {self._zone}'
        yield Settle(
            record=VerdictRecord(
                move=view.move.id,
                service=view.move.service,
                kind=kind,
                decided_by=self._vm,
                reason=state.reason or done,
            ),
        )

    def _relay(self, view: _View, progress: _Progress) -> Iterator[Send]:
        """Tell the other zones what this one saw.

        A service with few calls shows a bad version soon enough only when
        the calls of all zones are judged together.
        """
        others = view.zones - {self._zone}
        body = progress.tally.relay() if others else None
        if body is None:
            return
        for zone in sorted(others):
            to = decider_of(view.move, zone, view.members)
            if to is not None:
                yield Send(to=to, body=body)

    def _rank(self, view: _View) -> int:
        own = weigh(view.move.id, self._zone)
        return sum(weigh(view.move.id, zone) > own for zone in view.zones)


def _is_ready(member: Member, move: Move) -> bool:
    upstream = member.upstream
    return (
        upstream is not None
        and upstream.service == move.service
        and upstream.version == move.new
        and upstream.state is UpstreamState.READY
    )


def _find_veto(view: _View, first_ready: datetime | None) -> str | None:
    """Why the new version is to get no traffic, or ``None``."""
    finding = view.finding
    if finding is not None and finding.conclusive:
        return finding.describe()
    move = view.move
    begun = max(view.state.stages.values(), default=0)
    if view.now >= move.deadline and not begun:
        return f'no upstream of {move.new} was ready before the deadline'
    plan = plan_move(move, first_ready=first_ready or view.now)
    if view.now >= plan.settle and 0 < begun < FULL:
        return _find_doubt(view) or _find_lateness(view, first_ready, begun)
    return None


def _find_doubt(view: _View) -> str | None:
    """Why a move is not to be completed at its deadline, or ``None``."""
    finding = view.finding
    if finding is not None and finding.weight >= view.caution.doubtful:
        return f'doubt at the deadline: {finding.describe()}'
    if view.move.profile is Profile.CAUTIOUS:
        if view.sheds:
            return f'{view.move.new} sheds load at the deadline'
        if view.worsened:
            return f'calls of {view.move.new} fail at the deadline'
    wanted = view.caution.calls_wanted
    if view.calls < wanted:
        return (
            f'doubt at the deadline: {view.calls} calls of {view.move.new}, '
            f'expected {wanted}'
        )
    return None


def _find_lateness(
    view: _View,
    first_ready: datetime | None,
    begun: int,
) -> str | None:
    """Why a version that came late is not to get all calls at once.

    Its canary was too short to tell anything; the symptom of going on would
    be a bad version with all of the traffic.
    """
    move = view.move
    latest = move.deadline - MIN_MOVE
    if begun > CANARY or first_ready is None or first_ready <= latest:
        return None
    left = (move.deadline - first_ready).total_seconds()
    return (
        f'{move.new} was ready only {left:.1f} s before the deadline, '
        f'expected {MIN_MOVE.total_seconds():.0f}'
    )


def _find_due(
    view: _View,
    plan: Plan,
    stage: int,
    *,
    clean: bool,
) -> str | None:
    """Why a stage begins now, or ``None`` when it does not."""
    wanted = STAGES[stage]
    if view.now < plan.time_of(wanted.earliest):
        return None
    if stage <= CANARY:
        return 'the plan'
    waits = _has_to_wait(view, plan, stage)
    if clean and not view.suspicious and not waits:
        return f'{view.calls} calls without a finding'
    if view.now >= plan.time_of(wanted.latest) and not waits:
        return f'no time left to wait, {view.calls} calls so far'
    return None


def _has_to_wait(view: _View, plan: Plan, stage: int) -> bool:
    if view.suspicious and _can_wait(view, plan):
        return True
    control = view.call_rate * (1 - STAGES[stage].share)
    late = view.now >= plan.time_of(_CONTROL_UNTIL)
    return stage >= HOLD and control < _CONTROL_RATE and not late


def _can_wait(view: _View, plan: Plan) -> bool:
    """Whether suspicion may hold a move back a little longer."""
    cautious = view.move.profile is Profile.CAUTIOUS
    return cautious or view.now < plan.time_of(_NO_MORE_WAITING)


def _find_verdict(
    view: _View,
    state: MoveState,
    zone: AvailabilityZone,
) -> VerdictKind | None:
    if state.veto:
        return VerdictKind.TAKEN_BACK
    if state.stages.get(zone, 0) < FULL:
        return None
    complete = all(state.stages.get(known, 0) >= FULL for known in view.zones)
    # A zone whose decider is slow must not make the verdict late; the
    # verdict itself gives that zone's calls to the new version.
    plan = plan_move(view.move, first_ready=view.now)
    if complete or view.now >= plan.last_call:
        return VerdictKind.DONE
    return None


assert HOLD < FULL, 'a move holds before it is complete'
