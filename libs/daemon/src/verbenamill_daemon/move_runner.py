"""The daemon's part in moves: it reports evidence and makes decisions."""

from collections.abc import Callable
from datetime import timedelta

import trio

from verbenamill_daemon.caching import cache_last
from verbenamill_daemon.settling import AuditWriter, VerdictWriter
from verbenamill_mesh import Configuration, Mesh
from verbenamill_model import Move, Snapshot, VerdictRecord
from verbenamill_model.traffic import Member, Observation, Shares
from verbenamill_model.typing import Offset, ServiceName, VmId
from verbenamill_moves import (
    MOVES_TOPIC,
    REPORT_KIND,
    AppendVerdict,
    Decider,
    EvidenceCollector,
    MoveState,
    PublishState,
    SendReport,
    WriteAuditLine,
    choose_decider,
    decode_move_states,
    encode_move_state,
    is_report_due,
    merge_states,
    move_key,
    split_traffic,
)
from verbenamill_runtime import Clock
from verbenamill_runtime.streams import AuditLine
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Interval between the reports of an owner and the steps of a decider.
STEP_INTERVAL = timedelta(milliseconds=250)


class MoveRunner:
    """Connects evidence, decisions and the mesh for the running moves.

    :param member: returns the membership record of this daemon.
    """

    def __init__(
        self,
        *,
        member: Callable[[], Member],
        mesh: Mesh,
        configuration: Configuration,
        verdict_writer: VerdictWriter,
        audit: AuditWriter,
        clock: Clock,
    ) -> None:
        self._member = member
        self._mesh = mesh
        self._configuration = configuration
        self._verdict_writer = verdict_writer
        self._audit = audit
        self._clock = clock
        own_member = member()
        self._evidence_collector = EvidenceCollector(
            incarnation=own_member.incarnation,
            clock=clock,
        )
        self._decider = Decider(
            vm=own_member.id,
            availability_zone=own_member.availability_zone,
        )
        self._report_period = 0
        self._encoded_states: dict[str, bytes] = {}
        self._states: dict[Offset, MoveState] = {}
        self._find_running_moves = cache_last(_find_running_moves)
        self._find_service_owners = cache_last(_find_service_owners)
        mesh.add_topic(MOVES_TOPIC, merge_states)
        mesh.set_handler(REPORT_KIND, self._decider.receive)

    def observe(self, observation: Observation) -> None:
        """Count a finished call to the own upstream as evidence."""
        self._evidence_collector.observe(observation)

    def shares(self, name: ServiceName) -> Shares:
        """Shares of a service's versions in the calls that this daemon gets."""
        service = self._configuration.snapshot.services[name]
        if service.move is None:
            return {service.version: 1}
        return split_traffic(
            service,
            self.states().get(service.move.id),
            availability_zone=self._member().availability_zone,
            now=self._clock.now(),
        )

    def running(self) -> tuple[Move, ...]:
        """Running moves, ordered from oldest to newest."""
        return self._find_running_moves(self._configuration.snapshot)

    def states(self) -> dict[Offset, MoveState]:
        """Known states of the moves, by move id.

        Every call reads these states, so they are decoded only when the
        entries of the mesh have changed.
        """
        encoded = self._mesh.entries(MOVES_TOPIC)
        if encoded != self._encoded_states:
            self._encoded_states = dict(encoded)
            self._states = decode_move_states(encoded)
        return self._states

    async def run(self) -> None:
        """Send reports and make decisions until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._report()
                self._decide(nursery)
                self._drop_settled_states()
                await trio.sleep(STEP_INTERVAL.total_seconds())

    def _report(self) -> None:
        member = self._member()
        if member.upstream is None:
            return
        service = self._configuration.snapshot.services.get(
            member.upstream.service,
        )
        if service is None or service.move is None:
            return
        zone = member.availability_zone
        owners = self._service_owners()
        self._report_period += 1
        if not is_report_due(
            member.id,
            zone,
            owners,
            period=self._report_period,
        ):
            return
        decider = choose_decider(service.move, zone, owners)
        report = self._evidence_collector.report()
        if decider is not None and report is not None:
            self._mesh.send(decider, REPORT_KIND, report)

    def _service_owners(self) -> dict[VmId, Member]:
        """Daemons whose upstream serves the same service as the own one."""
        upstream = self._member().upstream
        if upstream is None:
            return {}
        return self._find_service_owners(self._mesh.members(), upstream.service)

    def _decide(self, nursery: trio.Nursery) -> None:
        actions = self._decider.step(
            snapshot=self._configuration.snapshot,
            states=self.states(),
            members=self._service_owners(),
            now=self._clock.now(),
        )
        for action in actions:
            match action:
                case PublishState(move=move, state=state):
                    self._log_veto(move, state)
                    body = encode_move_state(state)
                    self._mesh.put(MOVES_TOPIC, move_key(move), body)
                case SendReport(recipient=recipient, body=report):
                    self._mesh.send(recipient, REPORT_KIND, report)
                case AppendVerdict(record=record):
                    nursery.start_soon(
                        self._verdict_writer.append_verdict,
                        record,
                    )
                case WriteAuditLine():
                    self._record_audit_line(action)

    def _log_veto(self, move: Offset, state: MoveState) -> None:
        if not state.veto:
            return
        for running_move in self.running():
            if running_move.id == move:
                log(
                    Event.MOVE_VETOED,
                    move=move,
                    service=running_move.service,
                    text=state.reason,
                )

    def _record_audit_line(self, audit_line: WriteAuditLine) -> None:
        log(
            Event.MOVE_STAGE,
            move=audit_line.move,
            service=audit_line.service,
            text=audit_line.text,
        )
        self._audit.add(
            AuditLine(
                at=audit_line.at,
                vm=self._member().id,
                move=audit_line.move,
                service=audit_line.service,
                text=audit_line.text,
            ),
        )

    def _drop_settled_states(self) -> None:
        # The state of a move is kept until the move's verdict is part of
        # this daemon's own configuration. If it were dropped earlier, this
        # daemon would lose a veto while it still runs the move and would
        # send traffic to the bad version again. A state whose id is above the
        # offset of the configuration is kept too, because the ticket that
        # began the move has not arrived yet.
        offset = self._configuration.state.offset
        running = {move_key(move.id) for move in self.running()}
        self._mesh.drop(
            MOVES_TOPIC,
            lambda key: int(key) > offset or key in running,
        )


def is_running(configuration: Configuration, record: VerdictRecord) -> bool:
    """Whether the configuration still lists a verdict's move as running."""
    service = configuration.snapshot.services.get(record.service)
    return (
        service is not None
        and service.move is not None
        and service.move.id == record.move
    )


def _find_running_moves(snapshot: Snapshot) -> tuple[Move, ...]:
    services = snapshot.services.values()
    moves = (service.move for service in services if service.move is not None)
    return tuple(sorted(moves, key=_get_move_id))


def _find_service_owners(
    members: dict[VmId, Member],
    service: ServiceName,
) -> dict[VmId, Member]:
    return {
        name: member
        for name, member in members.items()
        if member.upstream is not None and member.upstream.service == service
    }


def _get_move_id(move: Move) -> Offset:
    return move.id
