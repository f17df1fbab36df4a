"""What an upstream is told of its shutdown, and what outlasts a restart."""

import pytest
import trio

OUTAGES = ['is_down', 'is_silent']
#: Time after which an upstream takes an answer for none, in seconds.
ANSWER_LIMIT = 1.0


def shutdown_of(vm, kind):
    upstream = vm.upstream
    return upstream.leave() if kind == 'leave' else upstream.heartbeat(kind)


async def restart(site, vms):
    """Kill all daemons at once and start them again."""
    for vm in vms:
        await vm.kill()
    for vm in vms:
        await vm.start()
    await site.wait_until_configured(1)
    await site.wait_until_converged()


async def send_calls(vms, count=5):
    for vm in vms:
        for number in range(count):
            await vm.call(f'/lookup/{number}', deadline=300)


async def set_up(site):
    vm = await site.add_vm('vm1')
    other = await site.add_vm('vm2', zone='z2')
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    await site.wait_until_saved()
    return vm, other


@pytest.mark.parametrize('outage', OUTAGES)
@pytest.mark.parametrize('kind', ['leave', 'draining'])
def test_a_shutdown_is_acknowledged_once_the_store_holds_it(
    run_scenario, kind, outage
):
    """Guards against requests to a left upstream after a restart of all."""

    async def scenario(site):
        vm, other = await set_up(site)
        late_heartbeat = vm.upstream.heartbeat()
        setattr(site.store, outage, True)
        began = trio.current_time()
        assert await vm.send_announcement(shutdown_of(vm, kind)) == 503
        assert trio.current_time() - began < ANSWER_LIMIT
        await send_calls([vm, other])
        assert not vm.upstream.arrivals
        setattr(site.store, outage, False)
        await acknowledge(site, vm, kind)
        await restart(site, [vm, other])
        assert await vm.send_announcement(late_heartbeat) == 200
        await send_calls([vm, other])
        assert not vm.upstream.arrivals
        assert other.upstream.arrivals

    run_scenario(scenario)


async def acknowledge(site, vm, kind):
    async def is_acknowledged():
        return await vm.send_announcement(shutdown_of(vm, kind)) == 200

    await site.wait_until(is_acknowledged)


def test_a_shutdown_is_saved_as_soon_as_the_store_is_back(run_scenario):
    """Guards against an upstream that waits for the pause between writes."""

    async def scenario(site):
        vm, _ = await set_up(site)
        site.store.is_down = True
        assert await vm.send_announcement(vm.upstream.leave()) == 503
        # By now the pause between two writes is at its longest.
        await trio.sleep(6)
        site.store.is_down = False
        began = trio.current_time()
        assert await vm.send_announcement(vm.upstream.leave()) == 200
        assert trio.current_time() - began < ANSWER_LIMIT

    run_scenario(scenario)


@pytest.mark.parametrize('kind', ['leave', 'draining'])
def test_a_slow_store_delays_the_acknowledgement(run_scenario, kind):
    """Guards against refusing a shutdown that the store is about to hold."""

    async def scenario(site):
        vm, _ = await set_up(site)
        site.store.delay = 0.5
        began = trio.current_time()
        assert await vm.send_announcement(shutdown_of(vm, kind)) == 200
        assert 0.5 <= trio.current_time() - began < ANSWER_LIMIT

    run_scenario(scenario)


def test_an_unacknowledged_shutdown_is_in_force_here(run_scenario):
    """Guards against waiting for the store before requests are kept away."""

    async def scenario(site):
        vm, other = await set_up(site)
        site.store.is_silent = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.send_announcement, vm.upstream.leave())
            await trio.sleep(0.1)
            await send_calls([vm])
        assert not vm.upstream.arrivals
        assert len(other.upstream.arrivals) == 5

    run_scenario(scenario)


@pytest.mark.parametrize('kind', ['leave', 'draining'])
def test_a_shutdown_outlasts_two_restarts_of_all_daemons(run_scenario, kind):
    """Guards against a restart whose new record hides the acknowledged one."""

    async def scenario(site):
        vm, other = await set_up(site)
        late_heartbeat = vm.upstream.heartbeat()
        await acknowledge(site, vm, kind)
        for _ in range(2):
            await restart(site, [vm, other])
            await site.wait_until_saved()
        await vm.send_announcement(late_heartbeat)
        await send_calls([vm, other])
        assert not vm.upstream.arrivals

    run_scenario(scenario)


def test_a_leave_to_a_daemon_that_knows_no_upstream_outlasts_a_restart(
    run_scenario,
):
    """Guards against a leave whose upstream the restarted daemon forgot."""

    async def scenario(site):
        vm = await site.add_vm('vm1', start=False)
        other = await site.add_vm('vm2', zone='z2')
        late_heartbeat = vm.upstream.heartbeat()
        await vm.start()
        await site.wait_until_configured(1)
        await acknowledge(site, vm, 'leave')
        await site.wait_until_saved()
        await restart(site, [vm, other])
        await vm.send_announcement(late_heartbeat)
        await send_calls([vm, other])
        assert not vm.upstream.arrivals

    run_scenario(scenario)


@pytest.mark.parametrize('kind', ['leave', 'draining'])
def test_a_shutdown_of_an_outdated_start_is_not_acknowledged(
    run_scenario, kind
):
    """Guards against promising a drain while requests go on."""

    async def scenario(site):
        vm, other = await set_up(site)
        vm.upstream.born += 1
        assert await vm.send_heartbeat() == 200
        vm.upstream.born -= 1
        assert await vm.send_announcement(shutdown_of(vm, kind)) == 409
        await send_calls([vm])
        assert vm.upstream.arrivals or other.upstream.arrivals

    run_scenario(scenario)
