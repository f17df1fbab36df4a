"""Why a connection to the own upstream broke: a crash, or less."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.heartbeats import Heartbeat, UpstreamTracker
from verbenamill_policy.routes import Route, RouteKind, Split
from verbenamill_sidecar.call import Call
from verbenamill_sidecar.crashing import CrashDetector

ADDRESS = '10.0.0.1:80'


def make_call(target):
    route = Route(
        name='lookup',
        host='shop.example',
        prefix='/',
        kind=RouteKind.IDEMPOTENT,
        timeout=1,
        objective=1,
        priority=0,
        max_attempts=2,
        splits=(Split('s', 1),),
    )
    return Call(
        id=target,
        route=route,
        service='s',
        method=b'GET',
        target=target,
        headers=[],
        body=b'',
        origin=b's',
        arrived=0,
        objective=1,
        deadline=1,
    )


class FakeConnection:
    def __init__(self, *, closes):
        self._closes = closes

    async def closes_within(self, timeout):
        await trio.sleep(timeout)
        return self._closes


class FakePool:
    """Connections to an upstream that listens or not."""

    def __init__(self):
        self.listens = True
        self.closes = False
        self.is_full = False
        self.others = False
        self.taken = 0

    async def acquire(self, *, max_idle):
        self.taken += 1
        await trio.sleep(0.001)
        return FakeConnection(closes=self.closes) if self.listens else None

    def release(self, connection):
        """It is kept."""

    def discard(self, connection):
        """It is closed."""

    def has_open_connection(self):
        return self.others


class Scene:
    """An upstream, and what is found out about its connections."""

    def __init__(self):
        self.register = UpstreamTracker(ADDRESS)
        self.pool = FakePool()
        self.accused = []
        self.beat(1)
        self.upstream = self.register.current
        self.crashes = CrashDetector(
            self.register,
            self.pool,
            lose=lambda one: self.register.mark_gone(one.instance),
            in_flight=lambda: [],
            record_crash=lambda request, crash: self.accused.append(
                (request.about, crash),
            ),
        )

    def beat(self, born, *, state=UpstreamState.READY, sequence=1):
        self.register.update(
            Heartbeat(
                instance='i1',
                address=ADDRESS,
                service='s',
                version='v1',
                slots=4,
                state=state,
                sequence=sequence,
                born=born,
            ),
        )

    async def explain(self, target=b'/a'):
        return await self.crashes.explain(make_call(target), self.upstream)


@pytest.fixture
def play():
    def run(scene):
        trio.run(scene, Scene(), clock=MockClock(autojump_threshold=0))

    return run


def test_who_takes_connections_has_not_crashed(play):
    async def scene(site):
        assert await site.explain() is None
        assert not site.crashes.count

    play(scene)


def test_one_of_many_requests_looks_for_all(play):
    async def scene(site):
        site.pool.listens = False
        found = []

        async def explain():
            found.append(await site.explain())

        async with trio.open_nursery() as nursery:
            for _ in range(14):
                nursery.start_soon(explain)
        assert found == ['i1/1' for _ in range(14)]
        assert site.pool.taken == 1
        assert site.crashes.count == 1

    play(scene)


def test_a_new_request_that_finds_nobody_does_not_hide_the_crash(play):
    """Guards against taking an upstream that was given up for one that left."""

    async def scene(site):
        site.pool.listens = False
        found = []

        async def explain():
            found.append(await site.explain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(explain)
            await trio.sleep(0.0005)
            site.crashes.see_refused(site.upstream)
        assert found == ['i1/1']
        assert site.register.current.state is UpstreamState.GONE

    play(scene)


@pytest.mark.parametrize('state', [UpstreamState.DRAINING, UpstreamState.GONE])
def test_who_said_that_it_leaves_has_not_crashed(play, state):
    async def scene(site):
        site.beat(1, state=state, sequence=2)
        site.pool.listens = False
        site.crashes.see_refused(site.upstream)
        assert await site.explain() is None
        assert not site.crashes.count

    play(scene)


@pytest.mark.parametrize('others', [True, False])
def test_who_closes_new_connections_has_crashed_if_all_others_ended(
    play,
    others,
):
    async def scene(site):
        site.pool.closes = True
        site.pool.others = others
        assert (await site.explain() is None) is others

    play(scene)


def test_what_was_lost_is_accused_when_the_crash_shows_later(play):
    async def scene(site):
        assert await site.explain(b'/a') is None
        site.pool.listens = False
        await trio.sleep(0.1)
        assert await site.explain(b'/b') == 'i1/1'
        assert site.accused == [('GET /a', 'i1/1')]

    play(scene)


def test_a_successor_shows_that_its_predecessor_crashed(play):
    async def scene(site):
        assert await site.explain(b'/a') is None
        site.beat(2)
        site.crashes.see_start()
        assert site.accused == [('GET /a', 'i1/1')]
        assert site.register.current.state is UpstreamState.READY

    play(scene)


def test_a_later_answer_shows_that_nothing_crashed(play):
    async def scene(site):
        assert await site.explain(b'/a') is None
        await trio.sleep(0.1)
        site.crashes.see_answer(trio.current_time())
        site.beat(2)
        site.crashes.see_start()
        assert not site.accused

    play(scene)
