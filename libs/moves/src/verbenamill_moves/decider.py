"""Decisions on running moves: stages, vetoes and verdicts."""

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
from verbenamill_moves.decision_context import (
    THRESHOLDS_BY_PROFILE,
    DecisionContext,
    DecisionThresholds,
    is_ready,
)
from verbenamill_moves.evidence import Report, decode_report
from verbenamill_moves.move_evidence import MoveEvidence
from verbenamill_moves.stage_advance import find_stage_advance
from verbenamill_moves.stages import FULL_STAGE, STAGES
from verbenamill_moves.state import MoveState, join_states
from verbenamill_moves.vetoes import find_veto

#: A decider whose last step is longer ago than this was paused.
_PAUSE_THRESHOLD = timedelta(seconds=3)
#: Time after its start or a pause in which a decider waits for the reports
#: of the owners.
_REPORT_CATCH_UP = timedelta(milliseconds=1500)
#: Interval between two attempts to append a verdict.
_APPEND_RETRY_INTERVAL = timedelta(seconds=2)
#: Fraction of the time between ``verdict_by`` of the plan and the deadline by
#: which each further availability zone delays its verdict.
_VERDICT_STAGGER = 0.25
#: Most availability zones that are sent the sums of this one at each step.
_MAX_RELAYS_PER_STEP = 3


class _Progress(Struct, kw_only=True):
    """State that one decider keeps about a move.

    :param listening_since: start of the current listening period; evidence
        is complete once the owners have reported after it.
    :param first_ready: when an upstream of the new version was first ready.
    :param stage: stage at the last step.
    :param calls_before_stage: calls of the new version when that stage began.
    :param verdict_due: when the next attempt to append the verdict is due.
    :param relay_steps: steps at which sums were sent to other zones.
    """

    evidence: MoveEvidence
    listening_since: datetime
    first_ready: datetime | None = None
    stage: int = 0
    calls_before_stage: int = 0
    verdict_due: datetime | None = None
    relay_steps: int = 0


class Decider:
    """Decides on the moves for which it is chosen in its availability zone.

    :param vm: the daemon that this decider runs in.
    :param thresholds: limits for the decisions, by the profile of a move.
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
        self._thresholds = thresholds
        self._members: Mapping[VmId, Member] = {}
        self._moves: dict[Offset, Move] = {}
        self._progress: dict[Offset, _Progress] = {}
        self._stepped_at: datetime | None = None

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take in a report; unreadable reports are ignored.

        Reports of another availability zone are accepted only from the
        decider of that zone. If two of its daemons each considered
        themselves chosen, the calls of that zone would count twice.
        """
        decoded = decode_report(report)
        if decoded is None:
            return
        for version in decoded.versions:
            self._receive_for_service(version.service, sender, decoded)

    def step(
        self,
        *,
        snapshot: Snapshot,
        states: Mapping[Offset, MoveState],
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> tuple[Action, ...]:
        """Decide on every running move; called a few times per second.

        :param states: states of the moves that the mesh knows.
        :param members: live daemons, including this one.
        :returns: actions that the daemon has to carry out in this order.
        """
        self._refresh(snapshot, members, now)
        actions: list[Action] = []
        for move in self._moves.values():
            if choose_decider(move, self._zone, self._members) != self._vm:
                self._progress.pop(move.id, None)
                continue
            state = states.get(move.id, MoveState())
            actions.extend(self._decide(move, state, now))
        return tuple(actions)

    def _receive_for_service(
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
                evidence = self._progress[move.id].evidence
                evidence.receive(sender, zone, report)

    def _refresh(
        self,
        snapshot: Snapshot,
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> None:
        """Update the moves, the members and the progress for this step."""
        own = members.get(self._vm)
        running = (service.move for service in snapshot.services.values())
        self._moves = {
            move.id: move
            for move in running
            if move and own and owns_upstream_of(own, move.service)
        }
        services = {move.service for move in self._moves.values()}
        # A zone has many members, but only a few of them own an upstream of
        # a service that moves.
        self._members = {
            vm: member
            for vm, member in members.items()
            if member.upstream and member.upstream.service in services
        }
        for move_id in set(self._progress).difference(self._moves):
            self._progress.pop(move_id)
        paused = self._stepped_at and now - self._stepped_at > _PAUSE_THRESHOLD
        for progress in self._progress.values():
            progress.evidence.retain_owners(self._members)
            if paused:
                # After a pause the next stage may be due by the clock, while
                # the reports about the paused time have not arrived yet.
                progress.listening_since = now
        self._stepped_at = now

    def _progress_of(self, move: Move, now: datetime) -> _Progress:
        if move.id not in self._progress:
            self._progress[move.id] = _Progress(
                evidence=MoveEvidence(
                    move,
                    availability_zone=self._zone,
                    alpha=self._thresholds[move.profile].alpha,
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
        progress.evidence.judge_step(now)
        context = self._make_context(move, state, progress, now)
        change = self._find_change(context, progress)
        if change is not None:
            added, reason = change
            state = join_states(state, added)
            yield PublishState(move=move.id, state=state)
            yield WriteAuditLine(
                at=now,
                move=move.id,
                service=move.service,
                text=reason,
            )
        yield from self._append_verdict(context, state, progress)
        yield from self._send_sums(context, progress)

    def _make_context(
        self,
        move: Move,
        state: MoveState,
        progress: _Progress,
        now: datetime,
    ) -> DecisionContext:
        evidence = progress.evidence
        if progress.first_ready is None and any(
            is_ready(member, move) for member in self._members.values()
        ):
            progress.first_ready = now
        return DecisionContext(
            move=move,
            availability_zone=self._zone,
            state=state,
            members=self._members,
            now=now,
            first_ready=progress.first_ready,
            finding=evidence.strongest_finding(),
            calls=evidence.new_calls,
            call_rate=evidence.call_rate,
            sheds_more=evidence.sheds_more,
            refuses_calls=evidence.refuses_calls,
            fails_often=evidence.fails_often,
            thresholds=self._thresholds[move.profile],
        )

    def _find_change(
        self,
        context: DecisionContext,
        progress: _Progress,
    ) -> tuple[MoveState, str] | None:
        """Return what to add to the state of the move and why, if anything."""
        if context.state.veto:
            return None
        reason = find_veto(context)
        if reason is not None:
            vetoed = MoveState(veto=True, reason=reason)
            return vetoed, f'veto: {reason}'
        if context.stage != progress.stage:
            progress.stage = context.stage
            progress.calls_before_stage = context.calls
        if (
            context.stage
            and context.now < progress.listening_since + _REPORT_CATCH_UP
        ):
            return None
        stage_calls = context.calls - progress.calls_before_stage
        advance = find_stage_advance(context, stage_calls=stage_calls)
        if advance is None:
            return None
        share = STAGES[advance.stage].share
        text = f'share {share:.0%} in {self._zone}: {advance.reason}'
        return MoveState(stages={self._zone: advance.stage}), text

    def _append_verdict(
        self,
        context: DecisionContext,
        state: MoveState,
        progress: _Progress,
    ) -> Iterator[AppendVerdict]:
        kind = _find_verdict(context, state)
        if kind is None:
            return
        if progress.verdict_due is None:
            # All zones reach the same verdict at about the same time. The
            # delay differs by zone, so that a further zone appends the
            # verdict only if the zones before it could not.
            remaining = context.move.deadline - context.plan.verdict_by
            wait = remaining * _VERDICT_STAGGER * self._zone_rank(context)
            progress.verdict_due = context.now + wait
        if context.now < progress.verdict_due:
            return
        progress.verdict_due = context.now + _APPEND_RETRY_INTERVAL
        summary = (
            f'{context.calls} calls of {context.move.new} seen in {self._zone}'
        )
        yield AppendVerdict(
            record=VerdictRecord(
                move=context.move.id,
                service=context.move.service,
                kind=kind,
                decided_by=self._vm,
                reason=state.reason or summary,
            ),
        )

    def _send_sums(
        self, context: DecisionContext, progress: _Progress
    ) -> Iterator[SendReport]:
        """Send the sums of this availability zone to the other zones.

        For a service with few calls, a bad version is found soon enough only
        if the calls of all zones are judged together.
        """
        others = sorted(context.zones - {self._zone})
        body = progress.evidence.encode_sums() if others else None
        if body is None:
            return
        # With many zones, sending the sums to all of them at each step would
        # exceed this daemon's bytes per second. The sums are cumulative, so
        # a zone that receives them some steps later loses nothing.
        progress.relay_steps += 1
        first = progress.relay_steps * _MAX_RELAYS_PER_STEP % len(others)
        for zone in (*others[first:], *others[:first])[:_MAX_RELAYS_PER_STEP]:
            recipient = choose_decider(context.move, zone, context.members)
            if recipient is not None:
                yield SendReport(recipient=recipient, body=body)

    def _zone_rank(self, context: DecisionContext) -> int:
        """Count the zones that append the verdict before this one."""
        own = rendezvous_weight(context.move.id, self._zone)
        return sum(
            rendezvous_weight(context.move.id, zone) > own
            for zone in context.zones
        )


def _find_verdict(
    context: DecisionContext, state: MoveState
) -> VerdictKind | None:
    if state.veto:
        return VerdictKind.TAKEN_BACK
    if state.stages.get(context.availability_zone, 0) < FULL_STAGE:
        return None
    complete = all(
        state.stages.get(zone, 0) >= FULL_STAGE for zone in context.zones
    )
    # A zone with a slow decider must not delay the verdict beyond the
    # deadline; the verdict itself gives the calls of that zone to the new
    # version.
    if complete or context.now >= context.plan.verdict_by:
        return VerdictKind.DONE
    return None
