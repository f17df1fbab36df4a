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
    VerdictKind,
    VmId,
)
from verbenamill_moves.actions import (
    Action,
    AppendVerdict,
    PublishState,
    SendReport,
    WriteAuditLine,
)
from verbenamill_moves.decider_selection import (
    choose_decider,
    owns_upstream_of,
    rendezvous_weight,
)
from verbenamill_moves.decision_input import (
    THRESHOLDS_BY_PROFILE,
    DecisionInput,
    DecisionThresholds,
    is_ready,
)
from verbenamill_moves.evidence import Report, decode_report
from verbenamill_moves.move_evidence import MoveEvidence
from verbenamill_moves.stage_advance import find_stage_advance
from verbenamill_moves.stages import FULL_STAGE, STAGES
from verbenamill_moves.state import MoveState, join_states
from verbenamill_moves.vetoes import find_veto

#: A decider that did not step for so long was paused,
_PAUSE = timedelta(seconds=3)
#: and takes so long to hear from the owners again.
_SETTLE_IN = timedelta(milliseconds=1500)
#: Between two tries to append a verdict.
_REPEAT = timedelta(seconds=2)
#: Part of the time from the last call to the deadline by which each further
#: availability zone waits with the verdict.
_STAGGER = 0.25
#: Zones that are told this one's sums at each step.
_RELAYS_A_STEP = 3


class _Progress(Struct, kw_only=True):
    """What one decider remembers of a move.

    :param listening_since: evidence is complete from a little after it.
    :param stage: stage at the last step.
    :param stage_began_with: calls of the new version when it began.
    :param relays: steps at which other zones were told sums.
    """

    tally: MoveEvidence
    listening_since: datetime
    first_ready: datetime | None = None
    stage: int = 0
    stage_began_with: int = 0
    settled_at: datetime | None = None
    relays: int = 0


class Decider:
    """Acts for the moves that it is chosen for in its availability zone.

    :param vm: the daemon it runs in.
    :param thresholds: how doubt is resolved, by the profile of a move.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        availability_zone: AvailabilityZone,
        thresholds: Mapping[
            Profile, DecisionThresholds
        ] = THRESHOLDS_BY_PROFILE,
    ) -> None:
        self._vm = vm
        self._zone = availability_zone
        self._cautions = thresholds
        self._members: Mapping[VmId, Member] = {}
        self._moves: dict[Offset, Move] = {}
        self._progress: dict[Offset, _Progress] = {}
        self._stepped_at: datetime | None = None

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take a report; unreadable ones are left out.

        From another availability zone only its decider is heard: two that
        both hold themselves chosen would have the zone's calls count twice.
        """
        told = decode_report(report)
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
            if choose_decider(move, self._zone, self._members) != self._vm:
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
            if zone == self._zone or sender == choose_decider(
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
            if move and me and owns_upstream_of(me, move.service)
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
                tally=MoveEvidence(
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
        view = self._look(move, state, progress, now)
        step = self._next_state(view, progress)
        if step is not None:
            told, reason = step
            state = join_states(state, told)
            yield PublishState(move=move.id, state=state)
            yield WriteAuditLine(
                at=now, move=move.id, service=move.service, text=reason
            )
        yield from self._settle(view, state, progress)
        yield from self._relay(view, progress)

    def _look(
        self,
        move: Move,
        state: MoveState,
        progress: _Progress,
        now: datetime,
    ) -> DecisionInput:
        tally = progress.tally
        if progress.first_ready is None and any(
            is_ready(member, move) for member in self._members.values()
        ):
            progress.first_ready = now
        return DecisionInput(
            move=move,
            availability_zone=self._zone,
            state=state,
            members=self._members,
            now=now,
            first_ready=progress.first_ready,
            finding=tally.find(),
            calls=tally.new_calls,
            call_rate=tally.call_rate,
            sheds=tally.sheds,
            refuses=tally.refuses,
            worsened=tally.worsened,
            caution=self._cautions[move.profile],
        )

    def _next_state(
        self,
        view: DecisionInput,
        progress: _Progress,
    ) -> tuple[MoveState, str] | None:
        """What to add to the move's state and why, if anything."""
        if view.state.veto:
            return None
        reason = find_veto(view)
        if reason is not None:
            told = MoveState(veto=True, reason=reason)
            return told, f'veto: {reason}'
        if view.stage != progress.stage:
            progress.stage = view.stage
            progress.stage_began_with = view.calls
        if view.stage and view.now < progress.listening_since + _SETTLE_IN:
            return None
        stage_calls = view.calls - progress.stage_began_with
        grown = find_stage_advance(view, stage_calls=stage_calls)
        if grown is None:
            return None
        share = STAGES[grown.stage].share
        text = f'share {share:.0%} in {self._zone}: {grown.reason}'
        return MoveState(stages={self._zone: grown.stage}), text

    def _settle(
        self,
        view: DecisionInput,
        state: MoveState,
        progress: _Progress,
    ) -> Iterator[AppendVerdict]:
        kind = _find_verdict(view, state)
        if kind is None:
            return
        if progress.settled_at is None:
            # All zones come to the same verdict at about the same time; the
            # later ones only write when the first could not.
            left = view.move.deadline - view.plan.last_call
            wait = left * _STAGGER * self._rank(view)
            progress.settled_at = view.now + wait
        if view.now < progress.settled_at:
            return
        progress.settled_at = view.now + _REPEAT
        done = f'{view.calls} calls of {view.move.new} seen in {self._zone}'
        yield AppendVerdict(
            record=VerdictRecord(
                move=view.move.id,
                service=view.move.service,
                kind=kind,
                decided_by=self._vm,
                reason=state.reason or done,
            ),
        )

    def _relay(
        self, view: DecisionInput, progress: _Progress
    ) -> Iterator[SendReport]:
        """Tell the other zones what this one saw.

        A service with few calls shows a bad version soon enough only when
        the calls of all zones are judged together.
        """
        others = sorted(view.zones - {self._zone})
        body = progress.tally.relay() if others else None
        if body is None:
            return
        # With many zones, sums to all of them at each step would take this
        # daemon over its bytes a second; they are cumulative, so a zone
        # whose turn comes later misses nothing.
        progress.relays += 1
        first = progress.relays * _RELAYS_A_STEP % len(others)
        for zone in (*others[first:], *others[:first])[:_RELAYS_A_STEP]:
            to = choose_decider(view.move, zone, view.members)
            if to is not None:
                yield SendReport(recipient=to, body=body)

    def _rank(self, view: DecisionInput) -> int:
        own = rendezvous_weight(view.move.id, self._zone)
        return sum(
            rendezvous_weight(view.move.id, zone) > own for zone in view.zones
        )


def _find_verdict(view: DecisionInput, state: MoveState) -> VerdictKind | None:
    if state.veto:
        return VerdictKind.TAKEN_BACK
    if state.stages.get(view.availability_zone, 0) < FULL_STAGE:
        return None
    complete = all(
        state.stages.get(known, 0) >= FULL_STAGE for known in view.zones
    )
    # A zone whose decider is slow must not make the verdict late; the
    # verdict itself gives that zone's calls to the new version.
    if complete or view.now >= view.plan.last_call:
        return VerdictKind.DONE
    return None
