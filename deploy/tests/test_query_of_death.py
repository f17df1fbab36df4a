"""Requests that crash upstreams, and harmless requests that run beside them."""

from datetime import UTC, datetime
from functools import partial

import trio
from trio.testing import MockClock

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.quarantine import list_blocked_requests, unblock_request
from verbenamill_http.addresses import parse_address
from verbenamill_platform import PlatformStore

#: Maximum number of runs of a deadly request later than WINDOW_S seconds after
#: its third crash; also the number of that crash.
MAX_LATE_RUNS = 3
WINDOW_S = 3.0
#: Service time of a request, in seconds.
SERVICE_TIME = 0.09
DEADLY_PATH = '/lookup/deadly'


def crashes_on(request):
    """Whether a request crashes the upstream that runs it."""
    return request.path == DEADLY_PATH


async def open_fleet(site, *, vms=6, zones=2, **more):
    """Start a fleet of one service whose upstreams restart after a crash."""
    fleet = [
        await site.add_vm(
            f'vm{place}',
            zone=f'z{place % zones + 1}',
            service_time=SERVICE_TIME,
            crashes_on=crashes_on,
            **more,
        )
        for place in range(vms)
    ]
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    return fleet


def run_times(vms, path):
    """Return the start times of the runs of a path at all upstreams."""
    return sorted(
        execution.at
        for vm in vms
        for execution in vm.upstream.executions
        if execution.path == path
    )


def count_late_runs(vms):
    """Count runs of the deadly request after the window."""
    crashes = sorted(at for vm in vms for at in vm.upstream.crashed_at)
    if len(crashes) < MAX_LATE_RUNS:
        return 0
    end = crashes[MAX_LATE_RUNS - 1] + WINDOW_S
    return sum(at > end for at in run_times(vms, DEADLY_PATH))


def test_a_query_of_death_that_is_repeated_elsewhere_is_blocked(run_scenario):
    """Guards against a request that crashes one upstream after another."""

    async def scenario(site):
        vms = await open_fleet(site)
        for attempt in range(24):
            vm = vms[attempt % len(vms)]
            answer = await vm.call(DEADLY_PATH, id=f'd{attempt}')
            assert answer.status in (502, 503)
            await trio.sleep(0.5)
        assert count_late_runs(vms) <= MAX_LATE_RUNS

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_query_of_death_is_blocked_behind_proxies_that_still_accept(
    run_scenario,
):
    """Guards against mistaking a crash behind a proxy for a lost response."""

    async def scenario(site):
        vms = await open_fleet(site, has_proxy=True)
        for attempt in range(12):
            await vms[attempt % len(vms)].call(DEADLY_PATH, id=f'd{attempt}')
            await trio.sleep(0.5)
        assert count_crashes(vms) == 3

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_query_of_death_is_blocked_behind_proxies_that_are_slow(run_scenario):
    """Guards against forgetting the requests of a crash detected late."""

    async def scenario(site):
        vms = await open_fleet(site, has_proxy=True, proxy_delay=0.3)
        for attempt in range(30):
            await vms[attempt % len(vms)].call(DEADLY_PATH, id=f'd{attempt}')
            await trio.sleep(0.5)
        assert len(run_times(vms, DEADLY_PATH)) >= MAX_LATE_RUNS
        assert count_late_runs(vms) <= MAX_LATE_RUNS

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def count_crashes(vms):
    return sum(len(vm.upstream.crashed_at) for vm in vms)


def count_blocked(vm):
    """Count the requests that a daemon has rejected as blocked."""
    outcomes = vm.daemon._stats.outcomes
    return sum(
        count
        for (_, outcome), count in outcomes.items()
        if outcome == 'blocked'
    )


def test_a_caller_that_retries_at_once_crashes_three_upstreams(
    run_scenario,
):
    """Guards against a chain of crashes within one caller's deadline."""

    async def scenario(site):
        vms = await open_fleet(site)
        statuses = []
        for attempt in range(8):
            answer = await vms[0].call(DEADLY_PATH, id=f'd{attempt}')
            statuses.append(answer.status)
        assert statuses[:2] == [502, 502]
        assert set(statuses[2:]) == {503}
        assert count_crashes(vms) == 3

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_blocked_request_is_rejected_at_once_with_a_long_retry_after(
    run_scenario,
):
    """Guards against rejections that are late, untrue or invite a retry."""

    async def scenario(site):
        vms = await open_fleet(site)
        for attempt in range(3):
            await vms[0].call(DEADLY_PATH, id=f'd{attempt}')
        began = trio.current_time()
        answer = await vms[0].call(DEADLY_PATH, id='d9')
        assert trio.current_time() - began < 0.05
        assert answer.status == 503
        assert float(answer.headers['retry-after']) >= 60
        assert 'd9' not in {
            execution.id for vm in vms for execution in vm.upstream.executions
        }
        assert count_blocked(vms[0])

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_queued_copies_of_a_blocked_request_are_not_run(
    run_scenario,
):
    """Guards against queued copies that crash restarted upstreams."""

    async def scenario(site):
        vms = await open_fleet(site, slots=1)
        async with trio.open_nursery() as nursery:
            for copy in range(30):
                vm = vms[copy % len(vms)]
                nursery.start_soon(
                    partial(vm.call, DEADLY_PATH, id=f'd{copy}', deadline=3000),
                )
                await trio.sleep(0.15)
        assert count_late_runs(vms) <= MAX_LATE_RUNS
        assert count_crashes(vms) <= 2 * len(vms)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_fee_that_crashes_upstreams_is_blocked_too(run_scenario):
    """Guards against a block that covers only idempotent requests."""

    async def scenario(site):
        vms = await open_fleet(site)
        for vm in vms:
            vm.upstream.crashes_on = lambda request: request.body == b'deadly'
        for attempt in range(8):
            answer = await vms[attempt % len(vms)].call(
                '/fee/1',
                method='POST',
                id=f'f{attempt}',
                body=b'deadly',
            )
            assert answer.status in (502, 503)
            await trio.sleep(0.6)
        assert count_crashes(vms) == 3
        answer = await vms[0].call('/fee/1', method='POST', body=b'harmless')
        assert answer.status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_popular_request_is_not_blocked_when_upstreams_crash_together(
    run_scenario,
):
    """Guards against blocking harmless requests for unrelated crashes."""

    async def scenario(site):
        vms = await open_fleet(site, vms=8)
        statuses = []

        async def load(vm):
            for number in range(40):
                answer = await vm.call(
                    '/lookup/popular', id=f'{vm.name}-{number}'
                )
                statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for vm in vms:
                for _ in range(2):
                    nursery.start_soon(load, vm)
            for _ in range(3):
                await trio.sleep(0.8)
                for vm in vms[:3]:
                    vm.upstream.crash()
        assert count_crashes(vms) >= 6
        assert not sum(map(count_blocked, vms))
        assert statuses.count(200) > 0.9 * len(statuses)
        answer = await vms[7].call('/lookup/popular', id='last')
        assert answer.status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_popular_request_beside_a_deadly_one_is_not_blocked(run_scenario):
    """Guards against blocking what ran when another request crashed.

    Few copies of it run, so none completes in time to clear it.
    """

    async def scenario(site):
        vms = await open_fleet(site, vms=3)

        async def call_popular(attempt):
            await vms[attempt % 3].call('/lookup/popular', id=f'p{attempt}')

        for attempt in range(8):
            async with trio.open_nursery() as nursery:
                for copy in range(3):
                    nursery.start_soon(call_popular, 3 * attempt + copy)
                await vms[0].call(DEADLY_PATH, id=f'd{attempt}')
                await vms[1].call(DEADLY_PATH, id=f'e{attempt}')
            await trio.sleep(0.3)
        assert count_blocked(vms[0])
        await trio.sleep(2)
        for vm in vms:
            answer = await vm.call('/lookup/popular', id=f'last-{vm.name}')
            assert answer.status == 200
        assert count_late_runs(vms) <= MAX_LATE_RUNS

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_restarted_daemon_rejects_a_blocked_request(run_scenario):
    """Guards against a restart that forgets what other daemons know."""

    async def scenario(site):
        vms = await open_fleet(site)
        for attempt in range(3):
            await vms[0].call(DEADLY_PATH, id=f'd{attempt}')
        await trio.sleep(1)
        await vms[1].kill()
        await vms[1].start()
        await vms[1].send_heartbeat()
        await trio.sleep(3)
        before = count_crashes(vms)
        answer = await vms[1].call(DEADLY_PATH, id='d9')
        assert answer.status == 503
        assert count_crashes(vms) == before

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_blocked_nested_request_does_not_mark_its_service_as_full(
    run_scenario,
    factories,
):
    """Guards against mistaking a blocked call for a service at capacity."""

    async def scenario(site):
        owner = await site.add_vm('vm1', service_time=SERVICE_TIME)
        catalog = [
            await site.add_vm(
                f'c{place}', service='catalog', crashes_on=lambda _: True
            )
            for place in range(4)
        ]
        rows = [
            *factories.rows,
            factories.row('read', '/read/', service='catalog'),
        ]
        site.store.write_as_operator('config', factories.document(2, rows))
        await site.wait_until_converged()
        await site.wait_until_configured(2)
        for attempt in range(12):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(owner.call, '/lookup/1', id=f'r{attempt}'),
                )
                await trio.sleep(SERVICE_TIME / 2)
                await owner.call('/read/deadly', id=f'r{attempt}.n')
        assert count_crashes(catalog) == 3
        assert (await owner.call('/lookup/1', id='last')).status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


async def block(site, vms):
    """Get the request blocked, and wait until the store has the block."""
    for attempt in range(3):
        await vms[0].call(DEADLY_PATH, id=f'd{attempt}')
    await trio.sleep(3)


def test_a_block_survives_a_kill_of_all_daemons(
    run_scenario,
):
    """Guards against a block that is lost with the last daemon."""

    async def scenario(site):
        vms = await open_fleet(site)
        await block(site, vms)
        for vm in vms:
            await vm.kill()
        for vm in vms:
            await vm.start()
            await vm.send_heartbeat()
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        await trio.sleep(3)
        before = count_crashes(vms)
        for attempt, vm in enumerate(vms):
            answer = await vm.call(DEADLY_PATH, id=f'e{attempt}')
            assert answer.status == 503
        assert count_crashes(vms) == before == 3

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_block_is_saved_once_the_store_recovers(run_scenario):
    """Guards against a block that is not saved because of a store outage."""

    async def scenario(site):
        vms = await open_fleet(site)
        site.store.is_down = True
        await block(site, vms)
        site.store.is_down = False
        await trio.sleep(8)
        for vm in vms:
            await vm.kill()
        await vms[0].start()
        await vms[0].send_heartbeat()
        await site.wait_until_configured(1)
        await trio.sleep(3)
        assert (await vms[0].call(DEADLY_PATH, id='e1')).status == 503
        assert count_crashes(vms) == 3

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_an_operator_sees_what_is_blocked_and_unblocks_it(run_scenario):
    """Guards against a block that an operator cannot see or lift."""

    async def scenario(site):
        vms = await open_fleet(site)
        await block(site, vms)
        store = PlatformStore(parse_address(site.store.address))
        report = (
            await list_blocked_requests(store, now=datetime.now(UTC))
        ).unwrap()
        columns = report.lines[1].split()
        assert 'shop.example/lookup/deadly' in columns
        fingerprint = columns[0]
        for vm in vms:
            vm.upstream.crashes_on = lambda _: False
        done = await unblock_request(store, fingerprint, now=datetime.now(UTC))
        assert done.unwrap().code is ExitCode.OK

        async def runs_again():
            await trio.sleep(5)
            return (await vms[2].call(DEADLY_PATH, id='e1')).status == 200

        with trio.fail_after(300):
            while not await runs_again():
                pass
        missing = await unblock_request(store, 'ab' * 16, now=datetime.now(UTC))
        assert missing.failure().code is ExitCode.NOT_FOUND

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
