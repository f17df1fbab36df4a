"""How often the store is called: at a start, in calm, in an outage."""

from math import ceil

import trio
from trio.testing import MockClock

from verbenamill_platform_standins.store import PAGE_SIZE
from verbenamill_sidecar.distribution import READING_ZONES
from verbenamill_sidecar.protocol import StorePurpose

ZONES = ('z1', 'z2', 'z3', 'z4')


def calls_of(vm):
    return vm.daemon._context.store.calls


async def open_site(site):
    for place, zone in enumerate(ZONES):
        await site.add(f'vm{place}', zone=zone)
    await site.settled()
    await site.in_force(1)
    await site.saved()


def assert_read_once(site, vm):
    """The members were read once, in a call for each page, and no more."""
    newest = dict(site.store.topic('keyed.verbenamill-members').records)
    pages = ceil(len([value for value in newest.values() if value]) / PAGE_SIZE)
    # Alone in its zone it also saves that, once in some seconds.
    assert set(calls_of(vm)) <= {StorePurpose.MEMBERS, StorePurpose.SAVE_ZONE}
    assert calls_of(vm)[StorePurpose.MEMBERS] <= pages
    assert calls_of(vm)[StorePurpose.SAVE_ZONE] <= 1


def find_fed(site):
    """A VM whose daemon gets the configuration from others."""
    return next(vm for vm in site.vms if not vm.daemon._tree.must_read())


def test_a_daemon_that_starts_beside_others_makes_one_call(play):
    # A tenth of a fleet restarts: each call of each start counts.
    async def scene(site):
        await open_site(site)
        vm = find_fed(site)
        await vm.kill()
        await vm.start()
        await site.in_force(1)
        await site.settled()
        assert_read_once(site, vm)

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_new_daemon_beside_others_makes_one_call(play):
    async def scene(site):
        await open_site(site)
        zone = find_fed(site).zone
        vm = await site.add('vm9', zone=zone)
        await site.in_force(1)
        await site.settled()
        if not vm.daemon._tree.must_read():
            assert_read_once(site, vm)

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_change_is_read_by_three_daemons(play, kit):
    async def scene(site):
        await open_site(site)
        before = [calls_of(vm)[StorePurpose.FOLLOW] for vm in site.vms]
        site.store.write_as_operator('config', kit.document(2))
        await site.in_force(2)
        after = [calls_of(vm)[StorePurpose.FOLLOW] for vm in site.vms]
        read = [one for one, other in zip(after, before) if one > other]
        assert len(read) <= READING_ZONES

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_daemon_that_is_fed_makes_no_calls_in_calm(play):
    async def scene(site):
        await open_site(site)
        vm = find_fed(site)
        before = calls_of(vm).copy()
        await trio.sleep(2)
        # It may save its zone, once in some seconds.
        assert set(calls_of(vm) - before) <= {StorePurpose.SAVE_ZONE}
        assert (calls_of(vm) - before).total() <= 1

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_reader_that_falls_silent_is_replaced(play, kit):
    async def scene(site):
        await open_site(site)
        for vm in [one for one in site.vms if one.daemon._tree.is_reader]:
            await vm.kill()
            site.vms.remove(vm)
        site.store.write_as_operator('config', kit.document(2))
        await site.in_force(2)

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_reader_that_is_cut_off_from_the_store_gets_a_change(play, kit):
    # Its read hangs, and it goes on telling its zone that nothing is new. The
    # reader of another zone tells it of the change.
    async def scene(site):
        await open_site(site)
        reader = next(vm for vm in site.vms if vm.daemon._tree.is_reader)
        reader.daemon._follower._store.read_from = _never
        site.store.write_as_operator('config', kit.document(2))
        with trio.fail_after(2):
            await site.in_force(2)

    play(scene, clock=MockClock(autojump_threshold=0))


async def _never(*_):
    await trio.sleep_forever()
