"""Gossip between several daemons over real UDP sockets on loopback."""

from functools import partial
from random import Random

import pytest
import trio
from trio.testing import MockClock

from verbenamill_http.addresses import Address, parse_address
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.quarantine import Quarantine
from verbenamill_policy.rollouts import Progress
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_sidecar.state.announcements import AnnouncedStamps
from verbenamill_sidecar.state.desired_state import DesiredState
from verbenamill_sidecar.state.distribution import (
    NOTICE_PERIOD,
    NOTICE_TIMEOUT,
    DistributionTree,
)
from verbenamill_sidecar.membership.datagrams import Notice, NoticeKind
from verbenamill_sidecar.membership.gossip import Gossip
from verbenamill_sidecar.membership.peers import Peers
from verbenamill_sidecar.quarantine.suspects import SuspectGate


class FakeFollower:
    """Records which daemons have a newer state."""

    def __init__(self, desired_state):
        self.announced = AnnouncedStamps(desired_state)
        self.newer_peers = []

    def handle_stamp(self, vm, stamp, channel):
        if self.announced.record(vm, stamp, channel):
            self.newer_peers.append(vm)


class Node:
    """The gossip of one daemon, without its other parts."""

    def __init__(self, vm, *, incarnation=1, port=0):
        self.restored = []
        self.table = MemberTable()
        self.desired_state = DesiredState()
        self.follower = FakeFollower(self.desired_state)
        record = MemberRecord(
            vm=vm,
            incarnation=incarnation,
            sequence=0,
            availability_zone='z',
            calls=f'127.0.0.1:{port + 1}',
            gossip=f'127.0.0.1:{port}',
        )
        self.gossip = Gossip(
            own=record,
            table=self.table,
            peers=Peers(self.table, vm),
            desired_state=self.desired_state,
            random=Random(vm),
            restore_upstream=self.restored.append,
            follower=self.follower,
            tree=DistributionTree(self.table, vm),
            on_tally=lambda tally: None,
            gate=SuspectGate(Quarantine(), wall=lambda: 0),
            own_load=lambda: 0,
        )
        self.gossip.bind(parse_address(record.gossip))

    def knows(self, vm):
        return self.table.get(vm)

    def join(self, other):
        self.gossip.merge_members([other.gossip.own], spread=False)
        self.gossip.greet()


def make_upstream(state=UpstreamState.READY):
    return UpstreamRecord('i1', 100, 3, 's', 'v1', state, 4)


@pytest.fixture
def ports(free_ports):
    return iter(free_ports(8))


async def wait_until(condition):
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.02)


async def run_nodes(nodes, check):
    async with trio.open_nursery() as nursery:
        for node in nodes:
            nursery.start_soon(node.gossip.run)
        await check(nursery)
        nursery.cancel_scope.cancel()


def make_nodes(count, ports):
    nodes = [Node(f'vm{place}', port=next(ports)) for place in range(count)]
    for node in nodes[1:]:
        node.join(nodes[0])
    return nodes


def test_updates_reach_all_daemons(ports):
    nodes = make_nodes(5, ports)

    async def check(nursery):
        await wait_until(lambda: all(len(node.table) == 5 for node in nodes))
        nodes[3].gossip.update_own(upstream=make_upstream())
        await wait_until(
            lambda: all(node.knows('vm3').upstream for node in nodes)
        )
        nodes[1].gossip.publish_progress(Progress('s', 7, 2, vetoed=True))
        await wait_until(
            lambda: all(
                's' in node.desired_state.snapshot.progress for node in nodes
            ),
        )

    trio.run(run_nodes, nodes, check)


def test_echoed_updates_are_not_spread_again(ports):
    # An upstream drains, and its daemon publishes this. When the others send
    # the same record back, it must not count as an update: each echo would
    # cause another one until datagrams fill the links between the zones.
    nodes = make_nodes(4, ports)

    async def check(nursery):
        await wait_until(lambda: all(len(node.table) == 4 for node in nodes))
        for node in nodes:
            node.gossip.update_own(
                upstream=make_upstream(UpstreamState.DRAINING),
            )
        await wait_until(
            lambda: all(
                node.table.digests == nodes[0].table.digests for node in nodes
            ),
        )
        versions = [node.table.version for node in nodes]
        await trio.sleep(1)
        assert versions == [node.table.version for node in nodes]
        assert not any(node.restored for node in nodes)

    trio.run(run_nodes, nodes, check)


def test_a_restarted_daemon_supersedes_the_record_that_others_hold(ports):
    # The clock was set back while the daemon was down, so the record of its
    # new start looks older. Unless the daemon supersedes the old record, the
    # others go on sending requests to an upstream that has gone.
    port = next(ports)
    before = Node('vm0', incarnation=900, port=port)
    before.gossip.update_own(upstream=make_upstream(UpstreamState.DRAINING))
    other = Node('vm1', port=next(ports))
    other.gossip.merge_members([before.gossip.own], spread=False)
    before.gossip.close()
    after = Node('vm0', incarnation=5, port=port)
    after.join(other)

    async def check(nursery):
        await wait_until(
            lambda: other.knows('vm0').revision > before.gossip.own.revision
        )
        await wait_until(lambda: other.knows('vm0').upstream is None)
        assert after.restored[0].state is UpstreamState.DRAINING

    trio.run(run_nodes, [other, after], check)


def test_a_daemon_with_an_older_configuration_learns_of_the_newer(ports):
    nodes = make_nodes(2, ports)

    async def check(nursery):
        await wait_until(lambda: all(len(node.table) == 2 for node in nodes))
        nodes[0].desired_state.apply_configuration(make_configuration(), 'test')
        await wait_until(lambda: 'vm0' in nodes[1].follower.newer_peers)

    trio.run(run_nodes, nodes, check)


def make_configuration():
    return Configuration(
        version=5,
        routes=(),
        services=frozenset(),
        limits=Limits(),
    )


#: Time by which a daemon that knows of a change reads the store itself, in
#: seconds. The rest of the bound of 2 s is left for learning of it, and for
#: the read.
READ_BOUND = 1.2
NEWER_STAMP = (2, -1)


def add_members(table, *, zones='wxyz', size=10):
    """Add daemons of some zones, which are not running."""
    for number, zone in enumerate(zones, start=1):
        for place in range(size):
            table.merge(
                MemberRecord(
                    vm=f'{zone}{place}',
                    incarnation=1,
                    sequence=0,
                    availability_zone=zone,
                    calls=f'127.0.{number}.{place}:1',
                    gossip=f'127.0.{number}.{place}:2',
                )
            )


def find_vm_of_rank(rank):
    table = MemberTable()
    add_members(table)
    return next(
        record.vm
        for record in table.in_zone('z')
        if DistributionTree(table, record.vm).rank == rank
    )


@pytest.mark.parametrize('phase', [0.0, 0.1, 0.3, 0.5])
def test_a_parent_that_lacks_a_change_too_does_not_hide_it(phase, ports):
    """Guards against a daemon that stays behind although it knows of a change.

    One parent has the change, but it cannot be fetched from there. The other
    one reports that it is up to date, and is not.
    """
    port = next(ports)

    async def send(node, sender, stamp, *, delay):
        await trio.sleep(delay)
        while True:
            notice = Notice(sender, stamp, NoticeKind.CURRENT)
            node.gossip._handle(notice, Address('127.0.0.1', 1))
            await trio.sleep(NOTICE_PERIOD)

    async def scene():
        vm = find_vm_of_rank(5)
        node = Node(vm, port=port)
        add_members(node.table)
        tree = node.gossip._tree
        tree.await_notice(NOTICE_TIMEOUT)
        parents = [
            record.vm for record in node.table.in_zone('z') if record.vm != vm
        ]
        async with trio.open_nursery() as nursery:
            for parent, stamp, delay in zip(
                parents, ((-1, -1), NEWER_STAMP), (phase, 0), strict=False
            ):
                nursery.start_soon(
                    partial(send, node, parent, stamp, delay=delay)
                )
            with trio.move_on_after(READ_BOUND):
                while not tree.must_read():
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        node.gossip.close()
        assert tree.must_read()

    trio.run(scene, clock=MockClock(autojump_threshold=0))
