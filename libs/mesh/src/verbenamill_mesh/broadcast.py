"""Broadcasts: pushes along a tree of bounded arity over the ring.

A daemon divides the arc it is given among a few children, which do the same. A
child that does not answer is replaced by the next member on its arc. Whatever
is lost despite this is found by comparing digests.
"""

from collections.abc import Callable

import trio
from msgspec.structs import replace

from verbenamill_mesh.budget import TokenBucket
from verbenamill_mesh.messages import Push, ValuesReply
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.ring import WHOLE_RING, Branch, position_of, split
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.store import Update
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_runtime import Clock

#: Delegates tried before a branch is left to the digests.
MAX_DELEGATES_TRIED = 4
#: Neighbours that receive updates which did not arrive by the tree.
RUMOUR_FANOUT = 2
#: Bytes of records in one push; peers fetch longer sequences.
MAX_PUSH_BYTES = 128 * 1024


class Broadcaster:
    """Sends this daemon's pushes and forwards those of others.

    :param on_newer: called with values that a receiver had newer.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        settings: MeshSettings,
        clock: Clock,
        on_newer: Callable[[tuple[Update, ...]], None],
    ) -> None:
        self._peers = peers
        self._settings = settings
        self._on_newer = on_newer
        self._rumour_bucket = TokenBucket(settings.rumours_per_second, clock)
        self._queued: list[Push] = []
        self._has_work = trio.Event()
        self._position = position_of(peers.own_member.id)

    async def run(self) -> None:
        """Send until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_work.wait()
                self._has_work = trio.Event()
                queued = self._queued
                self._queued = []
                for push in queued:
                    nursery.start_soon(self._send, push)

    async def deliver(self, push: Push) -> None:
        """Send a push to all members on its arc and wait for their answers."""
        async with trio.open_nursery() as nursery:
            for arc in push.arc.without(self._position):
                zone_peers = self._peers.zone_peers()
                for branch in split(arc, zone_peers, self._settings.arity):
                    nursery.start_soon(self._send_branch, branch, push)

    def forward(self, push: Push) -> None:
        """Forward a push to the rest of the arc given to this daemon."""
        self._rumour_bucket.try_take()
        self._enqueue(push)

    def broadcast(self, updates: tuple[Update, ...]) -> None:
        """Send updates to all members, in every availability zone."""
        self._enqueue(Push(updates=updates, arc=WHOLE_RING))

    def broadcast_within_budget(self, updates: tuple[Update, ...]) -> None:
        """Send updates to all members, unless the budget is used up.

        When half an availability zone fails or returns, each of many daemons
        would broadcast to all the others. The digests then carry the updates
        together.
        """
        if self._rumour_bucket.try_take():
            self.broadcast(updates)

    async def deliver_to_all_zones(self, updates: tuple[Update, ...]) -> None:
        """Broadcast updates and wait until the direct receivers answered."""
        push = Push(updates=updates, arc=WHOLE_RING)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deliver, push)
            nursery.start_soon(self._send_to_other_zones, push)

    def push_to_zone(self, entries: tuple[Entry, ...]) -> None:
        """Push records of the log to the own availability zone."""
        for group in _group_by_size(entries):
            self._enqueue(Push(entries=group, arc=WHOLE_RING))

    def gossip(self, updates: tuple[Update, ...]) -> None:
        """Send updates that did not arrive by the tree to a few neighbours.

        Each receiver to which they are new sends them to a few more, so they
        are almost everywhere after a few steps. When many daemons change at
        once, there are more updates than the budget allows; the digests then
        carry them together, at a constant cost.
        """
        if updates and self._rumour_bucket.try_take():
            self._enqueue(Push(updates=updates))

    def _enqueue(self, push: Push) -> None:
        self._queued.append(push)
        self._has_work.set()

    async def _send(self, push: Push) -> None:
        if not push.arc.length:
            await self._send_rumour(push)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deliver, push)
            if (
                push.updates
                and not push.is_cross_zone
                and self._peers.is_primary
            ):
                # Every push with an arc passes through the whole zone once, so
                # exactly the primary reader sends it to the other zones.
                nursery.start_soon(self._send_to_other_zones, push)

    async def _send_rumour(self, push: Push) -> None:
        async with trio.open_nursery() as nursery:
            for member in self._peers.choose_neighbours(RUMOUR_FANOUT):
                nursery.start_soon(self._send_to, member, push)

    async def _send_to_other_zones(self, push: Push) -> None:
        cross_zone_push = replace(
            push, arc=WHOLE_RING, is_cross_zone=True, entries=()
        )
        async with trio.open_nursery() as nursery:
            for zone in self._peers.other_zones():
                nursery.start_soon(self._send_zone, zone, cross_zone_push)

    async def _send_zone(self, zone: AvailabilityZone, push: Push) -> None:
        for gateway in self._peers.gateways(zone):
            if await self._send_to(gateway, push):
                return

    async def _send_branch(self, branch: Branch, push: Push) -> None:
        branch_push = replace(push, arc=branch.arc)
        for delegate in branch.delegates[:MAX_DELEGATES_TRIED]:
            if await self._send_to(delegate, branch_push):
                return

    async def _send_to(self, member: VmId, push: Push) -> bool:
        reply = await self._peers.send_request(member, push)
        values = reply.value_or(None)
        if isinstance(values, ValuesReply):
            self._on_newer(values.updates)
            return True
        return False


def _group_by_size(entries: tuple[Entry, ...]) -> list[tuple[Entry, ...]]:
    groups: list[tuple[Entry, ...]] = []
    size = MAX_PUSH_BYTES
    for entry in entries:
        size += len(entry.body)
        if size > MAX_PUSH_BYTES:
            groups.append(())
            size = len(entry.body)
        groups[-1] = (*groups[-1], entry)
    return groups
