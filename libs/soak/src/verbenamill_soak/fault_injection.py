"""Injects faults into a cluster and lifts them."""

import signal
from random import Random

import trio

from verbenamill_platform_standins.operators import OPERATORS_TOPIC
from verbenamill_soak.callers import Caller
from verbenamill_soak.cluster import Cluster
from verbenamill_soak.nodes import Node
from verbenamill_soak.plan import Fault, FaultKind
from verbenamill_soak.relays import LinkMode
from verbenamill_soak.upstreams import (
    DEADLY_PATH,
    DRAIN_TIME_S,
    LONG_SERVICE_TIME_S,
    SERVICE_TIME_S,
)

#: Rollouts of one run; more would leave no version unaffected by a rollout.
_MAX_ORDERS = 3
#: Limits that upstreams announce first.
_LIMITS_PER_SECOND = (10, 5, 2.3, 0)
#: Factor by which the second limit is lower than the first.
_LIMIT_REDUCTION = 3.0
#: Time for which an upstream that announces its leave in responses listens
#: after the end of the time in which it may get requests.
_EXTRA_LISTEN_S = 2.0
#: Kinds after which the store counts as faulty for a settling time.
_STORE_KINDS = frozenset(
    (
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_LOSES,
        FaultKind.STORE_COMPACT,
    ),
)
#: A daemon that is still starting has no requests and no signal handler yet, so
#: SIGTERM itself terminates it.
_EXPECTED_EXIT_CODES = (0, -signal.SIGTERM)


class FaultInjector:
    """Injects the faults of a plan into a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and lift it."""
        cluster = self._cluster
        description = f'{fault.kind.value} for {fault.duration:g} s'
        # These faults affect only upstreams and do not excuse the daemons.
        if fault.kind is FaultKind.DEADLY:
            await self._send_deadly_request(fault, cluster.nodes[fault.vm])
            return
        if fault.kind is FaultKind.CRASH:
            self._crash_upstream(cluster.nodes[fault.vm])
            return
        if fault.kind is FaultKind.LIMIT:
            await self._announce_limits(fault, cluster.nodes[fault.vm])
            return
        if fault.kind is FaultKind.LEAVES_IN_BAND:
            await self._leave_in_band(cluster.nodes[fault.vm])
            return
        if fault.vm >= 0:
            node = cluster.nodes[fault.vm]
            cluster.timeline.add_event(f'{node.name}: {description}')
            with node.fault_active():
                await self._inject_vm_fault(fault, node)
            return
        cluster.timeline.add_event(description)
        if fault.kind in _STORE_KINDS:
            with cluster.store_fault_active():
                await self._inject_store_fault(fault)
        else:
            await self._inject_change(fault)

    async def _inject_change(self, fault: Fault) -> None:
        cluster = self._cluster
        if fault.kind is FaultKind.CONFIGURE:
            cluster.publish()
        elif len(cluster.orders) < _MAX_ORDERS:
            await cluster.start_rollout(
                fault.random_value % len(cluster.nodes),
                is_bad=bool(fault.random_value % 2),
            )

    async def _inject_store_fault(self, fault: Fault) -> None:
        store = self._cluster.store
        match fault.kind:
            case FaultKind.STORE_COMPACT:
                store.compact(OPERATORS_TOPIC)
            case FaultKind.STORE_LOSES:
                store.answers_to_drop += 1 + fault.random_value % 3
            case FaultKind.STORE_DOWN:
                store.is_down = True
                await trio.sleep(fault.duration)
                store.is_down = False
            case _:
                store.is_silent = True
                await trio.sleep(fault.duration)
                store.is_silent = False

    async def _inject_vm_fault(self, fault: Fault, node: Node) -> None:
        match fault.kind:
            case (
                FaultKind.KILL
                | FaultKind.STOP
                | FaultKind.PAUSE
                | FaultKind.CLOCK
            ):
                await self._inject_process_fault(fault, node)
            case FaultKind.RELOAD:
                node.signal_daemon(signal.SIGHUP)
            case FaultKind.DRAIN | FaultKind.UNTOLD | FaultKind.REPLACE:
                await self._replace_upstream(fault, node)
            case FaultKind.CUT_STORE:
                mode = (LinkMode.REFUSED, LinkMode.SILENT, LinkMode.ONE_WAY)[
                    fault.random_value % 3
                ]
                node.store_link.set_mode(mode)
                await trio.sleep(fault.duration)
                node.store_link.set_mode(LinkMode.OPEN)
            case _:
                await self._inject_link_fault(fault, node)

    async def _inject_link_fault(self, fault: Fault, node: Node) -> None:
        link = node.peer_link
        match fault.kind:
            case FaultKind.RESET_PEERS:
                link.reset()
                return
            case FaultKind.RESET_UPSTREAM:
                node.upstream_link.reset()
                return
            case FaultKind.SILENT_UPSTREAM:
                link = node.upstream_link
                link.set_mode(LinkMode.SILENT)
            case FaultKind.CUT_PEERS:
                link.set_mode(
                    LinkMode.SILENT
                    if fault.random_value % 2
                    else LinkMode.REFUSED
                )
            case FaultKind.CUT_ONE_WAY:
                link.set_mode(LinkMode.ONE_WAY)
            case FaultKind.LATE_PEERS:
                await self._hold_peer_link(fault, node)
                return
            case FaultKind.SLOW_PEERS:
                link.delay = 0.05 + fault.random_value % 100 / 1000
        await trio.sleep(fault.duration)
        link.delay = 0
        link.set_mode(LinkMode.OPEN)

    def _crash_upstream(self, node: Node) -> None:
        if node.is_serving(node.upstream):
            self._cluster.timeline.add_event(
                f'{node.name}: its upstream crashes'
            )
            node.upstream.crash()

    async def _send_deadly_request(self, fault: Fault, node: Node) -> None:
        """Send the deadly request once or twice, as the random value says."""
        caller = Caller(
            node, node.next_caller_index(), Random(fault.random_value)
        )
        self._cluster.callers.append(caller)
        for _ in range(1 + fault.random_value % 2):
            record = await caller.call(
                DEADLY_PATH, is_fee=False, is_unique=False
            )
            self._cluster.timeline.add_event(
                f'{node.name}: the deadly request {record.id} got '
                f'{record.outcome.value} {record.status}',
            )

    async def _announce_limits(self, fault: Fault, node: Node) -> None:
        """Let an upstream announce a limit, then a lower one, and then none."""
        upstream = node.upstream
        first_limit = _LIMITS_PER_SECOND[
            fault.random_value % len(_LIMITS_PER_SECOND)
        ]
        for rate in (first_limit, first_limit / _LIMIT_REDUCTION):
            upstream.announce_limit(rate)
            self._cluster.timeline.add_event(
                f'{node.name}: {upstream.name} takes {rate:.2g} a second',
            )
            await trio.sleep(fault.duration / 2)
        upstream.announce_limit(None)
        self._cluster.timeline.add_event(
            f'{node.name}: {upstream.name} has no limit'
        )

    async def _leave_in_band(self, node: Node) -> None:
        """Let an upstream announce its leave in responses, and replace it."""
        upstream = node.upstream
        upstream.signals_leaving = True
        self._cluster.timeline.add_event(
            f'{node.name}: {upstream.name} says it leaves'
        )
        await trio.sleep(DRAIN_TIME_S + _EXTRA_LISTEN_S)
        if node.is_serving(upstream):
            node.end_upstream(upstream)
            await node.add_upstream(
                upstream.version, fails_requests=upstream.fails_requests
            )

    async def _hold_peer_link(self, fault: Fault, node: Node) -> None:
        """Hold the peer link while the upstream takes long per request."""
        node.active_holds += 1
        node.peer_link.set_holding(is_holding=True)
        upstream = node.upstream
        upstream.service_time = LONG_SERVICE_TIME_S
        await trio.sleep(fault.duration)
        node.active_holds -= 1
        if not node.active_holds:
            node.peer_link.set_holding(is_holding=False)
            upstream.service_time = SERVICE_TIME_S

    async def _inject_process_fault(self, fault: Fault, node: Node) -> None:
        if node.lifecycle_lock.locked():
            # Another fault is already stopping or pausing the process; this
            # fault only sends a further signal.
            node.signal_daemon(signal.SIGTERM)
            return
        async with node.lifecycle_lock:
            await self._apply_process_fault(fault, node)
            # A concurrent fault may have sent a terminating signal.
            while node.is_expected_to_end:
                await self._stop_daemon(node)
                await node.start()

    async def _apply_process_fault(self, fault: Fault, node: Node) -> None:
        match fault.kind:
            case FaultKind.PAUSE:
                node.is_paused = True
                node.signal_daemon(signal.SIGSTOP)
                await trio.sleep(fault.duration)
                node.signal_daemon(signal.SIGCONT)
                node.is_paused = False
            case FaultKind.STOP:
                await self._stop_daemon(node)
                await node.start()
            case _:
                node.signal_daemon(signal.SIGKILL)
                await node.wait_for_exit(node.grace)
                await trio.sleep(fault.duration / 2)
                sets_clock_back = fault.kind is FaultKind.CLOCK
                await node.start(
                    clock_lag=fault.duration * 10 * sets_clock_back
                )

    async def _stop_daemon(self, node: Node) -> None:
        node.signal_daemon(signal.SIGTERM)
        code = await node.wait_for_exit(node.grace)
        if code is None:
            self._cluster.timeline.add_violation('ends in time', node.name)
            node.signal_daemon(signal.SIGKILL)
            await node.wait_for_exit(1)
        elif code not in _EXPECTED_EXIT_CODES:
            self._cluster.timeline.add_violation(
                'a planned stop ends well',
                f'{node.name} ended with {code}',
            )

    async def _replace_upstream(self, fault: Fault, node: Node) -> None:
        upstream = node.upstream
        if not node.is_serving(upstream):
            return
        if fault.kind is FaultKind.REPLACE:
            node.end_upstream(upstream)
            await trio.sleep(fault.duration / 3)
        else:
            announces_drain = fault.kind is FaultKind.DRAIN
            await node.remove_upstream(
                upstream, announces_drain=announces_drain
            )
        await node.add_upstream(
            upstream.version, fails_requests=upstream.fails_requests
        )
