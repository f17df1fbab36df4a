"""Upstreams that name a limit, or announce a leave, in their responses."""

from itertools import count
from typing import NamedTuple

import trio
from trio.testing import MockClock

#: In any span of SPAN_S seconds, from GRACE_S seconds after a limit was
#: first named, the platform allows FACTOR times the limit plus SLACK requests.
FACTOR = 1.5
SLACK = 5
SPAN_S = 4.0
GRACE_S = 3.0
#: Time for which an upstream accepts requests after its leave is announced.
DRAIN_S = 2.0
#: Service time of a request, in seconds.
SERVICE_TIME = 0.05
#: Minimum share of a limit that must be used while the load exceeds the limit.
MIN_USED_SHARE = 0.8


class CompletedCall(NamedTuple):
    """A request and the response to its caller."""

    id: str
    began: float
    took: float
    answer: object


class Load:
    """Callers at several daemons, each with one request at a time."""

    def __init__(self, vms, *, pause, path='/lookup/'):
        self.vms = vms
        self.answers = []
        self._pause = pause
        self._path = path
        self._ids = count()

    async def run(self, callers=2):
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                for _ in range(callers):
                    nursery.start_soon(self._call, vm)

    async def _call(self, vm):
        while True:
            id = f'{vm.name}-{next(self._ids)}'
            began = trio.current_time()
            try:
                answer = await vm.call(self._path + id, id=id, deadline=800)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
                continue
            took = trio.current_time() - began
            self.answers.append(CompletedCall(id, began, took, answer))
            await trio.sleep(self._pause)

    def success_share(self, since=0):
        """Return the share of successful requests since a point in time."""
        statuses = [
            one.answer.status for one in self.answers if one.began >= since
        ]
        return statuses.count(200) / max(len(statuses), 1)


async def open_fleet(site, *, vms=4, zones=2, **more):
    """Start a fleet of one service."""
    more.setdefault('service_time', SERVICE_TIME)
    fleet = [
        await site.add_vm(f'vm{place}', zone=f'z{place % zones + 1}', **more)
        for place in range(vms)
    ]
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    return fleet


def max_in_span(upstream, since):
    """Return the maximum arrivals in any span after a point in time."""
    times = [one.at for one in upstream.arrivals if one.at >= since]
    highest = 0
    first = 0
    for place, at in enumerate(times):
        while times[first] < at - SPAN_S:
            first += 1
        highest = max(highest, place - first + 1)
    return highest


def max_allowed(rate):
    return FACTOR * rate * SPAN_S + SLACK


def count_since(upstream, since):
    return sum(one.at >= since for one in upstream.arrivals)


async def check_unthrottled(vm):
    """Check that a limit that has ended no longer throttles an upstream.

    The load must exceed the capacity of the fleet.
    """
    began = trio.current_time()
    await trio.sleep(SPAN_S)
    fleet_capacity = vm.upstream.slots / vm.upstream.service_time * SPAN_S
    assert count_since(vm.upstream, began) > 0.5 * fleet_capacity


def run_on_fleet(run_scenario, scenario, *, callers=2, pause=0.05, **more):
    """Run a scenario on a fleet under load."""

    async def main(site):
        vms = await open_fleet(site, **more)
        load = Load(vms, pause=pause)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, callers)
            await trio.sleep(1)
            await scenario(site, vms, load)
            nursery.cancel_scope.cancel()

    run_scenario(main, clock=MockClock(autojump_threshold=0))


def test_an_upstream_gets_requests_up_to_its_named_limit(run_scenario):
    """Guards against a limit that is exceeded, or that is not used up."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 5
        limit_named_at = trio.current_time()
        await trio.sleep(GRACE_S + 3 * SPAN_S)
        assert max_in_span(limited, limit_named_at + GRACE_S) <= max_allowed(5)
        spent = trio.current_time() - limit_named_at - GRACE_S
        assert (
            count_since(limited, limit_named_at + GRACE_S)
            >= MIN_USED_SHARE * 5 * spent
        )
        assert load.success_share(limit_named_at) > 0.99

    run_on_fleet(run_scenario, scenario)


def test_a_limit_survives_restarts_of_the_upstream_s_daemon(run_scenario):
    """Guards against a limit that is lost when the owner restarts."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2.3
        limited.service_time = 0.2
        limit_named_at = trio.current_time()
        await trio.sleep(GRACE_S)
        for _ in range(4):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].send_heartbeat()
            await trio.sleep(1.5)
        await trio.sleep(SPAN_S)
        assert max_in_span(limited, limit_named_at + GRACE_S) <= max_allowed(
            2.3
        )
        assert count_since(limited, limit_named_at + GRACE_S) >= 5

    run_on_fleet(run_scenario, scenario)


def test_a_limit_that_is_no_longer_named_ends(run_scenario):
    """Guards against an upstream that is throttled forever."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2
        await trio.sleep(GRACE_S + SPAN_S)
        limited.limit = None
        await trio.sleep(2)
        await check_unthrottled(vms[0])

    run_on_fleet(run_scenario, scenario, callers=6, service_time=0.2)


def test_requests_beyond_the_limits_of_all_upstreams_are_rejected_at_once(
    run_scenario,
):
    """Guards against callers that wait for upstreams at their limits."""

    async def scenario(site, vms, load):
        limit_named_at = trio.current_time()
        for vm in vms:
            vm.upstream.limit = 4
        await trio.sleep(GRACE_S + SPAN_S)
        since = limit_named_at + GRACE_S
        for vm in vms:
            assert max_in_span(vm.upstream, since) <= max_allowed(4)
            assert (
                count_since(vm.upstream, since) >= MIN_USED_SHARE * 4 * SPAN_S
            )
        refused = [
            one
            for one in load.answers
            if one.began >= since and one.answer.status == 503
        ]
        arrived = {one.id for vm in vms for one in vm.upstream.arrivals}
        assert refused
        assert not arrived & {one.id for one in refused}
        assert max(one.took for one in refused) < 0.1
        for one in refused:
            assert float(one.answer.headers['retry-after']) > 0

    run_on_fleet(run_scenario, scenario, callers=10, pause=0.4)


def test_a_restarted_upstream_has_no_limit(run_scenario):
    """Guards against a limit that outlives the process that named it."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 1
        await trio.sleep(GRACE_S)
        limited.limit = None
        limited.born += 1
        limited.sequence = 0
        await vms[0].send_heartbeat()
        assert vms[0].daemon._own_upstream.limits.limit is None
        await check_unthrottled(vms[0])

    run_on_fleet(run_scenario, scenario, callers=6, service_time=0.2)


def test_an_upstream_with_a_limit_of_zero_is_probed(run_scenario):
    """Guards against a limit of 0 that never ends, or is exceeded."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 0
        limit_named_at = trio.current_time()
        await trio.sleep(GRACE_S + 5 * SPAN_S)
        assert max_in_span(limited, limit_named_at + GRACE_S) <= SLACK
        limited.limit = None
        await trio.sleep(10)
        await check_unthrottled(vms[0])

    run_on_fleet(run_scenario, scenario, callers=6, service_time=0.2)


def test_limit_headers_of_callers_are_ignored(run_scenario):
    """Guards against callers that throttle an upstream or mark it leaving."""

    async def scenario(site):
        vm = await site.add_vm('vm1')
        await site.wait_until_configured(1)
        extra = ['Server-Limit: 0', 'Server-Leaving: 1']
        for number in range(20):
            answer = await vm.call('/lookup/1', id=f'r{number}', extra=extra)
            assert answer.status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_restarted_daemon_learns_a_limit_from_forwarded_requests(
    run_scenario,
):
    """Guards against restarts of the owner that lose a limit.

    The owner gets the limit neither from the store nor from datagrams.
    """

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2.3
        limited.service_time = 0.6
        await trio.sleep(GRACE_S)
        site.store.is_down = True
        for vm in vms[1:]:
            vm.daemon._gossip._send = lambda *_: None
        for _ in range(3):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].send_heartbeat()
            started_at = trio.current_time()
            await trio.sleep(0.6)
            # Requests from the VM itself do not carry the limit to it.
            passed_on = [
                one
                for one in limited.arrivals
                if one.at >= started_at and not one.id.startswith('vm0-')
            ]
            assert len(passed_on) <= 2

    run_on_fleet(run_scenario, scenario, slots=30, callers=6)


def test_an_owner_that_does_not_know_a_limit_does_not_end_it(run_scenario):
    """Guards against a restarted owner's rejection read as 'no limit'."""

    async def scenario(site):
        limited = await site.add_vm('vm0')
        caller = await site.add_vm('vm1', service='catalog')
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        limited.upstream.limit = 5
        assert (await caller.call('/lookup/1')).status == 200
        peer = caller.daemon._peers.get('vm0')
        upstream = peer.upstream
        assert peer.limit_of(upstream).rate == 5
        site.store.is_down = True
        caller.daemon._gossip._send = lambda *_: None
        await limited.kill()
        await limited.start()
        assert (await caller.call('/lookup/2')).status == 503
        assert peer.limit_of(upstream).rate == 5

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_limit_that_falls_is_observed(run_scenario):
    """Guards against a burst at the rate that was allowed before."""

    async def scenario(site, vms, load):
        limited = vms[0].upstream
        for rate in (30, 20, 10, 3):
            limited.limit = rate
            await trio.sleep(2)
        fell_at = trio.current_time()
        await trio.sleep(2 * SPAN_S)
        assert max_in_span(limited, fell_at) <= max_allowed(3)
        spent = trio.current_time() - fell_at
        assert count_since(limited, fell_at) >= MIN_USED_SHARE * 3 * spent

    run_on_fleet(run_scenario, scenario)


def test_an_upstream_that_signals_its_leave_gets_no_new_requests(
    run_scenario,
):
    """Guards against requests to an upstream that signals its leave."""

    async def scenario(site, vms, load):
        leaving = vms[0].upstream
        leaving.signals_leaving = True
        leave_signalled_at = trio.current_time()
        for _ in range(6):
            await trio.sleep(0.5)
            await vms[0].send_heartbeat()
        assert not count_since(leaving, leave_signalled_at + DRAIN_S)
        assert load.success_share(leave_signalled_at) > 0.99

    run_on_fleet(run_scenario, scenario)


def test_a_leave_signalled_in_responses_survives_daemon_restarts(run_scenario):
    """Guards against heartbeats that revoke a leave after a daemon restart."""

    async def scenario(site, vms, load):
        leaving = vms[0].upstream
        leaving.signals_leaving = True
        leave_signalled_at = trio.current_time()
        await trio.sleep(1)
        for _ in range(4):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].send_heartbeat()
            await trio.sleep(1)
        await vms[0].send_heartbeat()
        assert not count_since(leaving, leave_signalled_at + DRAIN_S)

    run_on_fleet(run_scenario, scenario)


def test_running_requests_complete_when_an_upstream_signals_its_leave(
    run_scenario,
):
    """Guards against cancelled runs and lost queued requests."""

    async def scenario(site, vms, load):
        leaving = vms[0].upstream
        while not leaving.running:
            await trio.sleep(SERVICE_TIME)
        leave_signalled_at = trio.current_time()
        leaving.signals_leaving = True
        await trio.sleep(DRAIN_S)
        assert not leaving.running
        assert load.success_share(leave_signalled_at - 0.5) == 1

    run_on_fleet(run_scenario, scenario, service_time=0.3, slots=3)


def test_a_limited_version_under_rollout_leaves_requests_to_the_old_one(
    run_scenario,
):
    """Guards against rejections due to a version that gets few requests."""

    async def scenario(site):
        old = [
            await site.add_vm(
                f'old{place}', service_time=SERVICE_TIME, slots=30
            )
            for place in range(2)
        ]
        new = await site.add_vm('new', version='v2', service_time=SERVICE_TIME)
        new.upstream.limit = 0.5
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        site.store.write_as_operator(
            'rollout/entries',
            {'service': 'entries', 'targetVersion': 'v2', 'durationS': 60},
        )
        load = Load(old, pause=0.02)
        with trio.move_on_after(20):
            await load.run(4)
        assert new.upstream.arrivals
        refused = [one for one in load.answers if one.answer.status != 200]
        assert not refused

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
