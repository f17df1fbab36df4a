"""Joins the parts into the one process beside an upstream."""

import socket
from collections.abc import Callable
from datetime import datetime
from random import Random

import trio
from msgspec import Struct

from verbenamill_http.addresses import parse_address
from verbenamill_http.messages import RequestHead, get_header
from verbenamill_http.server import Handler, HttpServer, ServerLimits
from verbenamill_http.sockets import listen
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.heartbeats import Heartbeat
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.quarantine import Quarantine

from verbenamill_sidecar.announcements import Announcements
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.store_follower import Follower
from verbenamill_sidecar.gossip import Gossip
from verbenamill_sidecar.health import Health
from verbenamill_sidecar.ingress import Ingress
from verbenamill_sidecar.ingress_context import IngressContext
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.rollout_controller import Moving
from verbenamill_sidecar.local_upstream import (
    LocalUpstream,
    LocalUpstreamContext,
)
from verbenamill_sidecar.peer_requests import PeerRequestHandler
from verbenamill_sidecar.peers import Peers
from verbenamill_sidecar.protocol import (
    HeaderNames,
    AnnouncementParser,
    Store,
)
from verbenamill_sidecar.registration import Registrar
from verbenamill_sidecar.settings import Settings
from verbenamill_sidecar.stats import CallStats
from verbenamill_sidecar.suspects import SuspectGate
from verbenamill_telemetry import Event, log

#: Time in which callers and daemons hear that this one leaves, in seconds:
#: callers are told by two questions a second apart.
_LEAVE_TIME = 2.6
#: Kept of the grace time for the end of the process, in seconds.
_END_TIME = 0.5
#: Part of it in which answers go out to callers whose requests are given up.
_LAST_ANSWERS = 0.2
#: Time for the store to hear that this daemon leaves, in seconds.
_FAREWELL = 0.4
_SWEEP = 1.0
#: How long the daemons of a fleet that starts for the first time take to find
#: each other, and how long those wait that do not read the store, in seconds.
_FIRST_WAIT = 2.0
_FIRST_PATIENCE = 4.0
#: Tries to open a port that a process before may still hold, and pause.
_BIND_TRIES = 40
_BIND_PAUSE = 0.05
#: Longest head between daemons: a caller's head and ours.
_HOP_HEAD = 128 * 1024
#: Longest further wait of a daemon, as a share of a block's time, until it lets
#: a blocked request run once more. Each daemon draws its own.
_PATIENCE = 0.5
#: Limits before any configuration is known.
_DEFAULTS = ServerLimits()


class DaemonContext(Struct, frozen=True, kw_only=True):
    """What a daemon needs of its surroundings.

    :param now: wall time, for the incarnation only.
    """

    settings: Settings
    store: Store
    names: HeaderNames
    read_announcement: AnnouncementParser
    now: Callable[[], datetime]
    random: Random


class Daemon:
    """All parts of one daemon, and the order in which they start and stop."""

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        settings = context.settings
        self._table = MemberTable()
        self._peers = Peers(self._table, settings.vm.id)
        self._tree = DistributionTree(self._table, settings.vm.id)
        self._desired_state = DesiredState()
        self._stats = CallStats()
        self._gate = SuspectGate(
            Quarantine(block_jitter=_PATIENCE * context.random.random()),
            wall=lambda: context.now().timestamp(),
        )
        self._own_upstream = LocalUpstream(
            LocalUpstreamContext(
                names=context.names,
                address=settings.upstream_address,
                on_change=self._tell_upstream,
                allows_version_of=self._allows,
                gate=self._gate,
                wall_ms=lambda: int(context.now().timestamp() * 1000),
            ),
        )
        self._moving = Moving(
            own_vm=settings.vm.id,
            own=self._own_upstream,
            store=context.store,
            desired_state=self._desired_state,
            peers=self._peers,
            has_verdicts=lambda: self._desired_state.has_verdicts,
        )
        self._follower = Follower(
            store=context.store,
            desired_state=self._desired_state,
            peers=self._peers,
            random=context.random,
            tree=self._tree,
            notify=lambda kind: self._gossip.notify(kind),
        )
        self._gossip = Gossip(
            own=self._own_record(),
            table=self._table,
            peers=self._peers,
            desired_state=self._desired_state,
            random=context.random,
            recall=self._own_upstream.restore,
            follower=self._follower,
            tree=self._tree,
            counted=self._moving.take_tally,
            gate=self._gate,
        )
        self._gate.publish = self._gossip.tell_suspect
        self._registrar = Registrar(
            context.store,
            self._gossip,
            self._tree,
            self._table,
            context.random,
            is_lost=lambda: self._follower.is_store_lost,
            found_nobody=self._follower.begin,
            quarantine=self._gate.quarantine,
        )
        self._is_stopping = False
        self._servers = self._make_servers()

    async def run(self, stopping: trio.Event) -> None:
        """Serve until told to stop, then stop without cutting a request."""
        settings = self._context.settings
        listeners = await self._open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._gossip.run)
            for server, listener in zip(
                self._servers,
                listeners,
                strict=True,
            ):
                nursery.start_soon(server.serve, listener)
            nursery.start_soon(self._follow)
            nursery.start_soon(self._register)
            nursery.start_soon(self._moving.run, self._gossip)
            nursery.start_soon(self._sweep)
            log(
                Event.STARTED,
                id=settings.vm.id,
                incarnation=self._gossip.own.incarnation,
                zone=settings.vm.availability_zone,
            )
            await stopping.wait()
            log(Event.STOPPING, id=settings.vm.id)
            await self._stop()
            nursery.cancel_scope.cancel()
        await self._context.store.close()
        log(Event.STOPPED, id=settings.vm.id)

    async def _register(self) -> None:
        is_first_start = self._context.settings.start.first
        await self._registrar.run(is_first_start=is_first_start)

    async def _follow(self) -> None:
        if not self._context.settings.start.first:
            await self._follower.run()
            return
        # Nobody calls yet, and nobody has anything to tell.
        self._tree.await_notice(_FIRST_PATIENCE)
        await self._follower.run(patience=_FIRST_WAIT)

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._is_stopping and self._desired_state.table is not None

    def _own_record(self) -> MemberRecord:
        settings = self._context.settings
        return MemberRecord(
            vm=settings.vm.id,
            # A restarted daemon has to win over what the others remember.
            # It keeps nothing, so its incarnation is its time of start.
            incarnation=int(self._context.now().timestamp() * 1000),
            sequence=0,
            availability_zone=settings.vm.availability_zone,
            calls=settings.advertise.daemons or settings.listen.daemons,
            gossip=settings.advertise.gossip or settings.listen.gossip,
        )

    def _make_servers(self) -> tuple[HttpServer, ...]:
        context = self._context
        own = self._gossip.own
        ingress = Ingress(
            IngressContext(
                names=context.names,
                table=lambda: self._desired_state.table,
                shares=self._desired_state.shares,
                peers=self._peers,
                own=self._own_upstream,
                stats=self._stats,
                gate=self._gate,
                origin=context.settings.vm.service,
                sender=f'{own.vm}/{own.incarnation}',
                availability_zone=context.settings.vm.availability_zone,
                random=context.random,
            ),
        )
        peer_requests = PeerRequestHandler(
            self._own_upstream,
            context.names,
            lambda: self._desired_state.known,
        )
        announcements = Announcements(
            self._own_upstream,
            read=context.read_announcement,
            is_known=self._is_known,
            has_met=self._gossip.has_met,
            remember=self._registrar.flush,
        )
        health = Health(is_ready=self.is_ready, render=self._render_metrics)
        self._callers = HttpServer(
            ingress.handle,
            limits=self._caller_limits,
            on_error=_tell_fault,
        )
        self._daemons = HttpServer(
            peer_requests.handle,
            limits=self._daemon_limits,
            on_error=_tell_fault,
        )
        return (
            self._callers,
            self._daemons,
            _make_local_server(announcements.handle),
            _make_local_server(health.handle),
        )

    def _caller_limits(self) -> ServerLimits:
        table = self._desired_state.table
        if table is None:
            return _DEFAULTS
        limits = table.configuration.limits
        return ServerLimits(
            max_head=limits.max_header,
            max_body=limits.max_body,
            head_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _daemon_limits(self) -> ServerLimits:
        # Idle connections are closed by the daemon that opened them, so
        # that a request never meets a connection that is being closed.
        return ServerLimits(
            max_head=_HOP_HEAD,
            max_body=self._caller_limits().max_body,
            idle_timeout=600,
        )

    async def _open(self) -> list[socket.socket]:
        listen_at = self._context.settings.listen
        for tries_left in reversed(range(_BIND_TRIES)):
            try:
                self._gossip.bind(parse_address(listen_at.gossip))
            except OSError:
                if not tries_left:
                    raise
                await trio.sleep(_BIND_PAUSE)
            else:
                break
        return [
            listen(parse_address(address))
            for address in (
                listen_at.callers,
                listen_at.daemons,
                listen_at.announcements,
                listen_at.health,
            )
        ]

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP)
            self._peers.sweep()
            self._own_upstream.sweep()
            self._gate.sweep()

    async def _stop(self) -> None:
        grace = self._context.settings.stop.grace / 1000
        end = trio.current_time() + grace - _END_TIME
        self._is_stopping = True
        self._own_upstream.stop()
        self._gossip.update(upstream=self._upstream_told(), leaving=True)
        for server in self._servers:
            server.is_stopping = True
        # Callers are sent elsewhere once two questions for health have
        # failed; until then they are served.
        await trio.sleep(_LEAVE_TIME)
        with trio.CancelScope(deadline=end):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._registrar.take_leave, _FAREWELL)
                nursery.start_soon(self._finish_callers)
                # The owner refuses all by now, in words that a daemon knows.
                await self._daemons.shut_down(reject_late=False)
        if self._own_upstream.in_flight:
            self._own_upstream.cancel_running()
            await trio.sleep(_LAST_ANSWERS)

    async def _finish_callers(self) -> None:
        """Serve to its end what is in hand, with the calls that it makes."""
        await self._callers.shut_down(
            admit_late=self._is_nested,
            keep_accepting=lambda: self._own_upstream.in_flight > 0,
        )

    def _is_nested(self, head: RequestHead) -> bool:
        """Whether a request is a call of one that the own upstream runs."""
        id = get_header(head.headers, self._context.names.request_id)
        return id is not None and self._own_upstream.find_parent(id) is not None

    def _tell_upstream(self) -> None:
        self._gossip.update(
            upstream=self._upstream_told(),
            leaving=self._is_stopping,
        )
        upstream = self._upstream_told()
        if upstream is not None and upstream.has_left:
            self._registrar.request()

    def _upstream_told(self) -> UpstreamRecord | None:
        return self._own_upstream.register.current

    def _allows(self, upstream: UpstreamRecord) -> bool:
        shares = self._desired_state.shares(upstream.service)
        return shares.allows(upstream.version)

    def _is_known(self, beat: Heartbeat) -> bool:
        """Whether a heartbeat names a service that there is.

        Before any configuration is known, the one of the settings.
        """
        table = self._desired_state.table
        if beat.service == self._context.settings.vm.service:
            return True
        return table is not None and (
            beat.service in table.configuration.services
        )

    def _render_metrics(self) -> bytes:
        # The library takes more memory than all metrics of this daemon, so
        # it is loaded when somebody asks for them.
        from verbenamill_sidecar.metrics import (  # noqa: PLC0415
            Control,
            Gauges,
            render,
        )

        control = Control(self._context.store.calls, self._gossip.traffic)
        return render(self._stats, Gauges(self._read_gauges), control)

    def _read_gauges(self) -> dict[str, tuple[str, float]]:
        from verbenamill_sidecar.metrics import age_of  # noqa: PLC0415

        upstream = self._own_upstream.register.current
        is_up = upstream is not None and upstream.state is UpstreamState.READY
        return {
            'configuration_version': (
                'Version of the configuration in force.',
                self._desired_state.version,
            ),
            'store_read_age_seconds': (
                'Time since the last answer to a read of the store.',
                age_of(self._follower.read_at),
            ),
            'members': ('Daemons known.', len(self._table)),
            'moves': ('Running moves.', len(self._desired_state.running())),
            'upstream_ready': ('Whether the upstream takes work.', is_up),
            'upstream_running': ('Requests at it.', self._own_upstream.running),
            'upstream_waiting': (
                'Requests in the queue.',
                self._own_upstream.waiting,
            ),
            'gossip_received': (
                'Datagrams received.',
                self._gossip.traffic.received,
            ),
            'reads_store': (
                'Whether this daemon reads the store for its zone.',
                self._tree.must_read(),
            ),
            'upstream_limit': (
                'Requests a second that the upstream takes; -1 without limit.',
                -1
                if self._own_upstream.limits.rate is None
                else self._own_upstream.limits.rate,
            ),
            'upstream_limit_sent': (
                'Requests sent to it while it named a limit.',
                self._own_upstream.limits.counts.sent,
            ),
            'upstream_limit_refused': (
                'Requests refused for its limit.',
                self._own_upstream.limits.counts.refused,
            ),
            'upstream_crashes': (
                'Crashes of the upstream since the start.',
                self._own_upstream.crashes.count,
            ),
            'requests_suspected': (
                'Requests under which upstreams crashed, blocked or not.',
                self._gate.quarantine.suspected_count,
            ),
            'requests_blocked': (
                'Requests that are refused for that.',
                len(self._gate.quarantine.blocked),
            ),
            'ready': ('Whether callers may be sent here.', self.is_ready()),
        }


def _make_local_server(handler: Handler) -> HttpServer:
    return HttpServer(
        handler,
        limits=lambda: _DEFAULTS,
        on_error=_tell_fault,
    )


def _tell_fault(error: BaseException) -> None:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    log(Event.INVARIANT_BROKEN, detail=repr(error))
