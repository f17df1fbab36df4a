"""Which daemons read the store, and which are notified by others."""

from zlib import crc32

import pytest
import trio
from trio.testing import MockClock

from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_sidecar.state.distribution import (
    BEHIND_TIMEOUT,
    NOTICE_PERIOD,
    NOTICE_TIMEOUT,
    PROBERS,
    READERS_WITH_FEW_ZONES,
    READING_ZONES,
    STANDBY_RANKS,
    TREE_FANOUT,
    DistributionTree,
)


def make_table(count, *, leaving=(), zones='abc'):
    table = MemberTable()
    for place in range(count):
        for zone in zones:
            name = f'{zone}{place}'
            table.merge(
                MemberRecord(
                    vm=name,
                    incarnation=1,
                    sequence=0,
                    availability_zone=zone,
                    calls=f'{name}:1',
                    gossip=f'{name}:2',
                    leaving=name in leaving,
                ),
            )
    return table


def play(scene):
    trio.run(scene, clock=MockClock(autojump_threshold=0))


class Fleet:
    """All daemons of some zones; notices are delivered without delay.

    :ivar down: daemons that neither send nor receive.
    :ivar cut: daemons that the store does not answer.
    """

    def __init__(self, count, *, leaving=(), zones='abcd'):
        self.table = make_table(count, leaving=leaving, zones=zones)
        self.zones = sorted(zones, key=lambda zone: crc32(zone.encode()))
        self.trees = {
            record.vm: DistributionTree(self.table, record.vm)
            for record in self.table
        }
        self.down = set()
        self.cut = set()
        for tree in self.trees.values():
            tree.await_notice(NOTICE_TIMEOUT)

    def vm_at(self, rank, zone_rank=0):
        """Find the daemon of a given rank in the zone of a given rank."""
        zone = self.zones[zone_rank]
        found = [
            vm
            for vm, tree in self.trees.items()
            if vm.startswith(zone) and tree.rank == rank
        ]
        return found[0]

    def vms_in_zone(self, zone_rank=0):
        zone = self.zones[zone_rank]
        return {vm for vm in self.trees if vm.startswith(zone)}

    def reading_vms(self):
        return {
            vm
            for vm, tree in self.trees.items()
            if vm not in self.down and tree.must_read()
        }

    def deliver_notices(self):
        """Deliver one round of notices, and the answers of the store.

        A notice is passed on as soon as it arrives.
        """
        by_zone = {zone: place for place, zone in enumerate(self.zones)}
        for vm, tree in sorted(
            self.trees.items(),
            key=lambda pair: (by_zone[pair[0][0]], pair[1].rank),
        ):
            if vm in self.down:
                continue
            is_answered = tree.must_read() and vm not in self.cut
            tree.note_answered(is_answered=is_answered)
            is_informed = is_answered or (
                not tree.must_read() and tree.is_informed
            )
            for child in tree.children:
                if child.vm in self.down:
                    continue
                if is_informed:
                    age = 0 if is_answered else tree.notice_age
                    self.trees[child.vm].note_notice(age)
                elif tree.must_read() or tree.is_stalled:
                    self.trees[child.vm].note_stalled(vm)

    async def run(self, seconds):
        """Run for some seconds.

        :returns: the most daemons that read at a time, and those that read at
            the end.
        """
        peak = 0
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            self.deliver_notices()
            for _ in range(12):
                before = self.reading_vms()
                await trio.sleep(NOTICE_PERIOD / 12)
                peak = max(peak, len(self.reading_vms()))
                if self.reading_vms() - before:
                    # A daemon that starts to read notifies others at once.
                    self.deliver_notices()
        return peak, self.reading_vms()


@pytest.mark.parametrize('count', [1, 2, 3, 4, 17, 300])
def test_every_daemon_reads_or_is_notified(count):
    async def scene():
        trees = Fleet(count).trees
        readers = {vm for vm, tree in trees.items() if tree.is_reader}
        notified = {
            child.vm for tree in trees.values() for child in tree.children
        }
        assert len(readers) == READING_ZONES
        assert notified | readers == set(trees)
        assert all(
            len(tree.children) <= 2 * TREE_FANOUT
            for tree in trees.values()
            if not tree.is_reader
        )

    play(scene)


@pytest.mark.parametrize('zones', ['a', 'ab'])
def test_each_zone_has_more_readers_if_there_are_few_zones(zones):
    # A reader that is cut off from the store notices this only when its read
    # is overdue. Without readers in other zones nobody would notify it of a
    # change.
    async def scene():
        trees = Fleet(10, zones=zones).trees
        readers = [vm for vm, tree in trees.items() if tree.is_reader]
        assert len(readers) == READERS_WITH_FEW_ZONES * len(zones)

    play(scene)


@pytest.mark.parametrize('count', [3, 5, 33])
@pytest.mark.parametrize('zones', ['abcd', 'abcdef', 'abcdefghijklmnopqrstu'])
def test_the_number_of_readers_does_not_depend_on_the_zones(count, zones):
    async def scene():
        fleet = Fleet(count, zones=zones)
        peak, reading_vms = await fleet.run(5)
        assert peak == READING_ZONES
        assert reading_vms == {
            fleet.vm_at(0, zone) for zone in range(READING_ZONES)
        }

    play(scene)


@pytest.mark.parametrize('count', [5, 33, 100])
@pytest.mark.parametrize('lost', [1, 2])
def test_the_next_rank_replaces_a_silent_reader(count, lost):
    # The reader is killed or frozen. If no daemon replaced it, its zone would
    # keep an old configuration; if all of them did, the zone would read the
    # store many times over.
    async def scene():
        fleet = Fleet(count)
        await fleet.run(3)
        fleet.down = {fleet.vm_at(rank) for rank in range(lost)}
        _, reading_vms = await fleet.run(2)
        assert fleet.vm_at(lost) in reading_vms
        peak, reading_vms = await fleet.run(5)
        assert reading_vms & fleet.vms_in_zone() == {fleet.vm_at(lost)}
        assert peak <= READING_ZONES + 2

    play(scene)


def test_another_zone_reads_if_all_reading_zones_are_lost():
    async def scene():
        fleet = Fleet(20, zones='abcdef')
        await fleet.run(3)
        for zone in range(READING_ZONES):
            fleet.down |= fleet.vms_in_zone(zone)
        _, reading_vms = await fleet.run(2.5)
        assert fleet.vm_at(0, READING_ZONES) in reading_vms
        _, reading_vms = await fleet.run(5)
        assert reading_vms == {fleet.vm_at(0, READING_ZONES)}

    play(scene)


def test_a_higher_rank_reads_if_all_standby_ranks_are_lost():
    async def scene():
        fleet = Fleet(60)
        await fleet.run(3)
        fleet.down = {fleet.vm_at(rank) for rank in range(STANDBY_RANKS)}
        await fleet.run(3)
        assert fleet.reading_vms() & fleet.vms_in_zone()
        for vm in fleet.vms_in_zone() - fleet.down - fleet.reading_vms():
            assert not fleet.trees[vm].must_read()

    play(scene)


def test_a_reader_is_replaced_if_only_it_is_cut_off_from_the_store():
    async def scene():
        fleet = Fleet(33)
        await fleet.run(3)
        fleet.cut = {fleet.vm_at(0)}
        _, reading_vms = await fleet.run(3)
        assert reading_vms & fleet.vms_in_zone() == {
            fleet.vm_at(0),
            fleet.vm_at(1),
        }

    play(scene)


@pytest.mark.parametrize('count', [5, 33, 100])
def test_few_daemons_ask_a_store_that_answers_nobody(count):
    # Each call is billed, refused ones too. If all daemons asked, they would
    # make hundreds of calls per second during an outage.
    async def scene():
        fleet = Fleet(count)
        await fleet.run(3)
        fleet.cut = set(fleet.trees)
        await fleet.run(4)
        peak, reading_vms = await fleet.run(10)
        assert peak <= PROBERS * len(fleet.zones)
        readers = {fleet.vm_at(0, zone) for zone in range(READING_ZONES)}
        assert readers <= reading_vms

    play(scene)


@pytest.mark.parametrize('count', [5, 33])
def test_other_daemons_read_a_store_that_refuses_the_readers(count):
    # The store refuses all readers but serves other daemons. If none of these
    # read, an order given meanwhile would be seen only after the readers are
    # served again, and its move would be late.
    async def scene():
        fleet = Fleet(count, zones='abcdef')
        await fleet.run(3)
        fleet.cut = {fleet.vm_at(0, zone) for zone in range(READING_ZONES)}
        _, reading_vms = await fleet.run(0.7)
        served = reading_vms - fleet.cut
        assert {fleet.vm_at(1, zone) for zone in range(READING_ZONES)} <= served

    play(scene)


def test_a_leaving_daemon_has_no_children():
    async def scene():
        first = Fleet(10).vm_at(0)
        fleet = Fleet(10, leaving=(first,))
        notified = {
            child.vm
            for vm, tree in fleet.trees.items()
            for child in tree.children
            if vm != first
        }
        readers = {vm for vm, tree in fleet.trees.items() if tree.is_reader}
        assert notified | readers | {first} == set(fleet.trees)
        assert first not in readers
        assert len(readers) == READING_ZONES

    play(scene)


def test_a_leaving_daemon_without_notices_reads_itself():
    # A stopping daemon serves its callers for some more seconds, but the
    # others have already removed it from the tree.
    async def scene():
        vm = Fleet(10).vm_at(4)
        tree = Fleet(10, leaving=(vm,)).trees[vm]
        tree.note_current()
        assert not tree.must_read()
        await trio.sleep(NOTICE_TIMEOUT + 1)
        assert tree.must_read()

    play(scene)


def test_a_daemon_that_cannot_fetch_a_change_reads_itself():
    # Notices of the parent arrive, but its port for requests does not answer.
    # If the notices alone counted as up to date, the child would keep an old
    # configuration for as long as this lasts.
    async def scene():
        fleet = Fleet(10)
        child = fleet.trees[fleet.vm_at(5)]
        child.note_current()
        child.note_behind()
        assert not child.must_read()
        await trio.sleep(BEHIND_TIMEOUT / 2)
        child.note_behind()
        assert not child.must_read()
        await trio.sleep(BEHIND_TIMEOUT / 2 + 0.1)
        assert child.must_read()
        child.note_current()
        assert not child.must_read()

    play(scene)


def test_a_reader_notifies_the_lowest_ranks_of_other_zones():
    async def scene():
        fleet = Fleet(10, zones='abc')
        reader = fleet.trees[fleet.vm_at(0)]
        lowest = {
            fleet.vm_at(rank, zone) for rank in range(2) for zone in (1, 2)
        }
        assert {record.vm for record in reader.zone_contacts} == lowest

    play(scene)


@pytest.mark.parametrize('count', [12, 40, 300])
def test_a_daemon_above_the_standby_ranks_has_two_parents(count):
    # A parent that is cut off from the store and has not noticed yet reports
    # that nothing is new. Its children need the change from another parent.
    async def scene():
        fleet = Fleet(count, zones='abc')
        parents = {vm: set() for vm in fleet.trees}
        for vm, tree in fleet.trees.items():
            for child in tree.children:
                parents[child.vm].add(vm)
        for rank in range(STANDBY_RANKS, count):
            assert len(parents[fleet.vm_at(rank)]) == 2

    play(scene)


def test_a_daemon_of_lower_rank_that_joins_may_have_stalled_before():
    """Guards against a daemon that ends when the ranks change in an outage.

    Its own rank was the lowest when it heard that the other one had stalled.
    """

    async def scene():
        fleet = Fleet(10)
        first, second = (fleet.vm_at(rank) for rank in range(2))
        table = make_table(10, leaving=(first,), zones='abcd')
        tree = DistributionTree(table, second)
        assert tree.rank == 0
        tree.note_stalled(first)
        table.merge(
            MemberRecord(
                vm=first,
                incarnation=2,
                sequence=0,
                availability_zone=first[0],
                calls=f'{first}:1',
                gossip=f'{first}:2',
            )
        )
        assert tree.rank == 1
        assert tree.must_read()

    play(scene)
