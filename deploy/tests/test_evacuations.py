"""Zones that operators evacuate and return."""

import json
from contextlib import asynccontextmanager

import trio
from trio.testing import MockClock

from verbenamill_platform.documents import decode_evacuation
from verbenamill_platform_standins.operators import evacuate, return_zone

#: Time from the acknowledgement of an evacuation until nothing more may reach
#: the upstreams of the zone, in seconds.
BOUND_S = 5.0
#: Time within which a returned zone is used again, in seconds.
RETURN_S = 2.5
ZONES = ('z1', 'z2', 'z3')


class Load:
    """Callers at all daemons."""

    def __init__(self, vms, pause=0.05):
        self.vms = vms
        self.answers = []
        self._pause = pause

    async def run(self):
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                nursery.start_soon(self._call, vm)

    async def _call(self, vm):
        while True:
            began = trio.current_time()
            try:
                answer = await vm.call('/lookup/1', deadline=800)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(self._pause)
                continue
            self.answers.append((began, vm.zone, answer))
            await trio.sleep(self._pause)

    def success_share(self, since, zone=None):
        statuses = [
            answer.status
            for began, at, answer in self.answers
            if began >= since and zone in (None, at)
        ]
        return statuses.count(200) / max(len(statuses), 1)


@asynccontextmanager
async def open_fleet(site, *, zones=ZONES, per_zone=2):
    """Start a fleet of one service, with callers in all zones."""
    vms = [
        await site.add_vm(f'{zone}-{place}', zone=zone, service_time=0.02)
        for zone in zones
        for place in range(per_zone)
    ]
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    load = Load(vms)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(1)
        yield vms, load
        nursery.cancel_scope.cancel()


def count_arrivals(vms, zone, since):
    return sum(
        arrival.at >= since
        for vm in vms
        if vm.zone == zone
        for arrival in vm.upstream.arrivals
    )


def run_on_fleet(run_scenario, scenario, **options):
    async def main(site):
        async with open_fleet(site, **options) as (vms, load):
            await scenario(site, vms, load)

    run_scenario(main, clock=MockClock(autojump_threshold=0))


def test_an_evacuated_zone_gets_nothing_until_it_is_returned(run_scenario):
    """Guards against requests to an evacuated zone, or none ever after."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'z1')
        began = trio.current_time()
        await trio.sleep(BOUND_S)
        since = trio.current_time()
        await trio.sleep(6)
        assert count_arrivals(vms, 'z1', since) == 0
        assert load.success_share(began) == 1
        assert load.success_share(began, 'z1') == 1
        return_zone(site.store, 'z1')
        await trio.sleep(RETURN_S)
        since = trio.current_time()
        await trio.sleep(2)
        assert count_arrivals(vms, 'z1', since) > 20

    run_on_fleet(run_scenario, scenario)


def test_an_evacuation_survives_restarts_of_all_daemons(run_scenario):
    """Guards against a restarted fleet that forgets an evacuation."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'z2')
        await trio.sleep(BOUND_S)
        for vm in vms:
            await vm.kill()
        since = trio.current_time()
        for vm in vms:
            await vm.start()
        await trio.sleep(4)
        assert count_arrivals(vms, 'z2', since) == 0
        assert load.success_share(trio.current_time() - 1) > 0.9

    run_on_fleet(run_scenario, scenario)


def test_an_evacuation_survives_the_loss_of_the_store_s_history(run_scenario):
    """Guards against deleted history that reads like a returned zone."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'z2')
        await trio.sleep(BOUND_S)
        since = trio.current_time()
        site.store.compact('keyed.op')
        await trio.sleep(1)
        site.store.is_down = True
        await trio.sleep(4)
        site.store.is_down = False
        await trio.sleep(5)
        assert count_arrivals(vms, 'z2', since) == 0

    run_on_fleet(run_scenario, scenario)


def test_a_return_is_noticed_although_its_record_has_expired(run_scenario):
    """Guards against an evacuation that stays in force for good."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'z2')
        await trio.sleep(BOUND_S)
        site.store.is_down = True
        await trio.sleep(2)
        return_zone(site.store, 'z2')
        site.store.compact('keyed.op')
        site.store.is_down = False
        await trio.sleep(4)
        since = trio.current_time()
        await trio.sleep(2)
        assert count_arrivals(vms, 'z2', since) > 20

    run_on_fleet(run_scenario, scenario)


def test_an_upstream_that_starts_in_an_evacuated_zone_gets_nothing(
    run_scenario,
):
    """Guards against upstreams that register during an evacuation."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'z3')
        await trio.sleep(BOUND_S)
        late = await site.add_vm('z3-late', zone='z3', service_time=0.02)
        await trio.sleep(4)
        assert not late.upstream.arrivals
        assert (await late.call('/lookup/1')).status == 200

    run_on_fleet(run_scenario, scenario)


def test_owners_refuse_what_a_daemon_out_of_touch_still_sends(run_scenario):
    """Guards against an ingress that has not heard of the evacuation."""

    async def scenario(site, vms, load):
        late = vms[-1].daemon
        late._desired_state.apply_evacuation = lambda _: False
        evacuate(site.store, 'z1')
        await trio.sleep(BOUND_S)
        since = trio.current_time()
        await trio.sleep(3)
        assert count_arrivals(vms, 'z1', since) == 0

    run_on_fleet(run_scenario, scenario)


def test_a_request_is_refused_at_once_if_all_zones_are_evacuated(run_scenario):
    """Guards against requests that wait until their deadline for a zone."""

    async def scenario(site, vms, load):
        for zone in ZONES:
            evacuate(site.store, zone)
        await trio.sleep(BOUND_S)
        began = trio.current_time()
        answer = await vms[0].call('/lookup/1')
        assert answer.status == 503
        assert 'evacuated' in json.loads(answer.body)['reason']
        assert float(answer.headers['retry-after']) >= 1
        assert trio.current_time() - began < 0.1

    run_on_fleet(run_scenario, scenario)


def test_unknown_zones_and_unreadable_values_harm_nobody(run_scenario):
    """Guards against a record that stops the daemons that read it."""

    async def scenario(site, vms, load):
        evacuate(site.store, 'nowhere')
        site.store.topic('keyed.op').append('evacuate/', b'{}')
        site.store.topic('keyed.op').append('evacuate/z1', b'\xff{')
        began = trio.current_time()
        await trio.sleep(BOUND_S)
        since = trio.current_time()
        await trio.sleep(2)
        assert count_arrivals(vms, 'z1', since) == 0
        assert count_arrivals(vms, 'z2', since) > 0
        assert load.success_share(began) == 1

    run_on_fleet(run_scenario, scenario)


def test_the_key_of_an_evacuation_says_everything():
    assert decode_evacuation('evacuate/z1', b'{}', 4).is_active
    assert decode_evacuation('evacuate/z1', b'?', 4).is_active
    assert not decode_evacuation('evacuate/z1', b'', 5).is_active
