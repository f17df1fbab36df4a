"""The tree in a zone: every daemon is fed by exactly one other."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_sidecar.feeding import (
    FANOUT,
    HUNGRY_AFTER,
    READERS,
    STARVED_AFTER,
    Feeding,
)


def make_table(count, *, leaving=()):
    table = MemberTable()
    for place in range(count):
        for zone in 'ab':
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


@pytest.mark.parametrize('count', [1, 2, 3, 4, 17, 300])
def test_all_but_the_readers_have_one_parent(count):
    table = make_table(count)
    feedings = {f'a{n}': Feeding(table, f'a{n}') for n in range(count)}
    readers = [vm for vm, one in feedings.items() if one.is_reader]
    fed = [child.vm for one in feedings.values() for child in one.children]
    assert len(readers) == min(READERS, count)
    assert sorted([*readers, *fed]) == sorted(feedings)
    assert all(len(one.children) <= FANOUT for one in feedings.values())


def test_who_leaves_feeds_nobody():
    whole = make_table(10)
    first = next(f'a{n}' for n in range(10) if Feeding(whole, f'a{n}').children)
    table = make_table(10, leaving=(first,))
    fed = [
        child.vm
        for n in range(10)
        if f'a{n}' != first
        for child in Feeding(table, f'a{n}').children
    ]
    readers = [
        f'a{n}'
        for n in range(10)
        if f'a{n}' != first and Feeding(table, f'a{n}').is_reader
    ]
    assert len(fed) + len(readers) == 9


def test_who_is_not_fed_reads_by_itself():
    # The parent was killed, or is cut off from the store itself. Its child
    # would run an old configuration for as long as nobody else tells it.
    async def scene():
        table = make_table(10)
        hungry = next(
            feeding
            for feeding in (Feeding(table, f'a{n}') for n in range(10))
            if not feeding.is_reader
        )
        assert hungry.must_read()
        hungry.feed()
        assert not hungry.must_read()
        await trio.sleep(HUNGRY_AFTER + 0.1)
        assert hungry.must_read()

    trio.run(scene, clock=MockClock(autojump_threshold=0))


def test_who_hears_of_news_and_does_not_get_them_reads_by_itself():
    # Notices of the parent get through, and its port for requests does not
    # answer. Taken as fed, the child would run an old configuration for as
    # long as that lasts.
    async def scene():
        table = make_table(10)
        starved = next(
            feeding
            for feeding in (Feeding(table, f'a{n}') for n in range(10))
            if not feeding.is_reader
        )
        starved.feed()
        starved.starve()
        assert not starved.must_read()
        await trio.sleep(STARVED_AFTER / 2)
        starved.starve()
        assert not starved.must_read()
        await trio.sleep(STARVED_AFTER / 2 + 0.1)
        assert starved.must_read()
        starved.feed()
        assert not starved.must_read()

    trio.run(scene, clock=MockClock(autojump_threshold=0))


def test_readers_know_each_other():
    table = make_table(10)
    feedings = {f'a{n}': Feeding(table, f'a{n}') for n in range(10)}
    readers = {vm for vm, one in feedings.items() if one.is_reader}
    for vm, one in feedings.items():
        others = {record.vm for record in one.other_readers}
        assert others == readers - {vm}


def test_who_leaves_reads_by_itself():
    # A daemon that stops serves its callers for some seconds more. The others
    # have taken it out of the tree, so that nobody feeds it; a new route
    # would be refused there until its end.
    async def scene():
        whole = make_table(10)
        names = [f'a{n}' for n in range(10)]
        fed = next(vm for vm in names if not Feeding(whole, vm).is_reader)
        feeding = Feeding(make_table(10, leaving=(fed,)), fed)
        feeding.feed()
        assert feeding.must_read()

    trio.run(scene, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize('count', [5, 12, 40, 300])
def test_a_second_parent_tells_the_children_as_well(count):
    # The parent is cut off from the store and has not noticed yet: it says
    # that nothing is new. Its children need the news from somebody else.
    table = make_table(count)
    feedings = {f'a{n}': Feeding(table, f'a{n}') for n in range(count)}
    parents = {vm: set() for vm in feedings}
    for vm, one in feedings.items():
        for child in (*one.children, *one.wards):
            parents[child.vm].add(vm)
    for vm, one in feedings.items():
        assert len(parents[vm]) == (0 if one.is_reader else 2)


def test_a_child_is_reached_although_one_reader_is_not():
    table = make_table(300)
    feedings = {f'a{n}': Feeding(table, f'a{n}') for n in range(300)}
    readers = [vm for vm, one in feedings.items() if one.is_reader]
    for cut in readers:
        reached = set(readers) - {cut}
        wave = list(reached)
        while wave:
            one = feedings[wave.pop()]
            for child in (*one.children, *one.wards):
                if child.vm not in reached:
                    reached.add(child.vm)
                    wave.append(child.vm)
        assert reached == set(feedings) - {cut}
