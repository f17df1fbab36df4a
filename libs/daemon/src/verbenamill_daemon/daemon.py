"""Assembly of the libraries into the daemon process beside an upstream."""

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
from verbenamill_daemon.call_settings import build_call_settings
from verbenamill_daemon.metrics import Health, MetricSources, build_registry
from verbenamill_daemon.move_runner import MoveRunner, is_running
from verbenamill_daemon.settings import Settings
from verbenamill_daemon.settling import AuditWriter, VerdictWriter
from verbenamill_mesh import Configuration, Mesh
from verbenamill_model import State
from verbenamill_model.status import Status
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_runtime import Announcement, Clock, Log
from verbenamill_http.addresses import parse_address
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Interval at which the state of the own upstream is polled.
UPSTREAM_POLL_INTERVAL = timedelta(milliseconds=200)
#: Time for the other daemons to learn that this one is leaving. Most learn it
#: at once, and all stop sending within 3 s.
LEAVE_PROPAGATION_DELAY = timedelta(seconds=1)
READY_POLL_INTERVAL = timedelta(milliseconds=20)
#: Time that a daemon with an up-to-date configuration waits to discover
#: another daemon before it assumes that it is the only one.
PEER_DISCOVERY_TIMEOUT = timedelta(seconds=2)
#: Time for the remaining audit lines to reach the log during a shutdown.
AUDIT_FLUSH_TIMEOUT = timedelta(seconds=2)


@dataclass
class Daemon:
    """The components of a daemon and the order in which they start and stop.

    Created by :func:`build_daemon`.

    :ivar accepts_calls: whether the port for calls is open.
    """

    settings: Settings
    configuration: Configuration
    mesh: Mesh
    local: LocalUpstream
    server: CallServer
    move_runner: MoveRunner
    audit: AuditWriter
    accepts_calls: bool = False

    async def run(self, stopping: trio.Event) -> None:
        """Serve until a stop is requested, then finish the requests and exit.

        :param stopping: set by the signal handler to request the stop.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._run_mesh)
            await nursery.start(self._serve_admin)
            nursery.start_soon(self._serve_calls)
            nursery.start_soon(self.move_runner.run)
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
        """Summarise the state of this daemon for operators."""
        state = self.configuration.state
        member = self.mesh.own_member
        return Status(
            id=member.id,
            availability_zone=member.availability_zone,
            offset=state.offset,
            version=state.snapshot.version,
            digest=self.configuration.head().digest,
            ready=self.mesh.ready and self.accepts_calls,
            members=len(self.mesh.members()),
            moves=len(self.move_runner.running()),
        )

    async def _run_mesh(
        self,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        await self.mesh.run(task_status=task_status)

    async def _serve_calls(self) -> None:
        # A daemon that has just started has no routes and knows no upstream.
        # If it took calls at once, it would answer 404 or "no upstream" to
        # calls that any other daemon can serve. While the port is closed,
        # callers use the other daemons.
        await self._wait_ready()
        address = parse_address(self.settings.listen.calls)
        listeners = await trio.open_tcp_listeners(
            address.port,
            host=address.host,
        )
        self.accepts_calls = True
        self._publish_upstream()
        await self.server.serve(listeners)

    async def _wait_ready(self) -> None:
        while not self.mesh.ready:
            await trio.sleep(READY_POLL_INTERVAL.total_seconds())
        with trio.move_on_after(PEER_DISCOVERY_TIMEOUT.total_seconds()):
            while len(self.mesh.members()) == 1:
                await trio.sleep(READY_POLL_INTERVAL.total_seconds())

    async def _serve_admin(
        self,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        may_cut_links = self.settings.test.switches
        context = AdminContext(
            status=self.status,
            state=lambda: self.configuration.state,
            members=self.mesh.members,
            moves=self._describe_moves,
            calls=self.server.stats,
            announce=self._announce,
            registry=build_registry(
                MetricSources(
                    health=self._health,
                    calls=self.server.stats,
                    mesh=self.mesh.stats,
                ),
            ),
            cut=self.mesh.set_cut_zones if may_cut_links else None,
        )
        await serve_admin(
            build_app(context),
            self.settings.listen.admin,
            task_status=task_status,
        )

    def _announce(self, announcement: Announcement) -> None:
        self.local.announce(announcement)
        self._publish_upstream()

    def _publish_upstream(self) -> None:
        upstream = self.local.upstream() if self.accepts_calls else None
        if upstream != self.mesh.own_member.upstream:
            _log_upstream(upstream)
            self.mesh.announce_upstream(upstream)

    async def _watch_upstream(self) -> None:
        while True:
            self._publish_upstream()
            await trio.sleep(UPSTREAM_POLL_INTERVAL.total_seconds())

    async def _watch_configuration(self) -> None:
        before = self.configuration.state
        while True:
            await self.configuration.wait_beyond(before.offset)
            after = self.configuration.state
            _log_configuration_change(before, after)
            before = after

    async def _stop(self) -> None:
        # The other daemons send calls here until they learn that this one is
        # leaving, and a port that is closed at once would refuse those calls.
        # The daemon therefore announces that it leaves and keeps serving
        # until the others have learned it.
        await self.mesh.leave()
        await trio.sleep(LEAVE_PROPAGATION_DELAY.total_seconds())
        await self.server.stop()
        await self.audit.flush(AUDIT_FLUSH_TIMEOUT)

    def _describe_moves(self) -> list[Any]:
        states = self.move_runner.states()
        return [
            {
                'move': move,
                'state': states.get(move.id),
                'shares': self.move_runner.shares(move.service),
            }
            for move in self.move_runner.running()
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


def _log_configuration_change(before: State, after: State) -> None:
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
    """Create the components of a daemon without starting any of them."""
    member = Member(
        id=settings.vm.id,
        availability_zone=settings.vm.availability_zone,
        region=settings.vm.region,
        control=settings.listen.advertised_control,
        calls=settings.listen.advertised_calls,
        admin=settings.listen.advertised_admin,
        # The record of a restarted daemon has to supersede the one that the
        # others still hold. The daemon persists nothing, so it derives its
        # incarnation from the wall clock.
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
    move_runner = MoveRunner(
        member=lambda: mesh.own_member,
        mesh=mesh,
        configuration=configuration,
        verdict_writer=VerdictWriter(
            platform_log,
            is_running=lambda record: is_running(configuration, record),
            config_offset=lambda: configuration.state.offset,
            random=random,
        ),
        audit=audit,
        clock=clock,
    )
    context = CallContext(
        member=lambda: mesh.own_member,
        snapshot=lambda: configuration.snapshot,
        members=mesh.members,
        shares=move_runner.shares,
        observe=move_runner.observe,
        clock=clock,
        random=random,
    )
    limits = build_call_settings(settings.calls)
    local = LocalUpstream(context, limits)
    return Daemon(
        settings=settings,
        configuration=configuration,
        mesh=mesh,
        local=local,
        server=CallServer(context, local, limits),
        move_runner=move_runner,
        audit=audit,
    )
