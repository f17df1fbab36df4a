"""Gossip between some daemons, with real datagrams on loopback."""

from random import Random

import pytest
import trio

from verbenamill_http.addresses import parse_address
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.rollouts import Progress
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_policy.quarantine import Quarantine
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.gossip import Gossip
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.peers import Peers
from verbenamill_sidecar.suspects import SuspectGate


class FakeFollower:
    """Notes who knows more."""

    def __init__(self, desired_state):
        self._desired_state = desired_state
        self.behind = []

    def hear_stamp(self, vm, stamp):
        if self._desired_state.lacks(stamp):
            self.behind.append(vm)

    def is_behind(self, vm, stamp, *, is_parent):
        self.behind.append(vm)


class Node:
    """One daemon's gossip, without the rest of it."""

    def __init__(self, vm, *, incarnation=1, port=0):
        self.recalled = []
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
            recall=self.recalled.append,
            follower=self.follower,
            tree=DistributionTree(self.table, vm),
            counted=lambda tally: None,
            gate=SuspectGate(Quarantine(), wall=lambda: 0),
        )
        self.gossip.bind(parse_address(record.gossip))

    def knows(self, vm):
        return self.table.get(vm)

    def meet(self, other):
        self.gossip.take_members([other.gossip.own], spread=False)
        self.gossip.greet()


def make_upstream(state=UpstreamState.READY):
    return UpstreamRecord('i1', 100, 3, 's', 'v1', state, 4)


@pytest.fixture
def ports(free_ports):
    return iter(free_ports(8))


async def until(condition):
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
        node.meet(nodes[0])
    return nodes


def test_news_reach_all(ports):
    nodes = make_nodes(5, ports)

    async def check(nursery):
        await until(lambda: all(len(node.table) == 5 for node in nodes))
        nodes[3].gossip.update(upstream=make_upstream())
        await until(lambda: all(node.knows('vm3').upstream for node in nodes))
        nodes[1].gossip.tell_progress(Progress('s', 7, 2, vetoed=True))
        await until(
            lambda: all(
                's' in node.desired_state.known.progress for node in nodes
            ),
        )

    trio.run(run_nodes, nodes, check)


def test_echoes_end(ports):
    # An upstream drains; its daemon tells the others. They tell the daemon
    # the same, which is no news. Taken for news, each echo made another one,
    # until datagrams filled the links between the zones.
    nodes = make_nodes(4, ports)

    async def check(nursery):
        await until(lambda: all(len(node.table) == 4 for node in nodes))
        for node in nodes:
            node.gossip.update(
                upstream=make_upstream(UpstreamState.DRAINING),
            )
        await until(
            lambda: all(
                node.table.digests == nodes[0].table.digests for node in nodes
            ),
        )
        versions = [node.table.version for node in nodes]
        await trio.sleep(1)
        assert versions == [node.table.version for node in nodes]
        assert not any(node.recalled for node in nodes)

    trio.run(run_nodes, nodes, check)


def test_a_restarted_daemon_overtakes_what_others_remember(ports):
    # The clock was put back while the daemon was down, so its new start
    # looks older than the one before. Unless it overtakes, the others keep
    # the old record and go on sending to an upstream that has gone.
    port = next(ports)
    before = Node('vm0', incarnation=900, port=port)
    before.gossip.update(upstream=make_upstream(UpstreamState.DRAINING))
    other = Node('vm1', port=next(ports))
    other.gossip.take_members([before.gossip.own], spread=False)
    before.gossip.close()
    after = Node('vm0', incarnation=5, port=port)
    after.meet(other)

    async def check(nursery):
        await until(
            lambda: other.knows('vm0').revision > before.gossip.own.revision
        )
        await until(lambda: other.knows('vm0').upstream is None)
        assert after.recalled[0].state is UpstreamState.DRAINING

    trio.run(run_nodes, [other, after], check)


def test_who_has_an_older_configuration_is_told(ports):
    nodes = make_nodes(2, ports)

    async def check(nursery):
        await until(lambda: all(len(node.table) == 2 for node in nodes))
        nodes[0].desired_state.apply_configuration(make_configuration(), 'test')
        await until(lambda: 'vm0' in nodes[1].follower.behind)

    trio.run(run_nodes, nodes, check)


def make_configuration():
    return Configuration(
        version=5,
        routes=(),
        services=frozenset(),
        limits=Limits(),
    )
