"""Assembles the daemon beside an upstream, and starts and stops its parts."""

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
from verbenamill_http.timers import sleep_coarsely
from verbenamill_model.typing import (
    AvailabilityZone,
    ServiceName,
    UpstreamState,
    VmId,
)
from verbenamill_policy.heartbeats import Heartbeat
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.process_lifetime import ProcessLifetime
from verbenamill_policy.quarantine import Quarantine
from verbenamill_policy.routes import ServiceProperties
from verbenamill_sidecar.health import Health
from verbenamill_sidecar.membership.gossip import Gossip
from verbenamill_sidecar.membership.peers import Peers
from verbenamill_sidecar.membership.registration import Registrar
from verbenamill_sidecar.protocol import (
    AnnouncementParser,
    HeaderNames,
    Store,
)
from verbenamill_sidecar.quarantine.suspects import SuspectGate
from verbenamill_sidecar.quotas.gate import QuotaGate, QuotaGateContext
from verbenamill_sidecar.routing.ingress import Ingress
from verbenamill_sidecar.routing.ingress_context import IngressContext
from verbenamill_sidecar.routing.peer_requests import PeerRequestHandler
from verbenamill_sidecar.settings import Settings
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    StateSnapshot,
)
from verbenamill_sidecar.state.distribution import DistributionTree
from verbenamill_sidecar.state.own_zone import OwnZone
from verbenamill_sidecar.state.rollout_controller import RolloutController
from verbenamill_sidecar.state.snapshot_client import fetch_snapshot
from verbenamill_sidecar.state.state_fetcher import FETCH_TIMEOUT
from verbenamill_sidecar.state.store_follower import Follower
from verbenamill_sidecar.stats import CallStats
from verbenamill_sidecar.upstream.announcements import Announcements
from verbenamill_sidecar.upstream.local_upstream import (
    LocalUpstream,
    LocalUpstreamContext,
)
from verbenamill_telemetry import Event, describe_error, log

#: Longest time for saving in the store that this daemon leaves, in seconds.
_LEAVING_SAVE_TIMEOUT = 0.4
#: Interval between removals of expired state, in seconds.
_SWEEP_PERIOD = 1.0
#: Time that the daemons of a fleet need to find each other at its first start,
#: in seconds.
_FIRST_START_PEER_WAIT = 2.0
#: Time for which a daemon that is no reader waits for a first notice then, in
#: seconds.
_FIRST_START_NOTICE_WAIT = 4.0
#: Attempts to open a port that the previous process may still hold.
_BIND_TRIES = 40
#: Pause between these attempts, in seconds.
_BIND_PAUSE = 0.05
#: Longest head of a request between daemons: the head of the caller's request
#: and the headers that daemons add.
_MAX_HOP_HEAD_BYTES = 128 * 1024
#: Longest random delay before a daemon lets a blocked request run once more,
#: as a share of the duration of the block. Each daemon draws its own.
_MAX_BLOCK_JITTER = 0.5
#: Limits until a configuration is known.
_DEFAULT_LIMITS = ServerLimits()
#: Limits of the ports for announcements and for health checks.
_LOCAL_LIMITS = ServerLimits(
    max_head=16 * 1024, max_body=64 * 1024, request_timeout=10
)


class DaemonContext(Struct, frozen=True, kw_only=True):
    """Dependencies of a daemon.

    :param now: returns the wall-clock time.
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
        self._lifetime = ProcessLifetime(settings.stop.grace)
        self._table = MemberTable()
        self._peers = Peers(
            self._table,
            settings.vm.id,
            evacuated_zones=self._evacuated_zones,
        )
        self._tree = DistributionTree(self._table, settings.vm.id)
        self._desired_state = DesiredState()
        self._stats = CallStats()
        self._gate = SuspectGate(
            Quarantine(
                block_jitter=_MAX_BLOCK_JITTER * context.random.random()
            ),
            wall=lambda: context.now().timestamp(),
        )
        self._own_zone = OwnZone(
            settings.vm.availability_zone,
            self._evacuated_zones,
            on_return=lambda: self._own_upstream.assume_cold(),
        )
        self._own_upstream = LocalUpstream(
            LocalUpstreamContext(
                names=context.names,
                address=settings.upstream_address,
                on_change=self._publish_upstream,
                allows_version_of=self._allows,
                is_evacuated=self._own_zone.refuses_requests,
                properties_of=self._properties_of,
                cold_start_margin=settings.cold_start.margin,
                gate=self._gate,
                wall_ms=lambda: int(context.now().timestamp() * 1000),
            ),
        )
        self._rollout_controller = RolloutController(
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
            fetch=self._fetch_state,
            random=context.random,
            tree=self._tree,
            notify=lambda kind: self._gossip.notify(kind),
        )
        self._gossip = Gossip(
            own=self._make_own_record(),
            table=self._table,
            peers=self._peers,
            desired_state=self._desired_state,
            random=context.random,
            restore_upstream=self._own_upstream.restore,
            follower=self._follower,
            tree=self._tree,
            on_tally=self._rollout_controller.record_tally,
            gate=self._gate,
            own_load=lambda: self._own_upstream.load,
            own_pace=lambda: self._own_upstream.pace,
            on_quota_message=lambda message: self._quotas.handle(message),
        )
        self._gate.publish = self._gossip.publish_suspect
        self._registrar = Registrar(
            context.store,
            self._gossip,
            self._tree,
            self._table,
            context.random,
            is_store_lost=lambda: self._follower.is_store_lost,
            on_no_members=self._follower.start_reading,
            quarantine=self._gate.quarantine,
        )
        self._quotas = QuotaGate(
            QuotaGateContext(
                own=self._gossip.own,
                table=lambda: self._desired_state.table,
                members=self._table,
                knows_members=self._knows_members,
                is_suspect=self._peers.is_suspect,
                send=self._gossip.send_quota_message,
                margin=settings.quota.margin,
                random=context.random,
            ),
        )
        self._servers = self._make_servers()

    async def run(self, stopping: trio.Event) -> None:
        """Serve until told to stop, then stop without aborting a request."""
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
            nursery.start_soon(self._rollout_controller.run, self._gossip)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._own_upstream.probe.run)
            nursery.start_soon(self._quotas.run)
            log(
                Event.STARTED,
                id=settings.vm.id,
                incarnation=self._gossip.own.incarnation,
                zone=settings.vm.availability_zone,
            )
            await stopping.wait()
            log(
                Event.STOPPING,
                id=settings.vm.id,
                grace_s=settings.stop.grace.total_seconds(),
            )
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
        # At the first start there are no callers yet, and no daemon has any
        # state to send.
        self._tree.await_notice(_FIRST_START_NOTICE_WAIT)
        await self._follower.run(patience=_FIRST_START_PEER_WAIT)

    def is_ready(self) -> bool:
        """Whether callers may send requests to this daemon."""
        return (
            not self._lifetime.is_stopping
            and self._desired_state.table is not None
        )

    def _make_own_record(self) -> MemberRecord:
        settings = self._context.settings
        return MemberRecord(
            vm=settings.vm.id,
            # The record after a restart must win over the one that other
            # daemons hold. No state survives a restart, so the incarnation is
            # the time of the start.
            incarnation=int(self._context.now().timestamp() * 1000),
            sequence=0,
            availability_zone=settings.vm.availability_zone,
            calls=settings.advertise.daemons or settings.listen.daemons,
            gossip=settings.advertise.gossip or settings.listen.gossip,
        )

    def _make_servers(self) -> tuple[HttpServer, ...]:
        context = self._context
        own = self._gossip.own
        self._ingress = Ingress(
            IngressContext(
                lifetime=self._lifetime,
                retry_ratio=context.settings.retries.ratio,
                names=context.names,
                table=lambda: self._desired_state.table,
                shares=self._desired_state.shares,
                peers=self._peers,
                own=self._own_upstream,
                stats=self._stats,
                gate=self._gate,
                quotas=self._quotas,
                origin=context.settings.vm.service,
                sender=f'{own.vm}/{own.incarnation}',
                stamp=lambda: self._desired_state.stamp,
                record_stamp=self._gossip.record_stamp,
                availability_zone=context.settings.vm.availability_zone,
                random=context.random,
                load_probes=self._gossip.load_probes,
                regions=context.settings.regions.by_zone,
            ),
        )
        peer_requests = PeerRequestHandler(
            self._own_upstream,
            context.names,
            self._desired_state,
            self._gossip.record_stamp,
        )
        self._announcements = Announcements(
            self._own_upstream,
            parse=context.read_announcement,
            is_known=self._is_known,
            peer_state_received=self._gossip.peer_state_received,
            save=self._registrar.flush,
        )
        health = Health(is_ready=self.is_ready, render=self._render_metrics)
        self._caller_server = HttpServer(
            self._ingress.handle,
            limits=self._caller_limits,
            on_error=_log_fault,
        )
        self._daemon_server = HttpServer(
            peer_requests.handle,
            limits=self._daemon_limits,
            on_error=_log_fault,
        )
        return (
            self._caller_server,
            self._daemon_server,
            _make_local_server(self._announcements.handle),
            _make_local_server(health.handle),
        )

    def _caller_limits(self) -> ServerLimits:
        table = self._desired_state.table
        if table is None:
            return _DEFAULT_LIMITS
        limits = table.configuration.limits
        return ServerLimits(
            max_head=limits.max_header,
            max_body=limits.max_body,
            head_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _daemon_limits(self) -> ServerLimits:
        # The daemon that opened a connection closes it when idle. This side
        # waits longer, so that no request meets a connection being closed.
        return ServerLimits(
            max_head=_MAX_HOP_HEAD_BYTES,
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
            await sleep_coarsely(_SWEEP_PERIOD)
            self._peers.sweep()
            self._own_zone.refresh()
            self._own_upstream.sweep()
            self._gate.sweep()
            self._quotas.refresh()

    async def _stop(self) -> None:
        lifetime = self._lifetime
        lifetime.begin_stop(trio.current_time())
        self._own_upstream.stop()
        self._gossip.update_own(upstream=self._current_upstream(), leaving=True)
        self._quotas.leave()
        for server in self._servers:
            server.is_stopping = True
        # Callers are sent elsewhere once two health checks have failed. Until
        # then this daemon serves them.
        await trio.sleep_until(lifetime.notice_ends_at)
        with trio.CancelScope(deadline=lifetime.work_ends_at):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._registrar.save_before_exit, _LEAVING_SAVE_TIMEOUT
                )
                nursery.start_soon(self._finish_callers)
                # The owner refuses every request by now, with an outcome that
                # other daemons understand.
                await self._daemon_server.shut_down(reject_late=False)
        if self._own_upstream.in_flight or self._ingress.is_active:
            self._own_upstream.exchange.cancel_running()
            self._ingress.give_up_active()
            await trio.sleep_until(lifetime.answers_end_at)

    async def _finish_callers(self) -> None:
        """Finish the running requests and the nested calls that they make."""
        await self._caller_server.shut_down(
            admit_late=self._is_nested,
            keep_accepting=lambda: self._own_upstream.in_flight > 0,
        )

    def _is_nested(self, head: RequestHead) -> bool:
        """Whether a request is made by one that the local upstream runs."""
        id = get_header(head.headers, self._context.names.request_id)
        return (
            id is not None
            and self._own_upstream.exchange.find_parent(id) is not None
        )

    def _knows_members(self) -> bool:
        """Whether the number of daemons in the fleet is known."""
        return self._registrar.has_read_members or self._gossip.knows_peers

    def _publish_upstream(self) -> None:
        self._gossip.update_own(
            upstream=self._current_upstream(),
            leaving=self._lifetime.is_stopping,
        )
        upstream = self._current_upstream()
        if upstream is not None and upstream.has_left:
            self._registrar.request_write()

    def _current_upstream(self) -> UpstreamRecord | None:
        return self._own_upstream.register.current

    def _allows(self, upstream: UpstreamRecord) -> bool:
        shares = self._desired_state.shares(upstream.service)
        return shares.allows(upstream.version)

    async def _fetch_state(self, vm: VmId) -> StateSnapshot | None:
        """Fetch the state of another daemon; ``None`` if that fails."""
        peer = self._peers.get(vm)
        if peer is None:
            return None
        return await fetch_snapshot(peer.pool, connect_timeout=FETCH_TIMEOUT)

    def _evacuated_zones(self) -> frozenset[AvailabilityZone]:
        return self._desired_state.evacuated_zones

    def _properties_of(self, service: ServiceName) -> ServiceProperties:
        table = self._desired_state.table
        if table is None:
            return ServiceProperties()
        return table.configuration.properties_of(service)

    def _is_known(self, heartbeat: Heartbeat) -> bool:
        """Whether the service of a heartbeat is configured.

        The service that the settings name is always accepted, also before any
        configuration is known.
        """
        table = self._desired_state.table
        if heartbeat.service == self._context.settings.vm.service:
            return True
        return table is not None and (
            heartbeat.service in table.configuration.services
        )

    def _render_metrics(self) -> bytes:
        # The metrics library takes more memory than all metrics of the daemon,
        # so it is imported only when metrics are requested.
        from verbenamill_sidecar.metrics import (  # noqa: PLC0415
            CoordinationCounters,
            Gauges,
            render_metrics,
        )

        coordination = CoordinationCounters(
            self._context.store.calls, self._gossip.traffic
        )
        return render_metrics(
            self._stats,
            Gauges(self._read_gauges),
            coordination,
            self._quotas.count_verdicts(),
        )

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
                age_of(self._follower.last_read_at),
            ),
            'members': ('Daemons known.', len(self._table)),
            'evacuated_zones': (
                'Zones whose upstreams get no requests.',
                len(self._evacuated_zones()),
            ),
            'load_probes': (
                'Requests for which owners were asked for their load.',
                self._gossip.load_probes.count,
            ),
            'upstream_probes': (
                'Health checks sent to find out whether the upstream is cold.',
                self._own_upstream.probe.count,
            ),
            'moves': (
                'Running moves.',
                len(self._desired_state.running_orders()),
            ),
            'upstream_ready': ('Whether the upstream takes work.', is_up),
            'upstream_unsaved_shutdowns': (
                'Shutdowns of it that the store did not hold in time.',
                self._announcements.unsaved_shutdowns,
            ),
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
                self._own_upstream.exchange.crashes.count,
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
            'upstream_urgent_runs': (
                'Requests at it that may hold all of its slots.',
                self._own_upstream.urgent_runs,
            ),
            'upstream_reserved_slots': (
                'Slots reserved for urgent requests; a fraction is of time.',
                self._own_upstream.reserved_slots,
            ),
        }


def _make_local_server(handler: Handler) -> HttpServer:
    return HttpServer(
        handler,
        limits=lambda: _LOCAL_LIMITS,
        on_error=_log_fault,
    )


def _log_fault(error: BaseException) -> None:
    log(Event.INVARIANT_BROKEN, detail=describe_error(error))
