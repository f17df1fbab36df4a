"""Tests of single components of a daemon's mesh."""

from datetime import timedelta
from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from returns.result import Failure, Success

from verbenamill_mesh import MeshSettings, MeshStats
from verbenamill_mesh.links import Links
from verbenamill_mesh.members import MemberRecord, Members, MemberStatus
from verbenamill_mesh.messages import (
    Acknowledgement,
    ApplicationMessage,
    encode,
)
from verbenamill_mesh.ring import RING_SIZE, Arc, neighbours, position_of, split
from verbenamill_mesh.store import Store, Update
from verbenamill_mesh.testing import MemoryNetwork
from verbenamill_model.traffic import Member

checked = settings(derandomize=True, max_examples=100, deadline=None)
names = st.sets(st.integers(0, 400).map('vm-{}'.format), max_size=60)


def member(name, incarnation=0):
    return Member(
        id=name,
        availability_zone='a',
        region='r',
        control=name,
        calls='',
        incarnation=incarnation,
    )


def test_a_request_on_a_silent_link_gets_its_answer_on_a_new_one():
    """The connection to a healthy peer stops carrying messages.

    The request still gets its answer, one timeout late, and the silent
    connection is closed.
    """
    network = MemoryNetwork(Random(1))
    stats = MeshStats()
    links = Links(
        own_id='vm-1',
        availability_zone='a',
        transport=network.transport('vm-1'),
        settings=MeshSettings(),
        stats=stats,
        is_cut=lambda _: False,
    )

    async def answer(body):
        return encode(Acknowledgement())

    async def main():
        network.listen('vm-2', answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            assert await links.send_request(
                'vm-2', ApplicationMessage('k', b'')
            ) == Success(Acknowledgement())
            network.silence_links()
            before = trio.current_time()
            assert await links.send_request(
                'vm-2', ApplicationMessage('k', b'')
            ) == Success(Acknowledgement())
            assert trio.current_time() - before < 1
            assert stats.links_replaced == 1
            network.close('vm-2')
            reply = await links.send_request(
                'vm-2', ApplicationMessage('k', b'')
            )
            assert isinstance(reply, Failure)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_request_is_not_lost_when_its_link_becomes_idle():
    """A request is queued at the moment when its link is closed as idle.

    Such a request stayed in the queue of a task that had ended, and its sender
    waited for ever: the daemon exchanged nothing any more, although it seemed
    healthy.
    """
    network = MemoryNetwork(Random(1), delay=timedelta(0))
    links = Links(
        own_id='vm-1',
        availability_zone='a',
        transport=network.transport('vm-1'),
        settings=MeshSettings(link_idle_timeout=timedelta(seconds=1)),
        stats=MeshStats(),
        is_cut=lambda _: False,
    )

    async def answer(body):
        return encode(Acknowledgement())

    async def main():
        network.listen('vm-2', answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            for _ in range(50):
                with trio.move_on_after(10) as scope:
                    await links.send_request(
                        'vm-2', ApplicationMessage('k', b'')
                    )
                assert not scope.cancelled_caught
                await trio.sleep(1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_tombstone_of_an_unknown_member_is_ignored():
    """Daemons remove tombstones at different times.

    If a daemon that has removed one accepted it again from another daemon, the
    tombstone would circulate for ever.
    """
    members = Members(member('vm-1'), Store(), on_refutation_needed=int)
    other = Members(member('vm-2'), Store(), on_refutation_needed=int)
    alive = other.update_own_record()
    assert members.merge_update(alive)
    tombstone = members.declare_status('vm-2', MemberStatus.DEAD)
    assert not members.merge_update(alive), (
        'an older record does not supersede a tombstone'
    )
    members.forget('vm-2')
    assert not members.merge_update(tombstone)
    assert members.record('vm-2') is None
    assert members.merge_update(other.update_own_record()), (
        'a newer record of the member does'
    )


def test_a_dropped_key_is_not_restored():
    stores = [Store(), Store()]
    for store in stores:
        store.add_topic('moves', lambda old, new: max(old or b'', new))
        store.merge(Update('moves', 'k', b'v'))
    stores[0].drop('moves', lambda key: False)
    assert exchange(*stores)[0] == []
    assert not stores[0].merge(Update('moves', 'k', b'w'))
    assert stores[0].entries('moves') == {}


def exchange(own, other):
    buckets, hashes = other.find_differing_buckets(own.buckets())
    return own.plan_exchange(buckets, tuple(hashes))


keys = st.integers(0, 30).map(str)
values = st.dictionaries(keys, st.binary(min_size=1, max_size=2), max_size=20)


@checked
@given(values, values)
def test_an_exchange_makes_two_stores_equal(left, right):
    stores = [Store(), Store()]
    for store, initial in zip(stores, (left, right)):
        store.add_topic('t', lambda old, new: max(old or b'', new))
        for key, value in initial.items():
            store.merge(Update('t', key, value))
    own, other = stores
    to_fetch, to_push = exchange(own, other)
    for update in other.look_up(tuple(to_fetch)):
        own.merge(update)
        newer = own.find_newer(update)
        if newer is not None:
            other.merge(newer)
    for update in to_push:
        other.merge(update)
    assert own.entries('t') == other.entries('t')
    assert own.root() == other.root()


@checked
@given(names, st.integers(1, 5), st.integers(0, RING_SIZE - 1))
def test_a_broadcast_tree_reaches_each_member_once(members, arity, start):
    """Each daemon splits the arc it was given; together they cover it."""
    reached = []

    def deliver(arc, own):
        for part in arc.without(position_of(own)):
            for branch in split(part, members - {own}, arity):
                reached.append(branch.delegates[0])
                deliver(branch.arc, branch.delegates[0])

    deliver(Arc(start, RING_SIZE), 'root')
    assert sorted(reached) == sorted(members)


@checked
@given(names, st.integers(2, 5))
def test_a_broadcast_tree_reaches_members_unknown_to_the_root(members, arity):
    reached = set()

    def deliver(arc, own, known):
        for part in arc.without(position_of(own)):
            for branch in split(part, known - {own}, arity):
                reached.add(branch.delegates[0])
                deliver(branch.arc, branch.delegates[0], members)

    known = set(sorted(members)[::2])
    deliver(Arc(0, RING_SIZE), 'root', known)
    if known:
        assert reached == members


@checked
@given(names)
def test_neighbours_are_few_and_connect_all_members(members):
    for own in members:
        assert len(neighbours(own, members)) <= 2 * len(members).bit_length()
    reached = set(sorted(members)[:1])
    while True:
        more = {other for own in reached for other in neighbours(own, members)}
        if more <= reached:
            break
        reached |= more
    assert reached == members


def test_a_fast_restart_supersedes_the_record_of_the_previous_run():
    """A daemon restarts on another port, with its id and first incarnation.

    Both records have the same precedence. Whichever one the order of the bytes
    prefers, the running daemon takes a higher incarnation, so that its own
    address is used.
    """
    for old_port, new_port in (('1', '2'), ('2', '1')):
        refuted_incarnations = []
        before = Members(member('vm-1'), Store(), on_refutation_needed=int)
        old = before.update_own_record(
            own=replace(member('vm-1'), control=old_port)
        )
        after = Members(
            member('vm-1'),
            Store(),
            on_refutation_needed=refuted_incarnations.append,
        )
        after.update_own_record(own=replace(member('vm-1'), control=new_port))
        assert not after.merge_update(old)
        other = Members(member('vm-2'), Store(), on_refutation_needed=int)
        other.merge_update(old)
        other.merge_update(
            after.update_own_record(exceeding=refuted_incarnations.pop())
        )
        assert other.alive()['vm-1'].control == new_port


def test_the_status_within_an_incarnation_only_increases():
    members = Members(member('vm-1'), Store(), on_refutation_needed=int)
    members.merge_update(
        Members(
            member('vm-2'), Store(), on_refutation_needed=int
        ).update_own_record()
    )
    assert members.declare_status('vm-2', MemberStatus.DEAD) is not None
    assert members.declare_status('vm-2', MemberStatus.SUSPECT) is None
    assert isinstance(members.record('vm-2'), MemberRecord)
    assert members.alive().keys() == {'vm-1'}
