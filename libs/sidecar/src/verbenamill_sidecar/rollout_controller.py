"""Moves between versions: counts go to a decider, its word to everyone."""

from collections.abc import Callable
from zlib import crc32

import trio
from msgspec import Struct
from returns.result import Failure, Success

from verbenamill_model.typing import ServiceName, VmId
from verbenamill_policy.move_decision import Decision, MoveContext, decide
from verbenamill_policy.evidence import Evidence
from verbenamill_policy.rollouts import (
    Order,
    Progress,
    SettledOrder,
    Verdict,
)
from verbenamill_policy.tallies import Tally
from verbenamill_sidecar.gossip import Gossip
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.local_upstream import LocalUpstream
from verbenamill_sidecar.peers import Peer, Peers
from verbenamill_sidecar.protocol import ReportedVerdicts, Store
from verbenamill_telemetry import Event, log

#: How often moves are looked at, in seconds.
STEP = 0.1
#: How often owners send their counts, in seconds.
REPORT_PERIOD = 0.2
#: Pause after a verdict could not be written, in seconds.
_PAUSE = 0.3
#: Counts of an owner that was not heard of for this long are not waited
#: for, in seconds.
_OLD = 2.0


class _Move:
    """One move as its decider follows it."""

    def __init__(self, order: Order, now: float) -> None:
        self.order = order
        self.begun_at = now
        self.stage = 0
        self.stage_at = now
        self.evidence = Evidence(order.target)
        self.is_announced = False
        self.is_confirmed = False
        self.verdict: Verdict | None = None


class Counted(Struct):
    """The newest counts of one owner, and when they came."""

    tally: Tally
    at: float


class Moving:
    """Decides on moves, where this daemon is the one to decide.

    :param has_verdicts: whether the store has told which moves are settled.
        A daemon that was restarted and decides before it knows could take
        back a version that is the only one left.
    """

    def __init__(
        self,
        *,
        own_vm: VmId,
        own: LocalUpstream,
        store: Store,
        desired_state: DesiredState,
        peers: Peers,
        has_verdicts: Callable[[], bool],
    ) -> None:
        self._has_verdicts = has_verdicts
        self._own_vm = own_vm
        self._own = own
        self._store = store
        self._desired_state = desired_state
        self._peers = peers
        self._gossip: Gossip | None = None
        self._moves: dict[int, _Move] = {}
        self._counted: dict[VmId, Counted] = {}
        self._reported_at = float('-inf')

    def take_tally(self, tally: Tally) -> None:
        """Take in the counts of an owner."""
        self._counted[tally.vm] = Counted(tally, trio.current_time())

    async def run(self, gossip: Gossip) -> None:
        """Look after moves until cancelled."""
        self._gossip = gossip
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(STEP)
                for order in self._desired_state.running():
                    self._step(order, nursery)

    def _step(self, order: Order, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        move = self._moves.setdefault(order.id, _Move(order, now))
        known = self._desired_state.progress_of(order)
        move.begun_at = min(move.begun_at, now - known.age)
        decider = self._find_decider(order, now)
        self._report(order, decider, now)
        if decider is None or not self._peers.is_own(decider):
            move.is_announced = False
            move.is_confirmed = False
            return
        if move.verdict is not None:
            return
        if known.stage != move.stage:
            move.stage = known.stage
            move.stage_at = now
        if not move.is_announced:
            move.is_announced = True
            nursery.start_soon(self._announce, move)
        move.evidence.update(self._tallies_of(order.service))
        if not move.is_confirmed and not self._has_verdicts():
            return
        if known.vetoed:
            decision = Decision(stage=known.stage, veto='vetoed before')
        else:
            decision = decide(self._situation(move, known, now))
        self._act(move, known, decision, now, nursery)

    def _situation(
        self,
        move: _Move,
        known: Progress,
        now: float,
    ) -> MoveContext:
        order = move.order
        return MoveContext(
            window=order.window,
            elapsed=now - move.begun_at,
            time_in_stage=now - move.stage_at,
            progress=known,
            target_ready=any(
                peer.upstream is not None
                and peer.upstream.version == order.target
                for peer in self._peers.for_service(order.service)
            ),
            calls=move.evidence.calls,
            finding=move.evidence.finding(),
        )

    def _act(
        self,
        move: _Move,
        known: Progress,
        decision: Decision,
        now: float,
        nursery: trio.Nursery,
    ) -> None:
        order = move.order
        vetoed = bool(decision.veto)
        if vetoed or decision.stage != known.stage:
            assert self._gossip is not None
            self._gossip.tell_progress(
                Progress(
                    service=order.service,
                    order=order.id,
                    stage=decision.stage,
                    vetoed=vetoed,
                    age=now - move.begun_at,
                ),
            )
        if vetoed:
            finding = move.evidence.finding()
            log(
                Event.MOVE_VETOED,
                move=order.id,
                service=order.service,
                text=decision.veto,
                weight=round(finding.weight, 1),
                calls=move.evidence.calls,
            )
            move.verdict = Verdict.TAKEN_BACK
        elif decision.done:
            move.verdict = Verdict.DONE
        if move.verdict is not None:
            nursery.start_soon(self._settle, move, move.verdict)

    def _find_decider(self, order: Order, now: float) -> Peer | None:
        """One daemon decides on a move; all agree on which.

        Where they do not, as behind a partition, two decide: stages merge,
        a veto wins, and the store takes one verdict only.
        """
        candidates = [
            peer
            for peer in self._peers.all()
            if not peer.record.leaving and peer.owner.down_until <= now
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda peer: crc32(f'{peer.record.vm}/{order.id}'.encode()),
        )

    def _report(self, order: Order, decider: Peer | None, now: float) -> None:
        upstream = self._own.register.current
        if upstream is None or upstream.service != order.service:
            return
        if now - self._reported_at < REPORT_PERIOD:
            return
        self._reported_at = now
        tally = self._own.counts.tally(
            self._own_vm,
            upstream.service,
            upstream.version,
        )
        if decider is None or self._peers.is_own(decider):
            self.take_tally(tally)
        elif self._gossip is not None:
            self._gossip.send_tally(decider, tally)

    def _tallies_of(self, service: ServiceName) -> list[Tally]:
        return [
            counted.tally
            for counted in self._counted.values()
            if counted.tally.service == service
        ]

    async def _announce(self, move: _Move) -> None:
        """Tell the operator that the move runs, if nothing was told yet."""
        while move.is_announced and not await self._write(
            move,
            Verdict.RUNNING,
        ):
            await trio.sleep(_PAUSE)
        move.is_confirmed = move.is_announced

    async def _settle(self, move: _Move, verdict: Verdict) -> None:
        """Tell the operator a verdict, until it or another one is there."""
        while not await self._write(move, verdict):
            await trio.sleep(_PAUSE)

    async def _write(self, move: _Move, verdict: Verdict) -> bool:
        """Write to the store under the condition that nobody else has.

        Two deciders, or one that woke from a pause, may both think that it
        is theirs to decide. The first verdict counts; the other write is
        refused and its decider takes over what stands there.
        """
        match await self._store.read_verdicts():
            case Success(settlements):
                known = settlements
            case Failure(_):
                return False
        if self._is_final(move.order, known):
            return True
        found = known.settled.get(move.order.service)
        if verdict is Verdict.RUNNING and found is not None:
            if found.order == move.order.id:
                return True
        order = move.order
        settled = SettledOrder(
            order=order.id,
            service=order.service,
            target=order.target,
            verdict=verdict,
        )
        match await self._store.record_verdict(settled, end=known.end):
            case Success(_):
                self._take_settled(settled)
                return True
            case Failure(fault):
                log(
                    Event.VERDICT_NOT_WRITTEN,
                    move=order.id,
                    verdict=verdict.value,
                    fault=fault.value,
                )
                return False
        raise AssertionError('a result is a success or a failure')

    def _take_settled(self, settled: SettledOrder) -> None:
        assert self._gossip is not None
        self._gossip.tell_settled(settled)

    def _is_final(self, order: Order, known: ReportedVerdicts) -> bool:
        """Whether the operator was told a verdict on this or a later order."""
        found = known.settled.get(order.service)
        if found is None or found.order < order.id:
            return False
        self._take_settled(found)
        if found.order > order.id:
            return True
        return found.verdict is not Verdict.RUNNING
