"""Selects the owner of a request, by estimates and by asking a few owners."""

import trio

from verbenamill_policy.placement import (
    OwnerEstimate,
    choose_owner,
    find_limit_wait,
)
from verbenamill_sidecar.membership.peers import Peer
from verbenamill_sidecar.routing.attempts import Attempts
from verbenamill_sidecar.routing.call import Call
from verbenamill_sidecar.routing.ingress_context import IngressContext
from verbenamill_sidecar.routing.route_statistics import RouteStatistics

#: Age from which on the load of an owner is asked for, in mean service times
#: of the route.
_MAX_LOAD_AGE = 0.3
#: Number of free slots by the last report up to which an owner may be full by
#: now.
_FEW_FREE_SLOTS = 3


class OwnerSelector:
    """Selects among the owners that may run a request."""

    def __init__(
        self, context: IngressContext, route_statistics: RouteStatistics
    ) -> None:
        self._context = context
        self._route_statistics = route_statistics

    async def select(
        self, call: Call, peers: list[Peer], attempts: Attempts
    ) -> Peer | None:
        """Select the best of these owners; ``None`` if none is in time.

        Another daemon is chosen by its load at this moment: a few owners of
        this zone are asked for it, and if none of them has a free slot, a few
        of the other zones.
        """
        peer = self._choose(call, peers, attempts)
        if peer is None or not self._should_ask(call, peer):
            return peer
        near, far = self._find_askable(call, peers, attempts)
        asked = await self._ask(near)
        if _are_all_full(asked):
            asked += await self._ask(far)
            attempts.found_owners_full = _are_all_full(asked)
        else:
            far = []
        skipped = {*near, *far}.difference(asked)
        candidates = [one for one in peers if one not in skipped]
        return self._choose(call, candidates, attempts)

    def filter_homes(self, call: Call, peers: list[Peer]) -> list[Peer]:
        """Select the owners in the home regions of the route.

        An owner whose region is unknown may be anywhere.
        """
        regions = self._context.regions
        return [
            peer
            for peer in peers
            if regions.get(peer.record.availability_zone) in call.route.homes
        ]

    async def _ask(self, peers: list[Peer]) -> list[Peer]:
        if not peers:
            return []
        return await self._context.load_probes.refresh(peers)

    def _should_ask(self, call: Call, peer: Peer) -> bool:
        """Whether the chosen owner may be full, as far as is known."""
        if self._context.peers.is_own(peer):
            return False
        if peer.owner.slots - peer.owner.load > _FEW_FREE_SLOTS:
            return False
        age = trio.current_time() - peer.owner.load_reported_at
        mean_time = self._route_statistics.mean_service_time(call.route)
        return age > _MAX_LOAD_AGE * mean_time

    def _find_askable(
        self, call: Call, peers: list[Peer], attempts: Attempts
    ) -> tuple[list[Peer], list[Peer]]:
        """Find the owners that may get the request now, if they have room.

        :return: those of this zone, and those of other zones.
        """
        # A service may have many owners, and this runs for most requests.
        near: list[Peer] = []
        far: list[Peer] = []
        now = trio.current_time()
        priority = call.priority
        own = self._context.peers.own
        zone = self._context.availability_zone
        tried_vms = attempts.tried_vms
        for peer in peers:
            owner = peer.owner
            if owner.down_until > now or owner.limit_ready_at(priority) > now:
                continue
            record = peer.record
            if record.vm in tried_vms or peer is own:
                continue
            is_near = record.availability_zone == zone
            (near if is_near else far).append(peer)
        return near, far

    def _choose(
        self, call: Call, peers: list[Peer], attempts: Attempts
    ) -> Peer | None:
        """Choose the best of these owners by what is known of them."""
        context = self._context
        now = trio.current_time()
        by_owner: dict[OwnerEstimate, Peer] = {
            peer.owner: peer for peer in peers
        }
        requirements = self._route_statistics.placement_request(call, now)
        own = context.peers.own
        if own is not None and own.owner in by_owner:
            own.owner.observe_load(context.own.load, now)
            own.owner.pace.record_report(context.own.pace, now)
        else:
            own = None
        owner = choose_owner(
            list(by_owner),
            requirements,
            zone=context.availability_zone,
            excluded=attempts.tried_vms,
            now=now,
            random=context.random,
            own=None if own is None else own.owner,
        )
        if owner is not None:
            return by_owner[owner]
        attempts.record_limit_wait(
            find_limit_wait(
                list(by_owner),
                requirements,
                excluded=attempts.tried_vms,
                now=now,
            ),
        )
        return None


def _are_all_full(peers: list[Peer]) -> bool:
    return all(peer.owner.load >= peer.owner.slots for peer in peers)
