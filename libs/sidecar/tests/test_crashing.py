"""How a crash of the upstream is told from a broken connection."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.heartbeats import Heartbeat, UpstreamTracker
from verbenamill_policy.routes import Route, RouteKind, Split
from verbenamill_sidecar.routing.call import Call
from verbenamill_sidecar.quarantine.crashing import CrashDetector

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
    """Connections to an upstream that may accept them or not."""

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
        """Accept a connection that is to be reused."""

    def discard(self, connection):
        """Accept a connection that is to be closed."""

    def has_open_connection(self):
        return self.others


class DetectorHarness:
    """A crash detector for an upstream with a fake connection pool."""

    def __init__(self):
        self.register = UpstreamTracker(ADDRESS)
        self.pool = FakePool()
        self.attributed = []
        self.send_heartbeat(1)
        self.upstream = self.register.current
        self.crashes = CrashDetector(
            self.register,
            self.pool,
            on_unreachable=lambda one: self.register.mark_gone(one.instance),
            in_flight=lambda: [],
            on_crash_found=lambda request, crash: self.attributed.append(
                (request.about, crash),
            ),
        )

    def send_heartbeat(self, born, *, state=UpstreamState.READY, sequence=1):
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
def run_scenario():
    def run(scenario):
        trio.run(
            scenario, DetectorHarness(), clock=MockClock(autojump_threshold=0)
        )

    return run


def test_an_upstream_that_accepts_connections_has_not_crashed(run_scenario):
    async def scenario(harness):
        assert await harness.explain() is None
        assert not harness.crashes.count

    run_scenario(scenario)


def test_one_of_many_lost_requests_probes_the_upstream(run_scenario):
    async def scenario(harness):
        harness.pool.listens = False
        found = []

        async def explain():
            found.append(await harness.explain())

        async with trio.open_nursery() as nursery:
            for _ in range(14):
                nursery.start_soon(explain)
        assert found == ['i1/1' for _ in range(14)]
        assert harness.pool.taken == 1
        assert harness.crashes.count == 1

    run_scenario(scenario)


def test_a_refused_connection_does_not_hide_the_crash(run_scenario):
    """Guards against taking an unreachable upstream for one that has left."""

    async def scenario(harness):
        harness.pool.listens = False
        found = []

        async def explain():
            found.append(await harness.explain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(explain)
            await trio.sleep(0.0005)
            harness.crashes.record_refused_connection(harness.upstream)
        assert found == ['i1/1']
        assert harness.register.current.state is UpstreamState.GONE

    run_scenario(scenario)


@pytest.mark.parametrize('state', [UpstreamState.DRAINING, UpstreamState.GONE])
def test_an_upstream_that_announced_its_leave_has_not_crashed(
    run_scenario, state
):
    async def scenario(harness):
        harness.send_heartbeat(1, state=state, sequence=2)
        harness.pool.listens = False
        harness.crashes.record_refused_connection(harness.upstream)
        assert await harness.explain() is None
        assert not harness.crashes.count

    run_scenario(scenario)


@pytest.mark.parametrize('others', [True, False])
def test_closing_a_new_connection_is_a_crash_if_all_others_are_closed(
    run_scenario,
    others,
):
    async def scenario(harness):
        harness.pool.closes = True
        harness.pool.others = others
        assert (await harness.explain() is None) is others

    run_scenario(scenario)


def test_a_lost_request_is_attributed_to_a_crash_found_later(run_scenario):
    async def scenario(harness):
        assert await harness.explain(b'/a') is None
        harness.pool.listens = False
        await trio.sleep(0.1)
        assert await harness.explain(b'/b') == 'i1/1'
        assert harness.attributed == [('GET /a', 'i1/1')]

    run_scenario(scenario)


def test_a_new_start_shows_that_the_previous_one_crashed(run_scenario):
    async def scenario(harness):
        assert await harness.explain(b'/a') is None
        harness.send_heartbeat(2)
        harness.crashes.record_start()
        assert harness.attributed == [('GET /a', 'i1/1')]
        assert harness.register.current.state is UpstreamState.READY

    run_scenario(scenario)


def test_a_later_response_rules_out_a_crash(run_scenario):
    async def scenario(harness):
        assert await harness.explain(b'/a') is None
        await trio.sleep(0.1)
        harness.crashes.record_response(trio.current_time())
        harness.send_heartbeat(2)
        harness.crashes.record_start()
        assert not harness.attributed

    run_scenario(scenario)
