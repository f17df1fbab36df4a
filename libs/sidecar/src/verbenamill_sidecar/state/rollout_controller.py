"""Controls moves of a service between versions, on the daemon that decides.

Owners send their tallies to one decider per move, which publishes the progress
and the verdict to all daemons.
"""

from collections.abc import Callable
from zlib import crc32

import trio
from msgspec import Struct
from returns.result import Failure, Success

from verbenamill_http.timers import sleep_coarsely
from verbenamill_model.typing import ServiceName, VmId
from verbenamill_policy.evidence import Evidence
from verbenamill_policy.move_decision import Decision, MoveContext, decide
from verbenamill_policy.rollouts import (
    Order,
    Progress,
    SettledOrder,
    Verdict,
)
from verbenamill_policy.tallies import Tally
from verbenamill_sidecar.membership.gossip import Gossip
from verbenamill_sidecar.membership.peers import Peer, Peers
from verbenamill_sidecar.protocol import ReportedVerdicts, Store
from verbenamill_sidecar.state.desired_state import DesiredState
from verbenamill_sidecar.upstream.local_upstream import LocalUpstream
from verbenamill_telemetry import Event, log

#: Interval between decisions on each running move, in seconds.
STEP_PERIOD = 0.1
#: Interval at which an owner sends its tally to the decider, in seconds.
REPORT_PERIOD = 0.2
#: Pause after a verdict could not be written, in seconds.
_WRITE_RETRY_PAUSE = 0.3
#: Age after which the tally of a silent owner is not waited for, in seconds.
_TALLY_MAX_AGE = 2.0


class _TrackedMove:
    """The state that the decider keeps of one move.

    :ivar stage_started_at: when the current stage began, on trio's clock.
    :ivar is_announced: whether this daemon has begun to decide on the move and
        to report it as running.
    :ivar is_confirmed: whether the store holds that report.
    """

    def __init__(self, order: Order, now: float) -> None:
        self.order = order
        self.started_at = now
        self.stage = 0
        self.stage_started_at = now
        self.evidence = Evidence(order.target)
        self.is_announced = False
        self.is_confirmed = False
        self.verdict: Verdict | None = None


class ReceivedTally(Struct):
    """The newest tally of one owner, and when it arrived on trio's clock."""

    tally: Tally
    received_at: float


class RolloutController:
    """Decides on the moves that this daemon is the decider of.

    :param own_vm: VM of this daemon.
    :param own: the upstream of this daemon.
    :param has_verdicts: whether the verdicts of the store have been read. A
        restarted daemon that decides without them could take back the only
        version that is left.
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
        self._own_upstream = own
        self._store = store
        self._desired_state = desired_state
        self._peers = peers
        self._gossip: Gossip | None = None
        self._moves: dict[int, _TrackedMove] = {}
        self._received_tallies: dict[VmId, ReceivedTally] = {}
        self._reported_at = float('-inf')

    def record_tally(self, tally: Tally) -> None:
        """Store the tally of an owner."""
        self._received_tallies[tally.vm] = ReceivedTally(
            tally, trio.current_time()
        )

    async def run(self, gossip: Gossip) -> None:
        """Step all running moves until cancelled."""
        self._gossip = gossip
        async with trio.open_nursery() as nursery:
            while True:
                await sleep_coarsely(STEP_PERIOD)
                for order in self._desired_state.running_orders():
                    self._step(order, nursery)

    def _step(self, order: Order, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        move = self._moves.setdefault(order.id, _TrackedMove(order, now))
        current = self._desired_state.progress_of(order)
        move.started_at = min(move.started_at, now - current.age)
        decider = self._find_decider(order, now)
        self._send_tally(order, decider, now)
        if decider is None or not self._peers.is_own(decider):
            move.is_announced = False
            move.is_confirmed = False
            return
        if move.verdict is not None:
            return
        if current.stage != move.stage:
            move.stage = current.stage
            move.stage_started_at = now
        if not move.is_announced:
            move.is_announced = True
            nursery.start_soon(self._report_running, move)
        move.evidence.update(self._tallies_of(order.service))
        if not move.is_confirmed and not self._has_verdicts():
            return
        if current.vetoed:
            decision = Decision(stage=current.stage, veto='vetoed before')
        else:
            decision = decide(self._build_context(move, current, now))
        self._act(move, current, decision, now, nursery)

    def _build_context(
        self,
        move: _TrackedMove,
        current: Progress,
        now: float,
    ) -> MoveContext:
        order = move.order
        return MoveContext(
            window=order.window,
            elapsed=now - move.started_at,
            time_in_stage=now - move.stage_started_at,
            progress=current,
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
        move: _TrackedMove,
        current: Progress,
        decision: Decision,
        now: float,
        nursery: trio.Nursery,
    ) -> None:
        order = move.order
        vetoed = bool(decision.veto)
        if vetoed or decision.stage != current.stage:
            assert self._gossip is not None
            self._gossip.publish_progress(
                Progress(
                    service=order.service,
                    order=order.id,
                    stage=decision.stage,
                    vetoed=vetoed,
                    age=now - move.started_at,
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
            nursery.start_soon(self._report_verdict, move, move.verdict)

    def _find_decider(self, order: Order, now: float) -> Peer | None:
        """Choose the one daemon that decides on a move.

        All daemons choose the same one. If they do not, for example during a
        partition, two daemons decide: stages merge, a veto wins, and the store
        accepts only one verdict.
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

    def _send_tally(
        self, order: Order, decider: Peer | None, now: float
    ) -> None:
        upstream = self._own_upstream.register.current
        if upstream is None or upstream.service != order.service:
            return
        if now - self._reported_at < REPORT_PERIOD:
            return
        self._reported_at = now
        tally = self._own_upstream.counts.tally(
            self._own_vm,
            upstream.service,
            upstream.version,
        )
        if decider is None or self._peers.is_own(decider):
            self.record_tally(tally)
        elif self._gossip is not None:
            self._gossip.send_tally(decider, tally)

    def _tallies_of(self, service: ServiceName) -> list[Tally]:
        return [
            received.tally
            for received in self._received_tallies.values()
            if received.tally.service == service
        ]

    async def _report_running(self, move: _TrackedMove) -> None:
        """Report the move as running, unless the store holds a report."""
        while move.is_announced and not await self._write_verdict(
            move,
            Verdict.RUNNING,
        ):
            await trio.sleep(_WRITE_RETRY_PAUSE)
        move.is_confirmed = move.is_announced

    async def _report_verdict(
        self, move: _TrackedMove, verdict: Verdict
    ) -> None:
        """Report a verdict until the store holds this or another one."""
        while not await self._write_verdict(move, verdict):
            await trio.sleep(_WRITE_RETRY_PAUSE)

    async def _write_verdict(
        self, move: _TrackedMove, verdict: Verdict
    ) -> bool:
        """Write a verdict on the condition that nobody has written since.

        Two daemons may both consider themselves the decider, for example after
        one was paused. The first verdict counts; the store rejects the other
        write, and its decider adopts the stored verdict.
        """
        match await self._store.read_verdicts():
            case Success(reported):
                known = reported
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
                self._publish_verdict(settled)
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

    def _publish_verdict(self, settled: SettledOrder) -> None:
        assert self._gossip is not None
        self._gossip.publish_verdict(settled)

    def _is_final(self, order: Order, known: ReportedVerdicts) -> bool:
        """Whether the store holds a verdict on this or a later order."""
        found = known.settled.get(order.service)
        if found is None or found.order < order.id:
            return False
        self._publish_verdict(found)
        if found.order > order.id:
            return True
        return found.verdict is not Verdict.RUNNING
