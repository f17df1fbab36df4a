"""Long random runs of two zones with everything failing, seeds fixed.

While it runs, no daemon's version goes back, and any two daemons at the same
offset have the same state. Once all is mended, all have the state that the
log leads to, the same members and the same topics.
"""

from datetime import timedelta
from random import Random

import pytest
import trio

from verbenamill_mesh.testing import LogConnection, MemoryLog, wait_until
from verbenamill_model import State, fold
from verbenamill_model.traffic import Upstream
from verbenamill_runtime.streams import CONFIG_STREAM

ZONE_SIZE = 5
STEPS = 120


class Run:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = Random(seed)
        self.views = {zone: LogConnection(fleet.log) for zone in 'ab'}
        self.lost = 0
        self.parted = False
        self.deaf = set()
        self.moves = 0
        self.started = 0
        self.digests = {}
        self.actions = (
            *[self.publish] * 6,
            *[self.put_veto] * 2,
            self.publish_again,
            self.publish_broken,
            self.announce,
            self.kill,
            self.leave,
            self.restart,
            self.restart,
            self.fail_log,
            self.mend_log,
            self.lose_answers,
            self.part_zones,
            self.join_zones,
            self.lose_messages,
            self.lose_none,
            self.silence,
            self.deafen,
        )

    async def play(self):
        self.fleet.network.is_lost = self.is_lost
        for zone in 'ab':
            for _ in range(ZONE_SIZE):
                await self.start(zone)
        for _ in range(STEPS):
            await self.random.choice(self.actions)()
            await trio.sleep(self.random.expovariate(1))

    async def watch(self):
        """What must hold at any moment."""
        versions = {}
        while True:
            for daemon in self.fleet.daemons.values():
                configuration = daemon.configuration
                version = configuration.snapshot.version
                assert version >= versions.get(daemon, -1)
                versions[daemon] = version
                head = configuration.head()
                known = self.digests.setdefault(head.offset, head.digest)
                assert known == head.digest, 'two states at one offset'
            await trio.sleep(0.05)

    async def settle(self):
        """Mend everything; all must agree in a minute."""
        self.lost = 0
        self.parted = False
        self.deaf.clear()
        for view in self.views.values():
            view.is_down = False
        self.fleet.log.loses_answers = False
        offset = self.fleet.publish()
        fleet = self.fleet
        await wait_until(lambda: fleet.all_at(offset))
        # Islands of daemons that never met find each other by addresses on
        # the log, which are written twice a minute.
        await wait_until(
            lambda: fleet.all_know(len(fleet.daemons)),
            within=timedelta(minutes=3),
        )
        expected = {f'm{place}' for place in range(self.moves)}
        await wait_until(
            lambda: all(
                d.mesh.entries('moves').keys() == expected and d.mesh.ready
                for d in fleet.daemons.values()
            )
        )
        whole = fold(State(), tuple(fleet.log.records(CONFIG_STREAM))).unwrap()
        for daemon in fleet.daemons.values():
            assert daemon.configuration.head().digest == whole.digest

    def is_lost(self, source, target):
        return (
            source in self.deaf
            or target in self.deaf
            or (self.parted and source[0] != target[0])
            or self.random.random() < self.lost
        )

    def any_daemon(self):
        return self.random.choice(sorted(self.fleet.daemons))

    def zone_size(self, zone):
        return sum(name[0] == zone for name in self.fleet.daemons)

    async def start(self, zone):
        self.started += 1
        await self.fleet.start(
            f'{zone}-{self.started}',
            zone=zone,
            seeds=('a-1', 'b-6'),
            log=self.views[zone],
        )

    async def publish(self):
        self.fleet.publish()

    async def publish_again(self):
        records = self.fleet.log.records(CONFIG_STREAM)
        if records:
            body = self.random.choice(records).body
            self.fleet.log.put(CONFIG_STREAM, body)

    async def publish_broken(self):
        self.fleet.log.put(CONFIG_STREAM, b'{"type": "ticket"')

    async def put_veto(self):
        mesh = self.fleet.daemons[self.any_daemon()].mesh
        mesh.put('moves', f'm{self.moves}', b'veto')
        self.moves += 1
        # One that dies with its news at once takes it along, rightly.
        await trio.sleep(0.5)

    async def announce(self):
        state = self.random.choice(['starting', 'ready', 'draining'])
        self.fleet.daemons[self.any_daemon()].mesh.announce_upstream(
            Upstream(
                service='s', version='v', state=state, slots=1, connections=1
            )
        )

    def is_known(self, name):
        """Whether others of its zone hold what a daemon knows.

        What only it knew is lost with it, rightly.
        """
        known = self.fleet.daemons[name].mesh.entries('moves').keys()
        return any(
            known <= daemon.mesh.entries('moves').keys()
            for other, daemon in self.fleet.daemons.items()
            if other != name and other[0] == name[0]
        )

    async def kill(self):
        name = self.any_daemon()
        if self.zone_size(name[0]) > 2 and self.is_known(name):
            self.deaf.discard(name)
            self.fleet.kill(name)

    async def leave(self):
        name = self.any_daemon()
        if self.zone_size(name[0]) > 3 and self.is_known(name):
            await self.fleet.daemons[name].mesh.leave()
            self.deaf.discard(name)
            self.fleet.kill(name)

    async def restart(self):
        zone = self.random.choice('ab')
        if self.zone_size(zone) < ZONE_SIZE:
            await self.start(zone)

    async def fail_log(self):
        zones = self.random.choice(['a', 'b', 'ab'])
        for zone in zones:
            self.views[zone].is_down = True

    async def lose_answers(self):
        self.fleet.log.loses_answers = not self.fleet.log.loses_answers

    async def mend_log(self):
        for view in self.views.values():
            view.is_down = False

    async def part_zones(self):
        self.parted = True

    async def join_zones(self):
        self.parted = False

    async def lose_messages(self):
        self.lost = self.random.choice([0.1, 0.5])

    async def lose_none(self):
        self.lost = 0

    async def silence(self):
        self.fleet.network.silence_links()

    async def deafen(self):
        self.deaf ^= {self.any_daemon()}


@pytest.mark.parametrize('seed', range(4))
def test_everything_fails_at_random(run_fleet, seed):
    async def scenario(fleet):
        run = Run(fleet, seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.watch)
            await run.play()
            await run.settle()
            nursery.cancel_scope.cancel()

    run_fleet(scenario, seed=seed, log=MemoryLog(max_records=60))
