"""Loads that are asked for right before a request is placed."""

from random import Random

import trio
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import MemberRecord, UpstreamRecord
from verbenamill_policy.placement import PlacementRequest, choose_owner
from verbenamill_sidecar.routing.load_probes import PROBED_OWNERS, LoadProbes
from verbenamill_sidecar.membership.peers import Peer

SLOTS = 2
OWNERS = 17
INGRESSES = 24
SERVICE_TIME = 0.1
ROUND_TRIP = 0.0005


def make_peer(index):
    upstream = UpstreamRecord(
        f'i{index}', 100, 1, 'entries', 'v1', UpstreamState.READY, SLOTS
    )
    return Peer(
        MemberRecord(
            f'vm{index}',
            1,
            0,
            'z1',
            f'127.0.0.1:{2000 + index}',
            f'127.0.0.1:{3000 + index}',
            upstream=upstream,
        )
    )


class Zone:
    """Owners with few slots each, shared by many ingresses."""

    def __init__(self, seed, nursery):
        self.random = Random(seed)
        self.nursery = nursery
        self.loads = [0] * OWNERS
        self.slots = [trio.Semaphore(SLOTS) for _ in range(OWNERS)]
        self.waits = []

    async def run(self, index):
        self.loads[index] += 1
        began = trio.current_time()
        async with self.slots[index]:
            self.waits.append(trio.current_time() - began)
            await trio.sleep(SERVICE_TIME * self.random.lognormvariate(0, 0.6))
        self.loads[index] -= 1


class Ingress:
    """One of the daemons that place requests in a zone."""

    def __init__(self, zone):
        self.zone = zone
        self.peers = [make_peer(index) for index in range(OWNERS)]
        self.probes = LoadProbes(self._ask, zone.random)

    def _ask(self, peer):
        self.zone.nursery.start_soon(self._answer, peer)

    async def _answer(self, peer):
        await trio.sleep(ROUND_TRIP)
        load = self.zone.loads[self.peers.index(peer)]
        self.probes.record(peer, load)

    async def call(self, *, asks):
        peers = self.peers
        if asks:
            peers = await self.probes.refresh(peers)
        now = trio.current_time()
        owner = choose_owner(
            [peer.owner for peer in peers],
            PlacementRequest(mean_time=SERVICE_TIME, time_to_objective=0.4),
            zone='z1',
            excluded=(),
            now=now,
            random=self.zone.random,
        )
        owner.sent()
        index = next(
            place
            for place, peer in enumerate(self.peers)
            if peer.owner is owner
        )
        await self.zone.run(index)
        owner.record_load(self.zone.loads[index], trio.current_time())


def mean_wait(*, asks, utilisation=0.7, seconds=20):
    rate = utilisation * OWNERS * SLOTS / (SERVICE_TIME * 1.2)

    async def main():
        async with trio.open_nursery() as nursery:
            zone = Zone(1, nursery)
            ingresses = [Ingress(zone) for _ in range(INGRESSES)]
            while trio.current_time() < seconds:
                ingress = zone.random.choice(ingresses)

                async def call(one=ingress):
                    await one.call(asks=asks)

                nursery.start_soon(call)
                await trio.sleep(zone.random.expovariate(rate))
            nursery.cancel_scope.cancel()
        return sum(zone.waits) / len(zone.waits)

    clock = MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


def test_many_ingresses_that_share_small_owners_find_the_free_ones():
    """Guards against queues at some owners while others are idle.

    The pattern: two slots an owner, and each ingress sees few replies of it.
    """
    asked = mean_wait(asks=True)
    assert asked < 0.3 * SERVICE_TIME
    assert asked < 0.5 * mean_wait(asks=False)


def test_owners_that_do_not_answer_delay_a_request_for_moments_only():
    """Guards against a request that waits for owners that are gone."""

    async def main():
        probes = LoadProbes(lambda _: None, Random(1))
        began = trio.current_time()
        asked = await probes.refresh([make_peer(place) for place in range(9)])
        assert len(asked) == PROBED_OWNERS
        return trio.current_time() - began

    assert trio.run(main, clock=MockClock(autojump_threshold=0)) <= 0.01
