"""A change is in force in time although daemons are cut off in silence."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_sidecar.state.store_follower import LONG_POLL_TIMEOUT

#: Time from the acknowledgement of a change until it must be in force, in
#: seconds.
APPLY_BOUND = 2.0
ZONES = ('z1', 'z2', 'z3')
VMS_PER_ZONE = 4


class CuttableStore:
    """A store whose answers, also to open calls, stop once it is cut off."""

    def __init__(self, store):
        self.is_cut = False
        self._store = store

    def __getattr__(self, name):
        method = getattr(self._store, name)
        if not callable(method):
            return method

        async def call(*args, **kwargs):
            await self._hang_if_cut()
            answer = await method(*args, **kwargs)
            await self._hang_if_cut()
            return answer

        return call

    async def _hang_if_cut(self):
        if self.is_cut:
            await trio.sleep_forever()


async def start_site(site):
    for zone in ZONES:
        for place in range(VMS_PER_ZONE):
            await site.add_vm(f'{zone}-{place}', zone=zone)
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    for vm in site.vms:
        follower = vm.daemon._follower
        follower._store = CuttableStore(follower._store)
    # Reads that began before are over.
    await trio.sleep(LONG_POLL_TIMEOUT + 1)


def find_ranks(site, ranks):
    return [vm for vm in site.vms if vm.daemon._tree.rank in ranks]


def cut_from_store(vms):
    for vm in vms:
        vm.daemon._follower._store.is_cut = True


async def publish(site, document):
    site.store.write_as_operator('config', document)
    with trio.move_on_after(APPLY_BOUND):
        await site.wait_until_configured(2)


def versions_of(site):
    return {vm.name: vm.daemon._desired_state.version for vm in site.vms}


@pytest.mark.parametrize(
    'ranks', [(), (0,), (0, 1)], ids=['nobody', 'readers', 'two-ranks']
)
@pytest.mark.parametrize('cut_ahead', [0.0, 0.5, 1.0])
def test_a_change_is_in_force_though_no_reader_reaches_the_store(
    run_scenario, factories, ranks, cut_ahead
):
    """Guards against a fleet that waits for readers which are cut off.

    Other daemons reach the store all the time.
    """

    async def scenario(site):
        await start_site(site)
        cut_from_store(find_ranks(site, ranks))
        await trio.sleep(cut_ahead)
        await publish(site, factories.document(2))
        assert set(versions_of(site).values()) == {2}

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
