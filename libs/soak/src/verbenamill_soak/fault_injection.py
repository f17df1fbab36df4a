"""What happens to a site: troubles are played, and lifted."""

import signal
from random import Random

import trio

from verbenamill_platform_standins.operators import OPERATORS_TOPIC
from verbenamill_soak.callers import Caller
from verbenamill_soak.nodes import GRACE, Node
from verbenamill_soak.plan import Kind, Trouble
from verbenamill_soak.relays import Way
from verbenamill_soak.cluster import Site
from verbenamill_soak.upstreams import DEADLY, DRAIN_TIME, LONG_WORK, WORK

#: Moves of one run; more would leave no version that was not touched.
_MOST_ORDERS = 3
#: Limits that upstreams name, in requests a second, and by what they fall.
_LIMITS = (10, 5, 2.3, 0)
_FALL = 3.0
#: How long an upstream whose answers say that it leaves listens beyond the time
#: in which it may get work, in seconds.
_STAYS_ON = 2.0
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


class Troubles:
    """Plays the troubles of a plan on a site."""

    def __init__(self, site: Site) -> None:
        self._site = site

    async def play(self, trouble: Trouble) -> None:
        """Have one trouble happen, and lift it."""
        site = self._site
        told = f'{trouble.kind.value} for {trouble.lasts:g} s'
        # Troubles of upstreams alone: all is asked of their daemons as ever.
        if trouble.kind is Kind.DEADLY:
            await self._come(trouble, site.nodes[trouble.vm])
            return
        if trouble.kind is Kind.CRASH:
            self._crash(site.nodes[trouble.vm])
            return
        if trouble.kind is Kind.LIMIT:
            await self._limit(trouble, site.nodes[trouble.vm])
            return
        if trouble.kind is Kind.LEAVES_IN_BAND:
            await self._leave_in_band(site.nodes[trouble.vm])
            return
        if trouble.vm >= 0:
            node = site.nodes[trouble.vm]
            site.timeline.tell(f'{node.name}: {told}')
            with node.troubled():
                await self._play_at(trouble, node)
            return
        site.timeline.tell(told)
        if trouble.kind in _STORE_KINDS:
            with site.troubled_store():
                await self._play_store(trouble)
        else:
            await self._play_wish(trouble)

    async def _play_wish(self, trouble: Trouble) -> None:
        site = self._site
        if trouble.kind is Kind.CONFIGURE:
            site.publish()
        elif len(site.orders) < _MOST_ORDERS:
            await site.bring_in(
                trouble.draw % len(site.nodes),
                is_bad=bool(trouble.draw % 2),
            )

    async def _play_store(self, trouble: Trouble) -> None:
        store = self._site.store
        match trouble.kind:
            case Kind.STORE_COMPACT:
                store.compact(OPERATORS_TOPIC)
            case Kind.STORE_LOSES:
                store.answers_to_drop += 1 + trouble.draw % 3
            case Kind.STORE_DOWN:
                store.is_down = True
                await trio.sleep(trouble.lasts)
                store.is_down = False
            case _:
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
            case Kind.LATE_PEERS:
                await self._hold(trouble, node)
                return
            case Kind.SLOW_PEERS:
                switch.delay = 0.05 + trouble.draw % 100 / 1000
        await trio.sleep(trouble.lasts)
        switch.delay = 0
        switch.set(Way.OPEN)

    def _crash(self, node: Node) -> None:
        if node.is_serving(node.upstream):
            self._site.timeline.tell(f'{node.name}: its upstream crashes')
            node.upstream.crash()

    async def _come(self, trouble: Trouble, node: Node) -> None:
        """The deadly request comes, and once more if it failed."""
        caller = Caller(node, node.next_place(), Random(trouble.draw))
        self._site.callers.append(caller)
        for _ in range(1 + trouble.draw % 2):
            asked = await caller.call(DEADLY, is_fee=False, is_unique=False)
            self._site.timeline.tell(
                f'{node.name}: the deadly request {asked.id} got '
                f'{asked.ending.value} {asked.status}',
            )

    async def _limit(self, trouble: Trouble, node: Node) -> None:
        """Have an upstream name a limit, a smaller one, and none."""
        upstream = node.upstream
        first = _LIMITS[trouble.draw % len(_LIMITS)]
        for rate in (first, first / _FALL):
            upstream.name_limit(rate)
            self._site.timeline.tell(
                f'{node.name}: {upstream.name} takes {rate:.2g} a second',
            )
            await trio.sleep(trouble.lasts / 2)
        upstream.name_limit(None)
        self._site.timeline.tell(f'{node.name}: {upstream.name} has no limit')

    async def _leave_in_band(self, node: Node) -> None:
        """Have an upstream say in its answers that it leaves, and end."""
        upstream = node.upstream
        upstream.signals_leaving = True
        self._site.timeline.tell(f'{node.name}: {upstream.name} says it leaves')
        await trio.sleep(DRAIN_TIME + _STAYS_ON)
        if node.is_serving(upstream):
            node.end_upstream(upstream)
            await node.add_upstream(upstream.version, fails=upstream.fails)

    async def _hold(self, trouble: Trouble, node: Node) -> None:
        """Hold what is new on its link, while its upstream works for long."""
        node.holds += 1
        node.peers.hold(holds=True)
        upstream = node.upstream
        upstream.service_time = LONG_WORK
        await trio.sleep(trouble.lasts)
        node.holds -= 1
        if not node.holds:
            node.peers.hold(holds=False)
            upstream.service_time = WORK

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
            self._site.timeline.break_promise('ends in time', node.name)
            node.send(signal.SIGKILL)
            await node.wait(1)
        elif code not in _GOOD_ENDS:
            self._site.timeline.break_promise(
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
