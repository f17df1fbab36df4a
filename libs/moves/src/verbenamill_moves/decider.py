"""Decisions on the running moves: stages, vetoes and verdicts."""

from collections.abc import Iterator, Mapping
from datetime import datetime, timedelta

from msgspec import Struct

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

#: Probability of finding a good version bad, per move and zone.
_ALPHAS: Mapping[Profile, float] = {
    Profile.ON_TIME: 0.0005,
    Profile.CAUTIOUS: 0.002,
}
#: Evidence (logarithm) at which a version that is not yet found bad grows
#: no further.
_SUSPICIOUS = 2.0
#: Calls of the new version at a stage that allow the next one early.
_STAGE_CALLS = 150
#: Calls of the new version without which a cautious move is doubtful.
_CAUTIOUS_CALLS = 20
#: A decider that did not step for so long was paused,
_PAUSE = timedelta(seconds=3)
#: and takes so long to hear from the owners again.
_SETTLE_IN = timedelta(milliseconds=1500)
#: Between two tries to append a verdict.
_REPEAT = timedelta(seconds=2)
#: By how much each further availability zone waits with the verdict.
_STAGGER = timedelta(seconds=1)


class Publish(Struct, frozen=True, kw_only=True):
    """Tell the other daemons a move's new state."""

    move: Offset
    state: MoveState


class Settle(Struct, frozen=True, kw_only=True):
    """Append a verdict; given again until it is in force."""

    record: VerdictRecord


class Note(Struct, frozen=True, kw_only=True):
    """A step and its cause, for the audit trail."""

    at: datetime
    move: Offset
    service: ServiceName
    text: str


Action = Publish | Settle | Note


class _View(Struct, frozen=True, kw_only=True):
    """What a decision on one move is made from."""

    move: Move
    state: MoveState
    members: Mapping[VmId, Member]
    now: datetime
    finding: Finding | None
    calls: int

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
        """Whether the new version looks bad, if not for certain."""
        return self.finding is not None and self.finding.weight > _SUSPICIOUS


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
    """

    def __init__(
        self,
        *,
        vm: VmId,
        availability_zone: AvailabilityZone,
    ) -> None:
        self._vm = vm
        self._zone = availability_zone
        self._moves: dict[Offset, Move] = {}
        self._progress: dict[Offset, _Progress] = {}
        self._stepped_at: datetime | None = None

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take an owner's report; unreadable ones are left out."""
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
        """Decide on every running move; to be called twice a second.

        :param states: what the mesh knows of the moves.
        :param members: daemons that are alive, this one included.
        :returns: what the daemon has to do, in this order.
        """
        self._follow(snapshot, members, now)
        actions: list[Action] = []
        for move in self._moves.values():
            if decider_of(move, self._zone, members) != self._vm:
                self._progress.pop(move.id, None)
                continue
            state = states.get(move.id, MoveState())
            actions.extend(self._decide(move, state, members, now))
        return tuple(actions)

    def _receive_on(
        self,
        service: ServiceName,
        sender: VmId,
        report: Report,
    ) -> None:
        for move in self._moves.values():
            if move.service == service and move.id in self._progress:
                self._progress[move.id].tally.receive(sender, report)

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
        for move_id in set(self._progress).difference(self._moves):
            self._progress.pop(move_id)
        paused = self._stepped_at and now - self._stepped_at > _PAUSE
        for progress in self._progress.values():
            progress.tally.keep_owners(members)
            if paused:
                # After a pause the clock says "next stage", while what the
                # owners saw meanwhile is still on its way.
                progress.listening_since = now
        self._stepped_at = now

    def _progress_of(self, move: Move, now: datetime) -> _Progress:
        if move.id not in self._progress:
            self._progress[move.id] = _Progress(
                tally=MoveTally(move, alpha=_ALPHAS[move.profile], now=now),
                listening_since=now,
            )
        return self._progress[move.id]

    def _decide(
        self,
        move: Move,
        state: MoveState,
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> Iterator[Action]:
        progress = self._progress_of(move, now)
        progress.tally.advance(now)
        view = _View(
            move=move,
            state=state,
            members=members,
            now=now,
            finding=progress.tally.find(),
            calls=progress.tally.new_calls,
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
        reason = self._find_growth(view, progress, stage)
        if reason is None:
            return None
        share = STAGES[stage + 1].share
        text = f'share {share:.0%} in {self._zone}: {reason}'
        return MoveState(stages={self._zone: stage + 1}), text

    def _find_growth(
        self,
        view: _View,
        progress: _Progress,
        stage: int,
    ) -> str | None:
        """Why the next stage begins now, or ``None`` when it does not."""
        if stage >= FULL or progress.first_ready is None:
            return None
        if stage and view.now < progress.listening_since + _SETTLE_IN:
            return None
        if not view.ready_zones:
            return None
        if self._zone not in view.ready_zones:
            led = [view.state.stages.get(zone, 0) for zone in view.ready_zones]
            return 'other zones lead' if stage < min(led) else None
        plan = plan_move(view.move, first_ready=progress.first_ready)
        clean = view.calls - progress.stage_calls >= _STAGE_CALLS
        return _find_due(view, plan, stage + 1, clean=clean)

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
    if move.profile is Profile.CAUTIOUS and begun < FULL:
        return _find_doubt(view, first_ready)
    return None


def _find_doubt(view: _View, first_ready: datetime | None) -> str | None:
    """Why a cautious move is not to be completed at its deadline."""
    plan = plan_move(view.move, first_ready=first_ready or view.now)
    if view.now < plan.settle:
        return None
    if view.suspicious and view.finding is not None:
        return f'doubt at the deadline: {view.finding.describe()}'
    if view.calls < _CAUTIOUS_CALLS and view.ready_zones:
        return (
            f'doubt at the deadline: {view.calls} calls of {view.move.new}, '
            f'expected {_CAUTIOUS_CALLS}'
        )
    return None


def _find_due(
    view: _View,
    plan: Plan,
    stage: int,
    *,
    clean: bool,
) -> str | None:
    wanted = STAGES[stage]
    if view.now < plan.time_of(wanted.earliest):
        return None
    if stage <= CANARY or stage == FULL:
        return 'the plan'
    if clean and not view.suspicious:
        return f'{view.calls} calls without a finding'
    overdue = view.now >= plan.time_of(wanted.latest)
    held = view.suspicious and view.move.profile is Profile.CAUTIOUS
    if overdue and not held:
        return f'no time left to wait, {view.calls} calls so far'
    return None


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
    # A zone whose decider is slow must not make the verdict late.
    if complete or view.now >= view.move.deadline:
        return VerdictKind.DONE
    return None


assert HOLD < FULL, 'a move holds before it is complete'
