"""How long a change takes from the store to all daemons, on a virtual clock.

Each case states the faults at the moment of the acknowledgement. The daemons
are real but for sockets: delays of the network and of the store are fixed.
"""

from itertools import combinations_with_replacement, permutations
from random import Random

import pytest
import trio
from returns.result import Success
from trio.testing import MockClock

from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_policy.rumors import Neighbours
from verbenamill_sidecar.membership.notices import Notices
from verbenamill_sidecar.protocol import PublishedRecords
from verbenamill_sidecar.state.desired_state import DesiredState, StateSnapshot
from verbenamill_sidecar.state.distribution import (
    READING_ZONES,
    DistributionTree,
)
from verbenamill_sidecar.state.store_follower import (
    LONG_POLL_TIMEOUT,
    Follower,
)

#: Time from the acknowledgement of a change until it must be in force, in
#: seconds.
APPLY_BOUND = 2.0
#: One way between two daemons, in seconds; a fetch takes two round trips.
LATENCY = 0.01
#: Transfer of a configuration from the store, and from another daemon, over a
#: link of 10 Mbit/s, in seconds.
STORE_TRANSFER = 0.12
PEER_TRANSFER = 0.02
RUMOR_PERIOD = 0.1
#: Time until the readers hold their reads open, in seconds.
WARM_UP = 0.7
ZONES = 'abcd'
#: Faults of one daemon. ``dead`` neither sends nor receives. ``unserved`` gets
#: no answers of the store, in silence. ``mute`` answers no fetch. ``deaf``
#: receives no datagram. ``slow`` takes half a second for each step.
FAULTS = ('dead', 'unserved', 'mute', 'deaf', 'slow')


class Log:
    """What the operator has written; holds reads open."""

    def __init__(self):
        self.version = 1
        self.written = trio.Event()

    def write(self, version):
        self.version = version
        self.written.set()

    @property
    def records(self):
        return PublishedRecords(
            next_position=self.version,
            configuration=Configuration(
                version=self.version,
                routes=(),
                services=frozenset(),
                limits=Limits(),
            ),
        )


class StoreLink:
    """The path of one daemon to the store."""

    calls = 0

    def __init__(self, fleet, daemon):
        self._log = fleet.log
        self._daemon = daemon
        self._fleet = fleet

    async def read_newest(self):
        self._fleet.calls += 1
        await self._pass()
        records = self._log.records
        await trio.sleep(STORE_TRANSFER)
        await self._pass()
        return Success(records)

    async def read_from(self, position, wait):
        self._fleet.calls += 1
        await self._pass()
        with trio.move_on_after(wait):
            if self._log.version <= position:
                await self._log.written.wait()
        if self._log.version <= position:
            await self._pass()
            return Success(PublishedRecords(next_position=position))
        await trio.sleep(STORE_TRANSFER)
        await self._pass()
        return Success(self._log.records)

    async def is_reachable(self):
        await self._pass()
        return True

    async def _pass(self):
        await trio.sleep(LATENCY)
        if self._daemon.faults & {'unserved', 'dead'}:
            await trio.sleep_forever()
        await self._daemon.work()


class Daemon:
    """The parts of a daemon that spread changes."""

    def __init__(self, fleet, record):
        self.vm = record.vm
        self.faults = set()
        self._fleet = fleet
        self.applied_at = None
        self.state = DesiredState()
        self.state.apply_stored_verdicts([])
        self.tree = DistributionTree(fleet.table, record.vm)
        random = Random(record.vm)
        self.follower = Follower(
            store=StoreLink(fleet, self),
            desired_state=self.state,
            fetch=self._fetch,
            random=random,
            tree=self.tree,
            notify=lambda kind: self.notices.notify(kind),
        )
        self.notices = Notices(
            record.vm,
            desired_state=self.state,
            follower=self.follower,
            tree=self.tree,
            neighbours=Neighbours(
                fleet.table, record, random=random, is_suspect=lambda _: False
            ),
            send=self._send,
        )

    async def work(self):
        """Take the time of one step of the program."""
        await trio.sleep(0.5 if 'slow' in self.faults else 0)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            while True:
                await trio.sleep(RUMOR_PERIOD)
                self.notices.next_round()

    async def receive(self, message):
        await trio.sleep(LATENCY)
        await self.work()
        if not self.faults & {'dead', 'deaf'}:
            self.notices.handle(message)

    async def serve(self):
        if self.faults & {'dead', 'mute'}:
            await trio.sleep_forever()
        await self.work()
        return StateSnapshot(
            configuration=self.state.snapshot.configuration, has_verdicts=True
        )

    async def _fetch(self, vm):
        await trio.sleep(4 * LATENCY + PEER_TRANSFER)
        snapshot = await self._fleet.daemons[vm].serve()
        await self.work()
        return snapshot

    def _send(self, record, message):
        if 'dead' not in self.faults:
            receiver = self._fleet.daemons[record.vm]
            self._fleet.nursery.start_soon(receiver.receive, message)


class Fleet:
    """Daemons of four zones that run the first version."""

    def __init__(self, nursery, count):
        self.nursery = nursery
        self.table = MemberTable()
        self.log = Log()
        self.calls = 0
        for place in range(count):
            zone = ZONES[place % len(ZONES)]
            address = f'127.{place // 250}.{place % 250}.1'
            self.table.merge(
                MemberRecord(
                    vm=f'{zone}{place}',
                    incarnation=1,
                    sequence=0,
                    availability_zone=zone,
                    calls=f'{address}:1',
                    gossip=f'{address}:2',
                )
            )
        self.daemons = {
            record.vm: Daemon(self, record) for record in self.table
        }
        for daemon in self.daemons.values():
            daemon.state.apply_configuration(
                self.log.records.configuration, 'test'
            )
            daemon.tree.await_notice(2)
            daemon.follower.start_reading()
            nursery.start_soon(daemon.run)

    def find(self, zone_rank, rank):
        """The daemon of a rank in the zone of a rank."""
        return next(
            daemon
            for daemon in self.daemons.values()
            if daemon.tree.rank == rank and daemon.tree._zone_rank == zone_rank
        )

    async def spread(self, version):
        """Publish a version.

        :returns: seconds until the daemons without a fault have it; the bound
            and more if some do not.
        """
        began = trio.current_time()
        self.log.write(version)
        healthy = [one for one in self.daemons.values() if not one.faults]
        with trio.move_on_after(APPLY_BOUND + 0.5):
            while any(one.state.version < version for one in healthy):
                await trio.sleep(0.01)
        return trio.current_time() - began


def measure(count, faults, *, age=0.0):
    """Measure how long a change takes to reach the daemons without a fault.

    :param faults: pairs of a fault and the place of the daemon: zone and rank.
    :param age: time from the faults to the acknowledgement, in seconds.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, count)
            await trio.sleep(WARM_UP)
            for fault, place in faults:
                fleet.find(*place).faults.add(fault)
            await trio.sleep(age)
            elapsed = await fleet.spread(2)
            nursery.cancel_scope.cancel()
        return elapsed

    return trio.run(main, clock=MockClock(autojump_threshold=0))


#: Zone and rank of a reader, its substitute, another reader, and both contacts
#: of a zone without a reader.
PLACES = ((0, 0), (0, 1), (1, 0), (3, 0), (3, 1))


@pytest.mark.parametrize('count', [12, 86, 300])
def test_a_change_is_in_force_soon_without_faults(count):
    assert measure(count, ()) <= APPLY_BOUND / 2


@pytest.mark.parametrize('fault', FAULTS)
def test_a_change_is_in_force_in_time_with_a_single_fault(fault):
    """Guards against a part of the fleet that hangs on one daemon."""
    late = {
        place: elapsed
        for place in PLACES
        if (elapsed := measure(86, [(fault, place)])) > APPLY_BOUND
    }
    assert not late


@pytest.mark.parametrize(
    ('fault', 'other'), list(combinations_with_replacement(FAULTS, 2))
)
def test_a_change_is_in_force_in_time_with_two_faults(fault, other):
    """Guards against a part of the fleet that hangs on two daemons."""
    late = {
        pair: elapsed
        for pair in permutations(PLACES, 2)
        if (elapsed := measure(24, [(fault, pair[0]), (other, pair[1])]))
        > APPLY_BOUND
    }
    assert not late


@pytest.mark.parametrize('count', [12, 86, 300])
def test_a_change_is_in_force_in_time_if_no_reader_is_served(count):
    """Guards against readers that fail in silence all at once."""
    faults = [('unserved', (zone, 0)) for zone in range(3)]
    assert measure(count, faults) <= APPLY_BOUND


@pytest.mark.parametrize('count', [12, 86])
def test_calm_costs_few_calls_whatever_the_size(count):
    """Guards against calls to the store that grow with the fleet."""
    seconds = 12

    async def count_calls():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, count)
            await trio.sleep(WARM_UP)
            before = fleet.calls
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()
        return fleet.calls - before

    calls = trio.run(count_calls, clock=MockClock(autojump_threshold=0))
    # Each of the readers begins a read once the last one has ended.
    assert calls <= READING_ZONES * (seconds / LONG_POLL_TIMEOUT + 1)
