"""The daemon's part in moves: evidence out, decisions in, steps taken."""

from collections.abc import Callable
from datetime import timedelta

import trio

from verbenamill_daemon.caching import cache_last
from verbenamill_daemon.settling import AuditWriter, Settler
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

#: Time between two reports of an owner, and two steps of a decider.
PERIOD = timedelta(milliseconds=250)


class Moving:
    """Joins evidence, decisions and the mesh for the running moves.

    :param member: this daemon as the others see it.
    """

    def __init__(
        self,
        *,
        member: Callable[[], Member],
        mesh: Mesh,
        configuration: Configuration,
        settler: Settler,
        audit: AuditWriter,
        clock: Clock,
    ) -> None:
        self._member = member
        self._mesh = mesh
        self._configuration = configuration
        self._settler = settler
        self._audit = audit
        self._clock = clock
        me = member()
        self._evidence = EvidenceCollector(
            incarnation=me.incarnation,
            clock=clock,
        )
        self._decider = Decider(
            vm=me.id,
            availability_zone=me.availability_zone,
        )
        self._period = 0
        self._encoded: dict[str, bytes] = {}
        self._states: dict[Offset, MoveState] = {}
        self._find_running = cache_last(_find_running)
        self._find_owners = cache_last(_find_owners)
        mesh.add_topic(MOVES_TOPIC, merge_states)
        mesh.set_handler(REPORT_KIND, self._decider.receive)

    def observe(self, observation: Observation) -> None:
        """Count one call that this owner saw end."""
        self._evidence.observe(observation)

    def shares(self, name: ServiceName) -> Shares:
        """Share of each version in the calls that arrive here."""
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
        """The moves that run, oldest first."""
        return self._find_running(self._configuration.snapshot)

    def states(self) -> dict[Offset, MoveState]:
        """What is known of each move, by its id.

        Every call asks for it, so it is decoded again only after a change.
        """
        encoded = self._mesh.entries(MOVES_TOPIC)
        if encoded != self._encoded:
            self._encoded = dict(encoded)
            self._states = decode_move_states(encoded)
        return self._states

    async def run(self) -> None:
        """Report and decide until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._report()
                self._decide(nursery)
                self._forget()
                await trio.sleep(PERIOD.total_seconds())

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
        owners = self._owners()
        self._period += 1
        if not is_report_due(member.id, zone, owners, period=self._period):
            return
        decider = choose_decider(service.move, zone, owners)
        report = self._evidence.report()
        if decider is not None and report is not None:
            self._mesh.send(decider, REPORT_KIND, report)

    def _owners(self) -> dict[VmId, Member]:
        """Daemons with an upstream of the same service as this one."""
        upstream = self._member().upstream
        if upstream is None:
            return {}
        return self._find_owners(self._mesh.members(), upstream.service)

    def _decide(self, nursery: trio.Nursery) -> None:
        actions = self._decider.step(
            snapshot=self._configuration.snapshot,
            states=self.states(),
            members=self._owners(),
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
                    nursery.start_soon(self._settler.settle, record)
                case WriteAuditLine():
                    self._note(action)

    def _log_veto(self, move: Offset, state: MoveState) -> None:
        if not state.veto:
            return
        for known in self.running():
            if known.id == move:
                log(
                    Event.MOVE_VETOED,
                    move=move,
                    service=known.service,
                    text=state.reason,
                )

    def _note(self, note: WriteAuditLine) -> None:
        log(
            Event.MOVE_STAGE,
            move=note.move,
            service=note.service,
            text=note.text,
        )
        self._audit.add(
            AuditLine(
                at=note.at,
                vm=self._member().id,
                move=note.move,
                service=note.service,
                text=note.text,
            ),
        )

    def _forget(self) -> None:
        # A state is kept until its verdict is in this daemon's own
        # configuration. Dropped sooner, a veto would be forgotten by a
        # daemon that still runs the move, and the bad version would get
        # traffic again. An id newer than the configuration is kept too: its
        # ticket is still on the way.
        offset = self._configuration.state.offset
        running = {move_key(move.id) for move in self.running()}
        self._mesh.drop(
            MOVES_TOPIC,
            lambda key: int(key) > offset or key in running,
        )


def is_running(configuration: Configuration, record: VerdictRecord) -> bool:
    """Whether the move of a verdict still waits for one."""
    known = configuration.snapshot.services.get(record.service)
    return (
        known is not None
        and known.move is not None
        and known.move.id == record.move
    )


def _find_running(snapshot: Snapshot) -> tuple[Move, ...]:
    services = snapshot.services.values()
    moves = (known.move for known in services if known.move is not None)
    return tuple(sorted(moves, key=_move_id))


def _find_owners(
    members: dict[VmId, Member],
    service: ServiceName,
) -> dict[VmId, Member]:
    return {
        name: member
        for name, member in members.items()
        if member.upstream is not None and member.upstream.service == service
    }


def _move_id(move: Move) -> Offset:
    return move.id
