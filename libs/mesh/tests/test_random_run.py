"""Long random runs of two zones under all faults, with fixed seeds.

During a run, no daemon's version decreases, and any two daemons at the same
offset have the same state. After all faults are repaired, all daemons have the
state that the log yields, the same members and the same topics.
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


class RandomRun:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = Random(seed)
        self.log_connections = {zone: LogConnection(fleet.log) for zone in 'ab'}
        self.loss_rate = 0
        self.is_partitioned = False
        self.unreachable = set()
        self.moves = 0
        self.started = 0
        self.digests = {}
        self.actions = (
            *[self.publish] * 6,
            *[self.put_veto] * 2,
            self.publish_duplicate,
            self.publish_invalid,
            self.announce,
            self.kill,
            self.leave,
            self.restart,
            self.restart,
            self.cut_log,
            self.restore_log,
            self.toggle_lost_answers,
            self.partition_zones,
            self.reconnect_zones,
            self.start_message_loss,
            self.stop_message_loss,
            self.silence_open_links,
            self.toggle_unreachable,
        )

    async def run_steps(self):
        self.fleet.network.is_lost = self.is_lost
        for zone in 'ab':
            for _ in range(ZONE_SIZE):
                await self.start(zone)
        for _ in range(STEPS):
            await self.random.choice(self.actions)()
            await trio.sleep(self.random.expovariate(1))

    async def check_invariants(self):
        """Check continuously what must hold at any moment."""
        versions = {}
        while True:
            for daemon in self.fleet.daemons.values():
                configuration = daemon.configuration
                version = configuration.snapshot.version
                assert version >= versions.get(daemon, -1)
                versions[daemon] = version
                head = configuration.head()
                known = self.digests.setdefault(head.offset, head.digest)
                assert known == head.digest, 'different states at one offset'
            await trio.sleep(0.05)

    async def repair_and_verify(self):
        """Repair all faults, then check that all daemons agree."""
        self.loss_rate = 0
        self.is_partitioned = False
        self.unreachable.clear()
        for connection in self.log_connections.values():
            connection.is_down = False
        self.fleet.log.loses_answers = False
        offset = self.fleet.publish()
        fleet = self.fleet
        await wait_until(lambda: fleet.all_at(offset))
        # Groups of daemons that never met find each other by addresses on the
        # log, which are written twice a minute.
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
        expected_state = fold(
            State(), tuple(fleet.log.records(CONFIG_STREAM))
        ).unwrap()
        for daemon in fleet.daemons.values():
            assert daemon.configuration.head().digest == expected_state.digest

    def is_lost(self, source, target):
        return (
            source in self.unreachable
            or target in self.unreachable
            or (self.is_partitioned and source[0] != target[0])
            or self.random.random() < self.loss_rate
        )

    def choose_daemon(self):
        return self.random.choice(sorted(self.fleet.daemons))

    def zone_size(self, zone):
        return sum(name[0] == zone for name in self.fleet.daemons)

    async def start(self, zone):
        self.started += 1
        await self.fleet.start(
            f'{zone}-{self.started}',
            zone=zone,
            seeds=('a-1', 'b-6'),
            log=self.log_connections[zone],
        )

    async def publish(self):
        self.fleet.publish()

    async def publish_duplicate(self):
        records = self.fleet.log.records(CONFIG_STREAM)
        if records:
            body = self.random.choice(records).body
            self.fleet.log.put(CONFIG_STREAM, body)

    async def publish_invalid(self):
        self.fleet.log.put(CONFIG_STREAM, b'{"type": "ticket"')

    async def put_veto(self):
        mesh = self.fleet.daemons[self.choose_daemon()].mesh
        mesh.put('moves', f'm{self.moves}', b'veto')
        self.moves += 1
        # A daemon that is killed before it could send the veto loses it, which
        # is correct behaviour.
        await trio.sleep(0.5)

    async def announce(self):
        state = self.random.choice(['starting', 'ready', 'draining'])
        self.fleet.daemons[self.choose_daemon()].mesh.announce_upstream(
            Upstream(
                service='s', version='v', state=state, slots=1, connections=1
            )
        )

    def is_replicated(self, name):
        """Whether another daemon of its zone has all that this one has.

        What only one daemon has is lost when it is killed, which is correct
        behaviour.
        """
        known = self.fleet.daemons[name].mesh.entries('moves').keys()
        return any(
            known <= daemon.mesh.entries('moves').keys()
            for other, daemon in self.fleet.daemons.items()
            if other != name and other[0] == name[0]
        )

    async def kill(self):
        name = self.choose_daemon()
        if self.zone_size(name[0]) > 2 and self.is_replicated(name):
            self.unreachable.discard(name)
            self.fleet.kill(name)

    async def leave(self):
        name = self.choose_daemon()
        if self.zone_size(name[0]) > 3 and self.is_replicated(name):
            await self.fleet.daemons[name].mesh.leave()
            self.unreachable.discard(name)
            self.fleet.kill(name)

    async def restart(self):
        zone = self.random.choice('ab')
        if self.zone_size(zone) < ZONE_SIZE:
            await self.start(zone)

    async def cut_log(self):
        zones = self.random.choice(['a', 'b', 'ab'])
        for zone in zones:
            self.log_connections[zone].is_down = True

    async def toggle_lost_answers(self):
        self.fleet.log.loses_answers = not self.fleet.log.loses_answers

    async def restore_log(self):
        for connection in self.log_connections.values():
            connection.is_down = False

    async def partition_zones(self):
        self.is_partitioned = True

    async def reconnect_zones(self):
        self.is_partitioned = False

    async def start_message_loss(self):
        self.loss_rate = self.random.choice([0.1, 0.5])

    async def stop_message_loss(self):
        self.loss_rate = 0

    async def silence_open_links(self):
        self.fleet.network.silence_links()

    async def toggle_unreachable(self):
        self.unreachable ^= {self.choose_daemon()}


@pytest.mark.parametrize('seed', range(4))
def test_state_converges_after_random_faults(run_fleet, seed):
    async def scenario(fleet):
        random_run = RandomRun(fleet, seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(random_run.check_invariants)
            await random_run.run_steps()
            await random_run.repair_and_verify()
            nursery.cancel_scope.cancel()

    run_fleet(scenario, seed=seed, log=MemoryLog(max_records=60))
