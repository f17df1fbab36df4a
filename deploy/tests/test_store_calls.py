"""Number of calls to the store at a start, in steady state and after faults."""

from math import ceil

import trio
from trio.testing import MockClock

from verbenamill_platform_standins.store import PAGE_SIZE
from verbenamill_sidecar.state.distribution import READING_ZONES
from verbenamill_sidecar.protocol import StorePurpose

ZONES = ('z1', 'z2', 'z3', 'z4')


def calls_of(vm):
    return vm.daemon._context.store.calls


async def start_site(site):
    for place, zone in enumerate(ZONES):
        await site.add_vm(f'vm{place}', zone=zone)
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    await site.wait_until_saved()


def assert_read_once(site, vm):
    """Check that only the members were read, once, with a call per page."""
    newest = dict(site.store.topic('keyed.verbenamill-members').records)
    pages = ceil(len([value for value in newest.values() if value]) / PAGE_SIZE)
    # A daemon that is alone in its zone also saves the zone every few seconds.
    assert set(calls_of(vm)) <= {StorePurpose.MEMBERS, StorePurpose.SAVE_ZONE}
    assert calls_of(vm)[StorePurpose.MEMBERS] <= pages
    assert calls_of(vm)[StorePurpose.SAVE_ZONE] <= 1


def find_non_reader(site):
    """Return a VM whose daemon gets the configuration from other daemons."""
    return next(vm for vm in site.vms if not vm.daemon._tree.must_read())


def test_a_restarted_daemon_reads_only_the_members(run_scenario):
    # When a tenth of a fleet restarts at once, each call of a start matters.
    async def scenario(site):
        await start_site(site)
        vm = find_non_reader(site)
        await vm.kill()
        await vm.start()
        await site.wait_until_configured(1)
        await site.wait_until_converged()
        assert_read_once(site, vm)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_new_daemon_reads_only_the_members(run_scenario):
    async def scenario(site):
        await start_site(site)
        zone = find_non_reader(site).zone
        vm = await site.add_vm('vm9', zone=zone)
        await site.wait_until_configured(1)
        await site.wait_until_converged()
        if not vm.daemon._tree.must_read():
            assert_read_once(site, vm)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_change_is_read_by_three_daemons_at_most(run_scenario, factories):
    async def scenario(site):
        await start_site(site)
        before = [calls_of(vm)[StorePurpose.FOLLOW] for vm in site.vms]
        site.store.write_as_operator('config', factories.document(2))
        await site.wait_until_configured(2)
        after = [calls_of(vm)[StorePurpose.FOLLOW] for vm in site.vms]
        read = [one for one, other in zip(after, before) if one > other]
        assert len(read) <= READING_ZONES

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_daemon_that_reads_from_others_makes_no_calls_in_steady_state(
    run_scenario,
):
    async def scenario(site):
        await start_site(site)
        vm = find_non_reader(site)
        before = calls_of(vm).copy()
        await trio.sleep(2)
        # It may save its zone every few seconds.
        assert set(calls_of(vm) - before) <= {StorePurpose.SAVE_ZONE}
        assert (calls_of(vm) - before).total() <= 1

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_reader_that_is_killed_is_replaced(run_scenario, factories):
    async def scenario(site):
        await start_site(site)
        for vm in [one for one in site.vms if one.daemon._tree.is_reader]:
            await vm.kill()
            site.vms.remove(vm)
        site.store.write_as_operator('config', factories.document(2))
        await site.wait_until_configured(2)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_a_reader_that_is_cut_off_from_the_store_learns_of_a_change(
    run_scenario, factories
):
    # The read of the reader hangs, and the reader keeps reporting to its zone
    # that nothing has changed. It learns of the change from the reader of
    # another zone.
    async def scenario(site):
        await start_site(site)
        reader = next(vm for vm in site.vms if vm.daemon._tree.is_reader)
        reader.daemon._follower._store.read_from = _hang
        site.store.write_as_operator('config', factories.document(2))
        with trio.fail_after(2):
            await site.wait_until_configured(2)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


async def _hang(*_):
    await trio.sleep_forever()
