"""All of a run: the store, the VMs and the callers."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import trio
from msgspec import Struct

from verbenamill_platform_standins import StoreStandIn
from verbenamill_platform_standins.operators import order_rollout, publish
from verbenamill_soak.callers import SITE, Caller
from verbenamill_soak.nodes import Node
from verbenamill_soak.pipelining import PipeliningCaller
from verbenamill_soak.timeline import Timeline

SERVICE = 'entries'
#: Versions whose routes a configuration has beside the lasting ones.
KEPT = 6
#: Seconds that a move may take.
_WINDOW = 6.0
#: Time for a daemon to start on a busy machine, in seconds.
START_LIMIT = 20.0
_ZONES = ('z1', 'z2', 'z3')


def make_routes(version: int) -> dict[str, bool]:
    """Routes and whether they repeat; a version adds one and drops one."""
    first = max(1, version - KEPT + 1)
    newest = {f'v{kept}': True for kept in range(first, version + 1)}
    return {'lookup': True, 'fee': False} | newest


class Order(Struct, frozen=True):
    """An order to move to a version, and whether that is a bad one."""

    version: str
    is_bad: bool


class Site:
    """Everything that runs, and the switches that troubles use.

    :ivar published: versions and when each was published.
    :ivar orders: by their numbers.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        timeline: Timeline,
        random: Random,
    ) -> None:
        self.timeline = timeline
        self.store = StoreStandIn()
        self.nodes: list[Node] = []
        self.callers: list[Caller] = []
        self.published: dict[int, float] = {}
        self.orders: dict[int, Order] = {}
        self._nursery = nursery
        self._random = random
        self._versions = 1
        self._store_troubles = 0
        self._store_calm_at = float('-inf')

    def get_versions(self) -> list[int]:
        """Versions published so far, the newest last."""
        return list(self.published)

    def is_calm(self, node: Node, since: float) -> bool:
        """Whether no trouble has touched a VM or the store since a moment."""
        if self._store_troubles or self._store_calm_at > since:
            return False
        return node.is_calm(since)

    async def open(self, vms: int, folder: Path) -> None:
        """Start the store and the VMs, and wait until all are ready."""
        await self._nursery.start(self.store.serve)
        self.publish()
        for place in range(vms):
            node = Node(
                f'vm{place}',
                _ZONES[place % len(_ZONES)],
                folder=folder,
                nursery=self._nursery,
                timeline=self.timeline,
            )
            self.nodes.append(node)
            self._nursery.start_soon(node.open, self.store.address)
        if not await self.until(self._are_all_ready, START_LIMIT):
            self.timeline.break_promise('all daemons come up', f'{vms} VMs')

    def begin_traffic(self, callers: int) -> None:
        """Start callers on each VM, and one more that pipelines."""
        for node in self.nodes:
            for place in range(callers + 1):
                kind = PipeliningCaller if place == callers else Caller
                caller = kind(node, place, Random(self._random.random()))
                self.callers.append(caller)
                self._nursery.start_soon(caller.run, self.get_versions)

    async def until(
        self,
        condition: Callable[[], Awaitable[bool]],
        seconds: float,
    ) -> bool:
        """Wait until something holds; false if it does not in time."""
        with trio.move_on_after(seconds):
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
            host=SITE,
            service=SERVICE,
            routes=make_routes(version),
        )
        self.published[version] = trio.current_time()
        self.timeline.tell(f'configuration {version} is published')

    @contextmanager
    def troubled_store(self) -> Iterator[None]:
        """A trouble touches the store meanwhile."""
        self._store_troubles += 1
        try:
            yield
        finally:
            self._store_troubles -= 1
            self._store_calm_at = trio.current_time()

    async def bring_in(self, first: int, *, is_bad: bool) -> None:
        """Bring in a new version on a third of the VMs, and order the move.

        :param first: place of the first of these VMs.
        """
        self._versions += 1
        version = f'v{self._versions}'
        count = max(1, len(self.nodes) // 3)
        for place in range(first, first + count):
            node = self.nodes[place % len(self.nodes)]
            upstream = node.upstream
            if node.is_serving(upstream):
                node.end_upstream(upstream)
                await node.add_upstream(version, fails=is_bad)
        number = order_rollout(self.store, SERVICE, version, window=_WINDOW)
        self.orders[number] = Order(version, is_bad)
        word = 'bad' if is_bad else 'good'
        self.timeline.tell(f'order {number}: move to {version}, {word}')
