"""Upstreams that are cold, crash under load, and start cold again."""

import trio
from trio.testing import MockClock

COLD_S = 3.0
RATE = 5.5
OVERSHOOT = 1.5
SLACK = 4
ALLOWED = OVERSHOOT * RATE + SLACK
#: Rate above which a cold upstream of these tests crashes.
CRASH_RATE = 3 * RATE
RECOVERY_S = 15


def cold_document(factories):
    document = factories.document(2)
    document['services'] = {
        'columns': ['name', 'healthCheckPath', 'coldStartS', 'coldPerS'],
        'rows': [
            ['entries', '/health', COLD_S, RATE],
            ['catalog', '/health', None, None],
        ],
    }
    return document


class Load:
    """Callers that arrive at a rate, whatever the answers are."""

    def __init__(self, vms, rate):
        self.vms = vms
        self.rate = rate
        self.answers = []

    async def run(self):
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                number += 1
                vm = self.vms[number % len(self.vms)]
                nursery.start_soon(self._call, vm, number)
                await trio.sleep(1 / self.rate)

    async def _call(self, vm, number):
        began = trio.current_time()
        try:
            answer = await vm.call(f'/lookup/{number}', id=f'c{number}')
        except (OSError, trio.BrokenResourceError):
            return
        self.answers.append((began, answer.status))

    def served(self, since, until):
        return sum(
            status == 200
            for began, status in self.answers
            if since <= began < until
        )


async def open_fleet(site, factories, *, vms=6, zones=2):
    fleet = [
        await site.add_vm(
            f'vm{place}',
            zone=f'z{place % zones + 1}',
            slots=2,
            service_time=0.04,
            cold_time=COLD_S,
            cold_rate=CRASH_RATE,
            down_time=0.5,
            # Old enough not to count as a start during traffic.
            born=100,
        )
        for place in range(vms)
    ]
    site.store.write_as_operator('config', cold_document(factories))
    await site.wait_until_converged()
    await site.wait_until_configured(2)
    await trio.sleep(COLD_S + 1)
    return fleet


def most_in_a_second(upstream, since, until):
    times = [one.at for one in upstream.executions if since <= one.at < until]
    return max(
        (sum(begin <= one < begin + 1 for one in times) for begin in times),
        default=0,
    )


def run_under_load(run_scenario, factories, scenario, *, rate, **options):
    async def main(site):
        vms = await open_fleet(site, factories, **options)
        load = Load(vms, rate)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(3)
            await scenario(site, vms, load)
            nursery.cancel_scope.cancel()

    run_scenario(main, clock=MockClock(autojump_threshold=0))


def test_an_upstream_that_turns_cold_without_a_word_survives(
    run_scenario, factories
):
    """Guards against a flood before the first sign of an upstream."""

    async def scenario(site, vms, load):
        upstream = vms[0].upstream
        began = trio.current_time()
        upstream.turn_cold(COLD_S)
        await trio.sleep(COLD_S)
        assert most_in_a_second(upstream, began, began + COLD_S) <= ALLOWED
        assert not upstream.crashed_at

    run_under_load(run_scenario, factories, scenario, rate=200)


def test_two_thirds_of_a_service_come_back_without_a_second_fall(
    run_scenario, factories
):
    """Guards against a crash loop of cold upstreams under a burst."""

    async def scenario(site, vms, load):
        for vm in vms[:4]:
            vm.upstream.crash()
        began = trio.current_time()
        await trio.sleep(RECOVERY_S)
        for vm in vms[:4]:
            assert len(vm.upstream.crashed_at) == 1
        now = trio.current_time()
        assert load.served(now - 2, now - 1) > 0.9 * load.rate
        assert load.served(began + 1, began + 4) > 0

    run_under_load(run_scenario, factories, scenario, rate=200)


def test_a_cold_upstream_is_paced_across_a_restart_of_its_daemon(
    run_scenario, factories
):
    """Guards against a restarted owner that does not know it is cold."""

    async def scenario(site, vms, load):
        upstream = vms[0].upstream
        began = trio.current_time()
        upstream.turn_cold(COLD_S)
        await trio.sleep(0.8)
        await vms[0].kill()
        await vms[0].start()
        await trio.sleep(COLD_S - 1)
        assert most_in_a_second(upstream, began, began + COLD_S) <= ALLOWED
        assert not upstream.crashed_at

    run_under_load(run_scenario, factories, scenario, rate=200)


def test_services_without_a_bound_are_not_probed(run_scenario):
    """Guards against health checks where nothing depends on them."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        for number in range(30):
            await vm.call(f'/lookup/{number}', id=f'r{number}')
        assert vm.upstream.health_checks == 0

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
