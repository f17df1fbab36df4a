"""All of a run: the store, the VMs, the callers, and what happens to them."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import trio
from msgspec import Struct

from verbenamill_platform_standins import StoreStandIn
from verbenamill_platform_standins.operators import (
    OPERATORS_TOPIC,
    order,
    publish,
)
from verbenamill_soak.callers import SITE, Caller
from verbenamill_soak.nodes import GRACE, Node
from verbenamill_soak.plan import Kind, Trouble
from verbenamill_soak.relays import Way
from verbenamill_soak.timeline import Timeline

SERVICE = 'entries'
#: Versions whose routes a configuration has beside the lasting ones.
KEPT = 6
#: Seconds that a move may take.
_WINDOW = 6.0
#: Time for a daemon to start on a busy machine, in seconds.
START_LIMIT = 20.0
#: Kinds after which the store needs time to be taken as sound again.
_STORE_KINDS = frozenset(
    (
        Kind.STORE_DOWN,
        Kind.STORE_SILENT,
        Kind.STORE_LOSES,
        Kind.STORE_COMPACT,
    ),
)
#: One that had not come up yet has nothing in hand and no handler; it ends
#: by the signal itself.
_GOOD_ENDS = (0, -signal.SIGTERM)
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
        await self.until(self._are_all_ready, START_LIMIT)

    def begin_traffic(self, callers: int) -> None:
        """Start callers on each VM."""
        for node in self.nodes:
            for place in range(callers):
                caller = Caller(node, place, Random(self._random.random()))
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

    async def play(self, trouble: Trouble) -> None:
        """Have one trouble happen, and lift it."""
        node = self.nodes[trouble.vm] if trouble.vm >= 0 else None
        place = '' if node is None else f'{node.name}: '
        self.timeline.tell(
            f'{place}{trouble.kind.value} for {trouble.lasts:g} s',
        )
        if node is None:
            self._store_troubles += trouble.kind in _STORE_KINDS
            await self._play_global(trouble)
            self._store_troubles -= trouble.kind in _STORE_KINDS
            if trouble.kind in _STORE_KINDS:
                self._store_calm_at = trio.current_time()
        else:
            with node.troubled():
                await self._play_at(trouble, node)

    async def _play_global(self, trouble: Trouble) -> None:
        store = self.store
        match trouble.kind:
            case Kind.CONFIGURE:
                self.publish()
            case Kind.ORDER:
                await self._order(trouble)
            case Kind.STORE_COMPACT:
                store.compact(OPERATORS_TOPIC)
            case Kind.STORE_LOSES:
                store.loses += 1 + trouble.draw % 3
            case Kind.STORE_DOWN:
                store.is_down = True
                await trio.sleep(trouble.lasts)
                store.is_down = False
            case Kind.STORE_SILENT:
                store.is_silent = True
                await trio.sleep(trouble.lasts)
                store.is_silent = False

    async def _play_at(self, trouble: Trouble, node: Node) -> None:
        match trouble.kind:
            case Kind.KILL | Kind.STOP | Kind.PAUSE | Kind.CLOCK:
                await self._play_signal(trouble, node)
            case Kind.RELOAD:
                node.send(signal.SIGHUP)
            case Kind.DRAIN | Kind.UNTOLD | Kind.REPLACE:
                await self._replace(trouble, node)
            case Kind.CUT_STORE:
                way = (Way.REFUSED, Way.SILENT, Way.ONE_WAY)[trouble.draw % 3]
                node.to_store.set(way)
                await trio.sleep(trouble.lasts)
                node.to_store.set(Way.OPEN)
            case _:
                await self._play_link(trouble, node)

    async def _play_link(self, trouble: Trouble, node: Node) -> None:
        switch = node.peers
        match trouble.kind:
            case Kind.RESET_PEERS:
                switch.reset()
                return
            case Kind.RESET_UPSTREAM:
                node.to_upstream.reset()
                return
            case Kind.SILENT_UPSTREAM:
                switch = node.to_upstream
                switch.set(Way.SILENT)
            case Kind.CUT_PEERS:
                switch.set(Way.SILENT if trouble.draw % 2 else Way.REFUSED)
            case Kind.CUT_ONE_WAY:
                switch.set(Way.ONE_WAY)
            case Kind.SLOW_PEERS:
                switch.delay = 0.05 + trouble.draw % 100 / 1000
        await trio.sleep(trouble.lasts)
        switch.delay = 0
        switch.set(Way.OPEN)

    async def _play_signal(self, trouble: Trouble, node: Node) -> None:
        if node.starting.locked():
            # The process is already on its way down, or paused; the next
            # signal of a series comes on top of that.
            node.send(signal.SIGTERM)
            return
        async with node.starting:
            await self._signal_alone(trouble, node)
            # Another signal of a series may be ending it meanwhile.
            while node.is_expected_to_end:
                await self._stop(node)
                await node.start()

    async def _signal_alone(self, trouble: Trouble, node: Node) -> None:
        match trouble.kind:
            case Kind.PAUSE:
                node.is_paused = True
                node.send(signal.SIGSTOP)
                await trio.sleep(trouble.lasts)
                node.send(signal.SIGCONT)
                node.is_paused = False
            case Kind.STOP:
                await self._stop(node)
                await node.start()
            case _:
                node.send(signal.SIGKILL)
                await node.wait(GRACE / 1000)
                await trio.sleep(trouble.lasts / 2)
                is_clock = trouble.kind is Kind.CLOCK
                await node.start(clock=trouble.lasts * 10 * is_clock)

    async def _stop(self, node: Node) -> None:
        node.send(signal.SIGTERM)
        code = await node.wait(GRACE / 1000)
        if code is None:
            self.timeline.break_promise('ends in time', node.name)
            node.send(signal.SIGKILL)
            await node.wait(1)
        elif code not in _GOOD_ENDS:
            self.timeline.break_promise(
                'a planned stop ends well',
                f'{node.name} ended with {code}',
            )

    async def _replace(self, trouble: Trouble, node: Node) -> None:
        upstream = node.upstream
        if not node.is_serving(upstream):
            return
        if trouble.kind is Kind.REPLACE:
            node.end_upstream(upstream)
            await trio.sleep(trouble.lasts / 3)
        else:
            is_told = trouble.kind is Kind.DRAIN
            await node.leave(upstream, is_told=is_told)
        await node.add_upstream(upstream.version, fails=upstream.fails)

    async def _order(self, trouble: Trouble) -> None:
        """Bring in a new version on a third of the VMs, and order the move."""
        if self.orders and len(self.orders) >= 3:
            return
        self._versions += 1
        version = f'v{self._versions}'
        is_bad = bool(trouble.draw % 2)
        count = max(1, len(self.nodes) // 3)
        first = trouble.draw % len(self.nodes)
        for place in range(first, first + count):
            node = self.nodes[place % len(self.nodes)]
            upstream = node.upstream
            if node.is_serving(upstream):
                node.end_upstream(upstream)
                await node.add_upstream(version, fails=is_bad)
        number = order(self.store, SERVICE, version, window=_WINDOW)
        self.orders[number] = Order(version, is_bad)
        word = 'bad' if is_bad else 'good'
        self.timeline.tell(f'order {number}: move to {version}, {word}')
