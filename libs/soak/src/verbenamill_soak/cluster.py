"""The cluster of a run: the store, the VMs and the callers."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import trio
from msgspec import Struct

from verbenamill_platform_standins import StoreStandIn
from verbenamill_platform_standins.operators import order_rollout, publish
from verbenamill_soak.callers import (
    GUEST,
    MEMBER,
    MEMBER_KEY,
    SERVICE_HOST,
    Caller,
    GuestCaller,
    make_guest_key,
)
from verbenamill_soak.nodes import USUAL_GRACE_S, Node
from verbenamill_soak.pipelining import PipeliningCaller
from verbenamill_soak.timeline import Timeline

SERVICE = 'entries'
#: Number of versions whose routes a configuration has besides the permanent
#: routes.
ROUTE_VERSIONS_KEPT = 6
#: Number of versions that have the key that one of them brings to guests.
GUEST_KEY_VERSIONS = 1
#: Time that a rollout may take.
_ROLLOUT_WINDOW_S = 6.0
#: Time for a daemon to start on a busy machine.
START_TIMEOUT_S = 20.0
_ZONES = ('z1', 'z2', 'z3')


def make_routes(version: int) -> dict[str, bool]:
    """Return routes and their idempotence.

    Each version adds one route and removes one.
    """
    first_version = max(1, version - ROUTE_VERSIONS_KEPT + 1)
    newest = {
        f'v{kept_version}': True
        for kept_version in range(first_version, version + 1)
    }
    return {'lookup': True, 'fee': False} | newest


def make_organisations(version: int) -> dict[str, list[str]]:
    """Return the organisations and their keys.

    Each version adds one key for guests and revokes one.
    """
    first_version = max(1, version - GUEST_KEY_VERSIONS + 1)
    guest_keys = map(make_guest_key, range(first_version, version + 1))
    return {MEMBER: [MEMBER_KEY], GUEST: list(guest_keys)}


class RolloutOrder(Struct, frozen=True):
    """An order to roll out a version, and whether that version fails."""

    version: str
    is_bad: bool


class Cluster:
    """The components of a run, as the fault injector controls them.

    :ivar published: configuration versions and their publication times.
    :ivar orders: rollout orders by their numbers.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        timeline: Timeline,
        random: Random,
        *,
        grace: int = USUAL_GRACE_S,
    ) -> None:
        self.timeline = timeline
        self.store = StoreStandIn()
        self.nodes: list[Node] = []
        self.callers: list[Caller] = []
        self.published: dict[int, float] = {}
        self.orders: dict[int, RolloutOrder] = {}
        self._nursery = nursery
        self._random = random
        self._grace = grace
        self._upstream_versions = 1
        self._active_store_faults = 0
        self._last_store_fault_ended_at = float('-inf')

    def get_versions(self) -> list[int]:
        """Return the published configuration versions, the newest last."""
        return list(self.published)

    def is_fault_free(self, node: Node, since: float) -> bool:
        """Return whether a VM and the store had no fault since a time."""
        if self._active_store_faults or self._last_store_fault_ended_at > since:
            return False
        return node.is_fault_free(since)

    async def open(self, vms: int, folder: Path) -> None:
        """Start the store and the VMs, and wait until all are ready."""
        await self._nursery.start(self.store.serve)
        self.publish()
        for index in range(vms):
            node = Node(
                f'vm{index}',
                _ZONES[index % len(_ZONES)],
                folder=folder,
                nursery=self._nursery,
                timeline=self.timeline,
                grace=self._grace,
            )
            self.nodes.append(node)
            self._nursery.start_soon(node.open, self.store.address)
        if not await self.wait_until(self._are_all_ready, START_TIMEOUT_S):
            self.timeline.add_violation('all daemons come up', f'{vms} VMs')

    def start_callers(self, callers: int) -> None:
        """Start callers on each VM.

        One more pipelines requests, and another one is a guest.
        """
        for node in self.nodes:
            for index in range(callers + 1):
                caller_class = PipeliningCaller if index == callers else Caller
                caller = caller_class(
                    node, index, Random(self._random.random())
                )
                self._start(caller)
            self._start(GuestCaller(node, Random(f'guest {node.name}')))

    def _start(self, caller: Caller) -> None:
        self.callers.append(caller)
        self._nursery.start_soon(caller.run, self.get_versions)

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout: float,
    ) -> bool:
        """Wait until a condition holds; return whether it did in time."""
        with trio.move_on_after(timeout):
            while not await condition():
                await trio.sleep(0.1)
            return True
        return False

    async def _are_all_ready(self) -> bool:
        for node in self.nodes:
            if not await node.is_ready():
                return False
        return True

    def publish(self) -> None:
        """Publish the next configuration."""
        version = len(self.published) + 1
        publish(
            self.store,
            version,
            host=SERVICE_HOST,
            service=SERVICE,
            routes=make_routes(version),
            organisations=make_organisations(version),
        )
        self.published[version] = trio.current_time()
        self.timeline.add_event(f'configuration {version} is published')

    @contextmanager
    def store_fault_active(self) -> Iterator[None]:
        """Mark a store fault as active within the context."""
        self._active_store_faults += 1
        try:
            yield
        finally:
            self._active_store_faults -= 1
            self._last_store_fault_ended_at = trio.current_time()

    async def start_rollout(self, first_index: int, *, is_bad: bool) -> None:
        """Start a new version on a third of the VMs and order its rollout.

        :param first_index: index of the first of these VMs.
        """
        self._upstream_versions += 1
        version = f'v{self._upstream_versions}'
        count = max(1, len(self.nodes) // 3)
        for index in range(first_index, first_index + count):
            node = self.nodes[index % len(self.nodes)]
            upstream = node.upstream
            if node.is_serving(upstream):
                node.end_upstream(upstream)
                await node.add_upstream(version, fails_requests=is_bad)
        order_number = order_rollout(
            self.store, SERVICE, version, window=_ROLLOUT_WINDOW_S
        )
        self.orders[order_number] = RolloutOrder(version, is_bad)
        quality = 'bad' if is_bad else 'good'
        self.timeline.add_event(
            f'order {order_number}: move to {version}, {quality}'
        )
