"""Deciders to compare with: a fixed timetable, a plain error-rate limit."""

from collections import deque
from collections.abc import Iterator, Mapping
from datetime import datetime, timedelta

from verbenamill_model import Move, Snapshot, VerdictRecord
from verbenamill_model.traffic import Member
from verbenamill_model.typing import (
    AvailabilityZone,
    Offset,
    VerdictKind,
    VmId,
)
from verbenamill_moves import (
    Action,
    AppendVerdict,
    MoveState,
    PublishState,
    choose_decider,
)
from verbenamill_moves.evidence import decode_report
from verbenamill_moves.stages import FULL_STAGE, STAGES, plan_move

_LIMIT = 0.05
_MIN_CALLS = 20
_MEMORY = timedelta(seconds=10)


class PlainDecider:
    """Raises the stages by the clock; at most looks at an error rate.

    :param limited: veto when 5 % of the calls of the last 10 s failed.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        availability_zone: AvailabilityZone,
        limited: bool,
    ) -> None:
        self._vm = vm
        self._zone = availability_zone
        self._limited = limited
        self._last: dict[VmId, tuple[int, int]] = {}
        self._grown: deque[tuple[datetime, int, int]] = deque()
        self._now: datetime | None = None

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take an owner's report."""
        told = decode_report(report)
        if told is None or self._now is None:
            return
        counts = [
            route
            for version in told.versions
            if version.version == 'v2'
            for route in version.routes
        ]
        total = (
            sum(route.answered for route in counts),
            sum(route.failed for route in counts),
        )
        before = self._last.get(sender, (0, 0))
        if total[0] < before[0]:
            before = (0, 0)
        self._last[sender] = total
        grown = (self._now, total[0] - before[0], total[1] - before[1])
        self._grown.append(grown)

    def step(
        self,
        *,
        snapshot: Snapshot,
        states: Mapping[Offset, MoveState],
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> tuple[Action, ...]:
        """Decide on every running move."""
        self._now = now
        while self._grown and now - self._grown[0][0] > _MEMORY:
            self._grown.popleft()
        actions: list[Action] = []
        for known in snapshot.services.values():
            move = known.move
            if move is None:
                continue
            if choose_decider(move, self._zone, members) == self._vm:
                state = states.get(move.id, MoveState())
                actions.extend(self._decide(move, state, now))
        return tuple(actions)

    def _decide(
        self,
        move: Move,
        state: MoveState,
        now: datetime,
    ) -> Iterator[Action]:
        if state.veto:
            yield self._settle(move, VerdictKind.TAKEN_BACK)
            return
        if self._limited and self._failed_share() > _LIMIT:
            vetoed = MoveState(veto=True, reason='error rate')
            yield PublishState(move=move.id, state=vetoed)
            return
        plan = plan_move(move, first_ready=move.accepted_at)
        due = [
            number
            for number, stage in enumerate(STAGES)
            if now >= plan.time_of(stage.earliest)
        ]
        stage = max(due)
        if stage > state.stages.get(self._zone, 0):
            stages = {self._zone: stage}
            yield PublishState(move=move.id, state=MoveState(stages=stages))
        elif stage == FULL_STAGE:
            yield self._settle(move, VerdictKind.DONE)

    def _failed_share(self) -> float:
        calls = sum(grown[1] for grown in self._grown)
        failed = sum(grown[2] for grown in self._grown)
        return failed / calls if calls >= _MIN_CALLS else 0

    def _settle(self, move: Move, kind: VerdictKind) -> AppendVerdict:
        return AppendVerdict(
            record=VerdictRecord(
                move=move.id,
                service=move.service,
                kind=kind,
                decided_by=self._vm,
            ),
        )
