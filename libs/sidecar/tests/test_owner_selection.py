"""Where requests go when the own zone is full."""

from random import Random
from types import SimpleNamespace

import pytest
import trio
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import MemberRecord, UpstreamRecord
from verbenamill_policy.placement import PlacementRequest
from verbenamill_sidecar.membership.peers import Peer
from verbenamill_sidecar.routing.attempts import Attempts
from verbenamill_sidecar.routing.load_probes import LoadProbes
from verbenamill_sidecar.routing.owner_selection import OwnerSelector

SLOTS = 2
MEAN_TIME = 0.1


def make_peer(index, zone, slots):
    upstream = UpstreamRecord(
        f'i{index}', 100, 1, 'entries', 'v1', UpstreamState.READY, slots
    )
    return Peer(
        MemberRecord(
            f'{zone}-{index}',
            1,
            0,
            zone,
            f'127.0.0.1:{2000 + index}',
            f'127.0.0.1:{3000 + index}',
            upstream=upstream,
        )
    )


class Statistics:
    """What the ingress has learned of the route."""

    def mean_service_time(self, route):
        return MEAN_TIME

    def placement_request(self, call, now):
        return PlacementRequest(
            mean_time=MEAN_TIME, time_to_objective=0.4, time_to_deadline=1
        )


class Scene:
    """An ingress of zone z1 and owners with given loads in two zones."""

    def __init__(self, loads, *, slots=SLOTS):
        self.loads = {}
        self.peers = []
        for index, (zone, load) in enumerate(loads):
            peer = make_peer(index, zone, slots)
            self.peers.append(peer)
            self.loads[peer] = load
        self.asked = []
        self.probes = LoadProbes(self._ask, Random(1))
        context = SimpleNamespace(
            peers=SimpleNamespace(own=None, is_own=lambda _: False),
            availability_zone='z1',
            random=Random(1),
            load_probes=self.probes,
        )
        self.selector = OwnerSelector(context, Statistics())

    def _ask(self, peer):
        self.asked.append(peer)
        if self.loads[peer] is not None:
            self.probes.record(peer, self.loads[peer])

    def select(self):
        attempts = Attempts()
        call = SimpleNamespace(route=SimpleNamespace(), priority=1)

        async def main():
            # Nothing has been heard of any owner for a while.
            await trio.sleep(10)
            return await self.selector.select(call, self.peers, attempts)

        chosen = trio.run(main, clock=MockClock(autojump_threshold=0))
        return chosen, attempts


@pytest.mark.parametrize('silent', [False, True])
def test_an_owner_of_another_zone_is_found_when_the_own_zone_is_full(silent):
    """Guards against a zone that queues while another one is idle."""
    far_loads = [('z2', 3), ('z2', 0)]
    if silent:
        far_loads.append(('z2', None))
    scene = Scene([('z1', 4), ('z1', 4), *far_loads])
    chosen, attempts = scene.select()
    assert scene.loads[chosen] in (0, None)
    assert not attempts.found_owners_full


def test_other_zones_are_not_asked_while_the_own_has_room():
    """Guards against datagrams across zones for nothing."""
    scene = Scene([('z1', 1), ('z1', 4), ('z2', 0)])
    chosen, _ = scene.select()
    assert scene.loads[chosen] == 1
    assert all(peer.record.availability_zone == 'z1' for peer in scene.asked)


def test_a_service_that_is_full_everywhere_is_known_to_be_full():
    """Guards against three hops for each request of an overload."""
    scene = Scene([('z1', 4), ('z1', 4), ('z2', 4)])
    _, attempts = scene.select()
    assert attempts.found_owners_full


def test_large_owners_with_many_free_slots_are_not_asked():
    """Guards against datagrams whose answer would change nothing."""
    scene = Scene([('z1', 3), ('z1', 4), ('z2', 0)], slots=14)
    chosen, _ = scene.select()
    assert chosen.record.availability_zone == 'z1'
    assert not scene.asked


def test_large_owners_that_are_nearly_full_are_asked():
    """Guards against a queue at one large owner beside a free one."""
    scene = Scene([('z1', 14), ('z1', 3)], slots=14)
    for peer in scene.peers:
        peer.owner.load = 13.0
    chosen, _ = scene.select()
    assert scene.loads[chosen] == 3
