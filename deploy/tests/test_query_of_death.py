"""Requests under which upstreams crash, and harmless ones beside them."""

from datetime import UTC, datetime
from functools import partial

import trio
from trio.testing import MockClock

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.quarantine import list_blocked_requests, unblock_request
from verbenamill_http.addresses import parse_address
from verbenamill_platform import PlatformStore

#: Sends that are allowed beyond a window after the third crash, and that
#: window in seconds.
ALLOWED = 3
WINDOW = 3.0
#: Time of a run, in seconds.
WORK = 0.09
PATH = '/lookup/deadly'


def crashes_on(asked):
    """Whether a request crashes the upstream that runs it."""
    return asked.path == PATH


async def open_fleet(site, *, vms=6, zones=2, **more):
    """A fleet of one service whose upstreams start again after a crash."""
    made = [
        await site.add(
            f'vm{place}',
            zone=f'z{place % zones + 1}',
            service_time=WORK,
            crashes_on=crashes_on,
            **more,
        )
        for place in range(vms)
    ]
    await site.settled()
    await site.in_force(1)
    return made


def runs_of(vms, path):
    """When a request was begun, at any upstream."""
    return sorted(
        ran.at
        for vm in vms
        for ran in vm.upstream.executions
        if ran.path == path
    )


def count_late(vms):
    """Runs of the deadly request beyond the window after the third crash."""
    crashes = sorted(at for vm in vms for at in vm.upstream.crashed_at)
    if len(crashes) < ALLOWED:
        return 0
    end = crashes[ALLOWED - 1] + WINDOW
    return sum(at > end for at in runs_of(vms, PATH))


def test_a_query_of_death_that_comes_again_elsewhere_is_stopped(play):
    """Guards against one request that crashes upstream after upstream."""

    async def scene(site):
        vms = await open_fleet(site)
        for coming in range(24):
            vm = vms[coming % len(vms)]
            answer = await vm.call(PATH, id=f'd{coming}')
            assert answer.status in (502, 503)
            await trio.sleep(0.5)
        assert count_late(vms) <= ALLOWED

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_query_of_death_is_stopped_behind_proxies_that_still_accept(play):
    """Guards against taking a crash for a lost answer behind a proxy."""

    async def scene(site):
        vms = await open_fleet(site, has_proxy=True)
        for coming in range(12):
            await vms[coming % len(vms)].call(PATH, id=f'd{coming}')
            await trio.sleep(0.5)
        assert crashes_of(vms) == 3

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_query_of_death_is_stopped_behind_proxies_that_are_slow(play):
    """Guards against forgetting who was in hand at a crash found out later."""

    async def scene(site):
        vms = await open_fleet(site, has_proxy=True, proxy_delay=0.3)
        for coming in range(30):
            await vms[coming % len(vms)].call(PATH, id=f'd{coming}')
            await trio.sleep(0.5)
        assert len(runs_of(vms, PATH)) >= ALLOWED
        assert count_late(vms) <= ALLOWED

    play(scene, clock=MockClock(autojump_threshold=0))


def crashes_of(vms):
    return sum(len(vm.upstream.crashed_at) for vm in vms)


def blocked_by(vm):
    """Requests that a daemon has refused for crashes under them."""
    outcomes = vm.daemon._stats.outcomes
    return sum(
        count for (_, told), count in outcomes.items() if told == 'blocked'
    )


def test_a_caller_that_comes_again_at_once_crashes_three_upstreams(play):
    """Guards against a chain of crashes within one caller's deadline."""

    async def scene(site):
        vms = await open_fleet(site)
        statuses = []
        for coming in range(8):
            answer = await vms[0].call(PATH, id=f'd{coming}')
            statuses.append(answer.status)
        assert statuses[:2] == [502, 502]
        assert set(statuses[2:]) == {503}
        assert crashes_of(vms) == 3

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_blocked_request_is_refused_at_once_and_not_invited_back(play):
    """Guards against refusals that are late, false, or ask for a retry."""

    async def scene(site):
        vms = await open_fleet(site)
        for coming in range(3):
            await vms[0].call(PATH, id=f'd{coming}')
        began = trio.current_time()
        answer = await vms[0].call(PATH, id='d9')
        assert trio.current_time() - began < 0.05
        assert answer.status == 503
        assert float(answer.headers['retry-after']) >= 60
        assert 'd9' not in {
            ran.id for vm in vms for ran in vm.upstream.executions
        }
        assert blocked_by(vms[0])

    play(scene, clock=MockClock(autojump_threshold=0))


def test_copies_that_wait_for_an_upstream_are_not_begun_once_blocked(play):
    """Guards against copies in queues that crash what starts again."""

    async def scene(site):
        vms = await open_fleet(site, slots=1)
        async with trio.open_nursery() as nursery:
            for copy in range(30):
                vm = vms[copy % len(vms)]
                nursery.start_soon(
                    partial(vm.call, PATH, id=f'd{copy}', deadline=3000),
                )
                await trio.sleep(0.15)
        assert count_late(vms) <= ALLOWED
        assert crashes_of(vms) <= 2 * len(vms)

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_fee_that_crashes_upstreams_is_blocked_too(play):
    """Guards against a deadly request that must not be repeated."""

    async def scene(site):
        vms = await open_fleet(site)
        for vm in vms:
            vm.upstream.crashes_on = lambda asked: asked.body == b'deadly'
        for coming in range(8):
            answer = await vms[coming % len(vms)].call(
                '/fee/1',
                method='POST',
                id=f'f{coming}',
                body=b'deadly',
            )
            assert answer.status in (502, 503)
            await trio.sleep(0.6)
        assert crashes_of(vms) == 3
        answer = await vms[0].call('/fee/1', method='POST', body=b'harmless')
        assert answer.status == 200

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_popular_request_is_not_blocked_for_a_rack_that_crashed(play):
    """Guards against refusing harmless requests for others' crashes."""

    async def scene(site):
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
        assert crashes_of(vms) >= 6
        assert not sum(map(blocked_by, vms))
        assert statuses.count(200) > 0.9 * len(statuses)
        answer = await vms[7].call('/lookup/popular', id='last')
        assert answer.status == 200

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_popular_request_beside_a_deadly_one_is_not_blocked(play):
    """Guards against blocking what was in hand at crashes of another request.

    Few copies of it run, so no completion clears it in time.
    """

    async def scene(site):
        vms = await open_fleet(site, vms=3)

        async def fly_along(coming):
            await vms[coming % 3].call('/lookup/popular', id=f'p{coming}')

        for coming in range(8):
            async with trio.open_nursery() as nursery:
                for copy in range(3):
                    nursery.start_soon(fly_along, 3 * coming + copy)
                await vms[0].call(PATH, id=f'd{coming}')
                await vms[1].call(PATH, id=f'e{coming}')
            await trio.sleep(0.3)
        assert blocked_by(vms[0])
        await trio.sleep(2)
        for vm in vms:
            answer = await vm.call('/lookup/popular', id=f'last-{vm.name}')
            assert answer.status == 200
        assert count_late(vms) <= ALLOWED

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_daemon_that_started_since_refuses_a_blocked_request(play):
    """Guards against a start that forgets what the others know."""

    async def scene(site):
        vms = await open_fleet(site)
        for coming in range(3):
            await vms[0].call(PATH, id=f'd{coming}')
        await trio.sleep(1)
        await vms[1].kill()
        await vms[1].start()
        await vms[1].beat()
        await trio.sleep(3)
        before = crashes_of(vms)
        answer = await vms[1].call(PATH, id='d9')
        assert answer.status == 503
        assert crashes_of(vms) == before

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_call_of_an_upstream_that_is_blocked_does_not_close_its_service(
    play,
    kit,
):
    """Guards against taking a blocked call for a service without room."""

    async def scene(site):
        owner = await site.add('vm1', service_time=WORK)
        catalog = [
            await site.add(
                f'c{place}', service='catalog', crashes_on=lambda _: True
            )
            for place in range(4)
        ]
        rows = [*kit.rows, kit.row('read', '/read/', service='catalog')]
        site.store.write_as_operator('config', kit.document(2, rows))
        await site.settled()
        await site.in_force(2)
        for coming in range(12):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(owner.call, '/lookup/1', id=f'r{coming}'),
                )
                await trio.sleep(WORK / 2)
                await owner.call('/read/deadly', id=f'r{coming}.n')
        assert crashes_of(catalog) == 3
        assert (await owner.call('/lookup/1', id='last')).status == 200

    play(scene, clock=MockClock(autojump_threshold=0))


async def block(site, vms):
    """Have the request blocked, and the store know it."""
    for coming in range(3):
        await vms[0].call(PATH, id=f'd{coming}')
    await trio.sleep(3)


def test_a_blocked_request_stays_blocked_when_all_daemons_are_killed(play):
    """Guards against a block that ends with the last daemon that knows it."""

    async def scene(site):
        vms = await open_fleet(site)
        await block(site, vms)
        for vm in vms:
            await vm.kill()
        for vm in vms:
            await vm.start()
            await vm.beat()
        await site.settled()
        await site.in_force(1)
        await trio.sleep(3)
        before = crashes_of(vms)
        for coming, vm in enumerate(vms):
            answer = await vm.call(PATH, id=f'e{coming}')
            assert answer.status == 503
        assert crashes_of(vms) == before == 3

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_block_reaches_the_store_once_that_is_back(play):
    """Guards against a block that is not kept as the store was away."""

    async def scene(site):
        vms = await open_fleet(site)
        site.store.is_down = True
        await block(site, vms)
        site.store.is_down = False
        await trio.sleep(8)
        for vm in vms:
            await vm.kill()
        await vms[0].start()
        await vms[0].beat()
        await site.in_force(1)
        await trio.sleep(3)
        assert (await vms[0].call(PATH, id='e1')).status == 503
        assert crashes_of(vms) == 3

    play(scene, clock=MockClock(autojump_threshold=0))


def test_an_operator_sees_what_is_blocked_and_unblocks_it(play):
    """Guards against a block that nobody can see or lift."""

    async def scene(site):
        vms = await open_fleet(site)
        await block(site, vms)
        store = PlatformStore(parse_address(site.store.address))
        report = (
            await list_blocked_requests(store, now=datetime.now(UTC))
        ).unwrap()
        row = report.lines[1].split()
        assert 'shop.example/lookup/deadly' in row
        fingerprint = row[0]
        for vm in vms:
            vm.upstream.crashes_on = lambda _: False
        done = await unblock_request(store, fingerprint, now=datetime.now(UTC))
        assert done.unwrap().code is ExitCode.OK

        async def runs_again():
            await trio.sleep(5)
            return (await vms[2].call(PATH, id='e1')).status == 200

        with trio.fail_after(300):
            while not await runs_again():
                pass
        missing = await unblock_request(store, 'ab' * 16, now=datetime.now(UTC))
        assert missing.failure().code is ExitCode.NOT_FOUND

    play(scene, clock=MockClock(autojump_threshold=0))
