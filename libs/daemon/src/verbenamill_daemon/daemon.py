"""Joins the libraries into the one process beside an upstream."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

import trio

from verbenamill_calls import (
    CallContext,
    CallServer,
    LocalUpstream,
)
from verbenamill_daemon.admin import (
    AdminContext,
    build_app,
    serve_admin,
)
from verbenamill_daemon.limits import read_limits
from verbenamill_daemon.metrics import Health, Sources, build_registry
from verbenamill_daemon.moving import Moving, is_running
from verbenamill_daemon.settings import Settings
from verbenamill_daemon.settling import AuditWriter, Settler
from verbenamill_mesh import Configuration, Mesh
from verbenamill_model import State
from verbenamill_model.status import Status
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_runtime import Announcement, Clock, Log
from verbenamill_http.addresses import parse_address
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: How often the state of the own upstream is looked at.
WATCH_PERIOD = timedelta(milliseconds=200)
#: Time for the other daemons to hear that this one is leaving. They stop
#: sending within 3 s at the latest; most hear of it at once.
LEAVE_GRACE = timedelta(seconds=1)
READY_POLL = timedelta(milliseconds=20)
#: How long a daemon that has the configuration waits to hear of another one
#: before it takes itself for the only one.
ALONE_LIMIT = timedelta(seconds=2)
#: Time for the last lines of the audit trail to reach the log.
FLUSH_LIMIT = timedelta(seconds=2)


@dataclass
class Daemon:
    """The parts of one daemon, and the order in which they start and stop.

    Made by :func:`build_daemon`.

    :ivar is_open: whether it takes calls.
    """

    settings: Settings
    configuration: Configuration
    mesh: Mesh
    local: LocalUpstream
    server: CallServer
    moving: Moving
    audit: AuditWriter
    is_open: bool = False

    async def run(self, stopping: trio.Event) -> None:
        """Serve until told to stop, then stop without cutting a request.

        :param stopping: set by the signal handler.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._run_mesh)
            await nursery.start(self._run_admin)
            nursery.start_soon(self._open_calls)
            nursery.start_soon(self.moving.run)
            nursery.start_soon(self.audit.run)
            nursery.start_soon(self._watch_upstream)
            nursery.start_soon(self._watch_configuration)
            log(Event.STARTED, id=self.mesh.own_member.id)
            await stopping.wait()
            log(Event.STOPPING, id=self.mesh.own_member.id)
            await self._stop()
            nursery.cancel_scope.cancel()
        log(Event.STOPPED, id=self.mesh.own_member.id)

    def status(self) -> Status:
        """What this daemon runs, for the operators."""
        state = self.configuration.state
        member = self.mesh.own_member
        return Status(
            id=member.id,
            availability_zone=member.availability_zone,
            offset=state.offset,
            version=state.snapshot.version,
            digest=self.configuration.head().digest,
            ready=self.mesh.ready and self.is_open,
            members=len(self.mesh.members()),
            moves=len(self.moving.running()),
        )

    async def _run_mesh(
        self,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        await self.mesh.run(task_status=task_status)

    async def _open_calls(self) -> None:
        # A fresh daemon has no routes and knows no upstream. Open at once,
        # it would answer 404 or "no upstream" to calls that any other one
        # answers; a port that is closed sends its callers there.
        await self._wait_ready()
        address = parse_address(self.settings.listen.calls)
        listeners = await trio.open_tcp_listeners(
            address.port,
            host=address.host,
        )
        self.is_open = True
        self._tell_upstream()
        await self.server.serve(listeners)

    async def _wait_ready(self) -> None:
        while not self.mesh.ready:
            await trio.sleep(READY_POLL.total_seconds())
        with trio.move_on_after(ALONE_LIMIT.total_seconds()):
            while len(self.mesh.members()) == 1:
                await trio.sleep(READY_POLL.total_seconds())

    async def _run_admin(
        self,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        allow_cut = self.settings.test.switches
        context = AdminContext(
            status=self.status,
            state=lambda: self.configuration.state,
            members=self.mesh.members,
            moves=self._describe_moves,
            calls=self.server.stats,
            announce=self._announce,
            registry=build_registry(
                Sources(
                    health=self._health,
                    calls=self.server.stats,
                    mesh=self.mesh.stats,
                ),
            ),
            cut=self.mesh.set_cut_zones if allow_cut else None,
        )
        await serve_admin(
            build_app(context),
            self.settings.listen.admin,
            task_status=task_status,
        )

    def _announce(self, announcement: Announcement) -> None:
        self.local.announce(announcement)
        self._tell_upstream()

    def _tell_upstream(self) -> None:
        upstream = self.local.upstream() if self.is_open else None
        if upstream != self.mesh.own_member.upstream:
            _log_upstream(upstream)
            self.mesh.announce_upstream(upstream)

    async def _watch_upstream(self) -> None:
        while True:
            self._tell_upstream()
            await trio.sleep(WATCH_PERIOD.total_seconds())

    async def _watch_configuration(self) -> None:
        before = self.configuration.state
        while True:
            await self.configuration.wait_beyond(before.offset)
            after = self.configuration.state
            _log_change(before, after)
            before = after

    async def _stop(self) -> None:
        # Others go on choosing this daemon until they hear that it leaves;
        # closed at once, its port would refuse their calls. So it tells
        # them first and serves on until they have heard.
        await self.mesh.leave()
        await trio.sleep(LEAVE_GRACE.total_seconds())
        await self.server.stop()
        await self.audit.flush(FLUSH_LIMIT)

    def _describe_moves(self) -> list[Any]:
        states = self.moving.states()
        return [
            {
                'move': move,
                'state': states.get(move.id),
                'shares': self.moving.shares(move.service),
            }
            for move in self.moving.running()
        ]

    def _health(self) -> Health:
        status = self.status()
        return Health(
            offset=status.offset,
            version=status.version,
            ready=status.ready,
            moves=status.moves,
        )


def _log_upstream(upstream: Upstream | None) -> None:
    if upstream is None:
        return
    match upstream.state:
        case UpstreamState.DRAINING:
            log(Event.UPSTREAM_DRAINING, service=upstream.service)
        case UpstreamState.GONE:
            log(Event.UPSTREAM_GONE, service=upstream.service)
        case state:
            log(
                Event.UPSTREAM_CHANGED,
                service=upstream.service,
                version=upstream.version,
                state=state.value,
            )


def _log_change(before: State, after: State) -> None:
    if after.snapshot.version > before.snapshot.version:
        log(Event.CONFIGURATION_APPLIED, version=after.snapshot.version)
    for line in after.audit:
        if line.offset > before.offset and line.ticket not in before.digests:
            log(
                Event.CONFIGURATION_ACCEPTED,
                ticket=line.ticket,
                offset=line.offset,
            )
    for refusal in after.refusals:
        if refusal.offset > before.offset:
            log(
                Event.CONFIGURATION_REFUSED,
                offset=refusal.offset,
                reason=refusal.reason,
            )
    for verdict in after.verdicts:
        if verdict.offset > before.offset:
            log(
                Event.MOVE_SETTLED,
                move=verdict.move.id,
                service=verdict.move.service,
                text=f'{verdict.kind.value}: {verdict.reason}',
            )


def build_daemon(
    settings: Settings,
    *,
    platform_log: Log,
    clock: Clock,
    random: Random,
) -> Daemon:
    """Make the parts of a daemon from its settings; nothing runs yet."""
    member = Member(
        id=settings.vm.id,
        availability_zone=settings.vm.availability_zone,
        region=settings.vm.region,
        control=settings.listen.told_control,
        calls=settings.listen.told_calls,
        admin=settings.listen.told_admin,
        # A restarted daemon has to win over what the others remember of it.
        # It keeps nothing, so its incarnation comes from the wall clock.
        incarnation=int(clock.now().timestamp() * 1000),
    )
    configuration = Configuration()
    mesh = Mesh(
        member=member,
        listen=settings.listen.control,
        seeds=settings.mesh.seeds,
        clock=clock,
        configuration=configuration,
        log=platform_log,
        random=random,
    )

    audit = AuditWriter(platform_log, random=random)
    moving = Moving(
        member=lambda: mesh.own_member,
        mesh=mesh,
        configuration=configuration,
        settler=Settler(
            platform_log,
            running=lambda record: is_running(configuration, record),
            read_to=lambda: configuration.state.offset,
            random=random,
        ),
        audit=audit,
        clock=clock,
    )
    context = CallContext(
        member=lambda: mesh.own_member,
        snapshot=lambda: configuration.snapshot,
        members=mesh.members,
        shares=moving.shares,
        observe=moving.observe,
        clock=clock,
        random=random,
    )
    limits = read_limits(settings.calls)
    local = LocalUpstream(context, limits)
    return Daemon(
        settings=settings,
        configuration=configuration,
        mesh=mesh,
        local=local,
        server=CallServer(context, local, limits),
        moving=moving,
        audit=audit,
    )
