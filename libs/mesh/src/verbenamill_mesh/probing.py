"""Failure detection in the style of SWIM.

Each daemon probes a few neighbours of its availability zone in turn. A
neighbour that does not answer is probed through others, then suspected, and
counts as dead unless it refutes the suspicion in time.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import trio
from returns.result import Success

from verbenamill_mesh.members import Members, MemberStatus
from verbenamill_mesh.messages import IndirectProbe, IndirectProbeReply
from verbenamill_mesh.peer_sync import ProbePeer
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.store import Update
from verbenamill_model.typing import VmId
from verbenamill_runtime import Clock, full_jitter
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Neighbours asked to probe a member that does not answer.
INDIRECT_PROBES = 3
#: Probe periods between two attempts to reach a dead member or a seed.
RECONNECT_PERIODS = 5
#: A loop that runs this many periods late shows that the process was paused.
PAUSED_PERIODS = 3
#: Consecutive missed probes that still lengthen the suspicion timeout.
MAX_MISSED_PROBES = 4

#: Looks up addresses of other daemons.
FindAddresses = Callable[[], Awaitable[tuple[str, ...]]]


class FailureDetector:
    """Probes other daemons and detects which of them fail.

    :param seeds: addresses from the settings; they may be out of date.
    :param find_addresses: looks up addresses when no seed answers.
    :param on_status_change: called with the update when a member becomes
        suspect or dead.
    """

    def __init__(
        self,
        *,
        members: Members,
        peers: Peers,
        seeds: tuple[str, ...],
        probe_peer: ProbePeer,
        find_addresses: FindAddresses,
        on_status_change: Callable[[Update], None],
        settings: MeshSettings,
        clock: Clock,
        random: Random,
    ) -> None:
        self._members = members
        self._peers = peers
        self._seeds = seeds
        self._probe_peer = probe_peer
        self._find_addresses = find_addresses
        self._on_status_change = on_status_change
        self._settings = settings
        self._clock = clock
        self._random = random
        self._probe_queue: list[VmId] = []
        self._suspected_since: dict[VmId, timedelta] = {}
        self._tombstone_since: dict[VmId, timedelta] = {}
        self._missed_probes = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reconnect)
            nursery.start_soon(self._probe_other_zones)
            nursery.start_soon(self._run_expiry)
            await self._probe_in_turn(nursery)

    async def _probe_in_turn(self, nursery: trio.Nursery) -> None:
        while True:
            await self._wait_period()
            target = self._next_target()
            if target is not None:
                nursery.start_soon(self._check_member, target)

    async def _wait_period(self) -> None:
        period = self._settings.probe_period.total_seconds()
        await trio.sleep(period * self._random.uniform(0.8, 1.2))

    def _next_target(self) -> VmId | None:
        zone_members = self._members.in_zone(
            self._peers.own_member.availability_zone
        )
        self._probe_queue = [
            queued for queued in self._probe_queue if queued in zone_members
        ]
        if not self._probe_queue:
            self._probe_queue = list(self._peers.neighbours())
            self._random.shuffle(self._probe_queue)
        return self._probe_queue.pop() if self._probe_queue else None

    async def _check_member(self, target: VmId) -> None:
        if await self._probe_member(target):
            self._missed_probes = 0
            return
        self._missed_probes = min(self._missed_probes + 1, MAX_MISSED_PROBES)
        if not await self._probe_indirectly(target):
            self._suspect(target)

    async def _probe_member(self, target: VmId) -> bool:
        record = self._members.record(target)
        if record is None:
            return False
        return isinstance(
            await self._probe_peer(record.member.control), Success
        )

    async def _probe_indirectly(self, target: VmId) -> bool:
        """Ask neighbours to probe, since only the own link may be broken."""
        record = self._members.record(target)
        if record is None:
            return True
        helpers = self._peers.choose_neighbours(INDIRECT_PROBES + 1)
        request = IndirectProbe(record.member.control)
        answers: list[bool] = []

        async def ask_one(helper: VmId) -> None:  # noqa: WPS430 - one nursery
            reply = await self._peers.send_request(
                helper,
                request,
                timeout=3 * self._settings.request_timeout,
            )
            answers.append(reply == Success(IndirectProbeReply(reached=True)))

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                if helper != target:
                    nursery.start_soon(ask_one, helper)
        return any(answers)

    def _suspect(self, target: VmId) -> None:
        update = self._members.declare_status(target, MemberStatus.SUSPECT)
        self._suspected_since.setdefault(target, self._clock.monotonic())
        if update is not None:
            log(Event.MEMBER_SUSPECTED, member=target)
            self._on_status_change(update)

    async def _run_expiry(self) -> None:
        """Declare suspects dead and remove expired tombstones."""
        last = self._clock.monotonic()
        while True:
            await self._wait_period()
            now = self._clock.monotonic()
            if now - last > PAUSED_PERIODS * self._settings.probe_period:
                # This process was paused. Refutations could not reach it
                # meanwhile, so the suspicion timeouts start again.
                self._suspected_since = dict.fromkeys(
                    self._suspected_since, now
                )
            last = now
            self._expire_suspects(now)
            self._expire_tombstones(now)

    def _expire_suspects(self, now: timedelta) -> None:
        # When several own probes have failed, this daemon itself may be the
        # faulty one; it then gives others more time to refute the suspicion.
        allowed = self._settings.suspicion_timeout * (1 + self._missed_probes)
        for member, since in tuple(self._suspected_since.items()):
            record = self._members.record(member)
            if record is None or record.status is not MemberStatus.SUSPECT:
                self._suspected_since.pop(member)
            elif now - since > allowed:
                self._suspected_since.pop(member)
                self._declare_dead(member)

    def _declare_dead(self, member: VmId) -> None:
        update = self._members.declare_status(member, MemberStatus.DEAD)
        if update is not None:
            log(Event.MEMBER_GONE, member=member)
            self._on_status_change(update)

    def _expire_tombstones(self, now: timedelta) -> None:
        for record in self._members.tombstones():
            member = record.member.id
            since = self._tombstone_since.setdefault(member, now)
            if now - since > self._settings.tombstone_lifetime:
                self._members.forget(member)
        self._tombstone_since = {
            member: since
            for member, since in self._tombstone_since.items()
            if self._members.is_tombstone(member)
        }

    async def _probe_other_zones(self) -> None:
        """As a gateway, probe gateways of the other availability zones."""
        while True:
            await self._wait_period()
            if not self._peers.is_reader:
                continue
            zones = self._peers.other_zones()
            if zones:
                zone = self._random.choice(zones)
                gateways = self._peers.gateways(zone)
                await self._probe_member(self._random.choice(gateways))

    async def _reconnect(self) -> None:
        """Find the first peer, and members beyond a healed partition."""
        await trio.sleep(
            self._settings.probe_period.total_seconds() * self._random.random(),
        )
        while True:
            await self._find_first_peer()
            await trio.sleep(
                RECONNECT_PERIODS
                * self._settings.probe_period.total_seconds()
                * self._random.uniform(0.5, 1.5),
            )
            await self._try_random_address(self._list_candidates())

    async def _find_first_peer(self) -> None:
        """Try addresses until at least one peer is known."""
        started = self._clock.monotonic()
        waits = full_jitter(
            self._random,
            first=self._settings.probe_period,
            longest=10 * self._settings.probe_period,
        )
        addresses = self._list_candidates()
        while len(self._members.alive()) <= 1:
            if await self._try_random_address(addresses):
                return
            addresses = self._list_candidates()
            if (
                self._clock.monotonic() - started
                > self._settings.isolation_timeout
            ):
                addresses = (*addresses, *await self._find_addresses())
            await trio.sleep(next(waits).total_seconds())

    def _list_candidates(self) -> tuple[str, ...]:
        known = {member.control for member in self._members.alive().values()}
        dead = (record.member.control for record in self._members.tombstones())
        addresses = dict.fromkeys((*self._seeds, *dead))
        return tuple(
            address
            for address in addresses
            if address not in known
            and address != self._peers.own_member.control
        )

    async def _try_random_address(self, addresses: tuple[str, ...]) -> bool:
        if not addresses:
            return False
        address = self._random.choice(addresses)
        return isinstance(await self._probe_peer(address), Success)
