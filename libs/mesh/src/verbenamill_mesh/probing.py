"""Failure detection in the style of SWIM.

Each daemon probes few neighbours of its availability zone in turn; one that
does not answer is probed through others, then suspected, and counts as dead
unless it refutes that in time.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import trio
from returns.result import Success

from verbenamill_mesh.exchange import Meet
from verbenamill_mesh.members import Members, MemberStatus
from verbenamill_mesh.messages import ProbeFor, Reached
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.store import Update
from verbenamill_model.typing import VmId
from verbenamill_runtime import Clock, full_jitter
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Others that are asked to probe a neighbour that does not answer.
HELPERS = 3
#: Probes between two tries to reach someone thought dead, or a seed.
HEALING_EVERY = 5
#: A loop that comes this many periods late was paused itself.
PAUSED_PERIODS = 3
#: Own misses in a row beyond which suspicion grows no further.
MAX_MISSES = 4

#: Looks up addresses of other daemons.
FindAddresses = Callable[[], Awaitable[tuple[str, ...]]]


class Prober:
    """Probes of this daemon.

    :param seeds: addresses known from the settings; only hints.
    :param find_addresses: looks up addresses when none of them answers.
    :param spread: spreads what was found out about a member.
    """

    def __init__(
        self,
        *,
        members: Members,
        peers: Peers,
        seeds: tuple[str, ...],
        meet: Meet,
        find_addresses: FindAddresses,
        spread: Callable[[Update], None],
        settings: MeshSettings,
        clock: Clock,
        random: Random,
    ) -> None:
        self._members = members
        self._peers = peers
        self._seeds = seeds
        self._meet = meet
        self._find_addresses = find_addresses
        self._spread = spread
        self._settings = settings
        self._clock = clock
        self._random = random
        self._turns: list[VmId] = []
        self._suspects: dict[VmId, timedelta] = {}
        self._buried: dict[VmId, timedelta] = {}
        self._misses = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._contact_others)
            nursery.start_soon(self._cross_zones)
            nursery.start_soon(self._judge)
            await self._probe_in_turn(nursery)

    async def _probe_in_turn(self, nursery: trio.Nursery) -> None:
        while True:
            await self._pause()
            target = self._next_target()
            if target is not None:
                nursery.start_soon(self._probe, target)

    async def _pause(self) -> None:
        period = self._settings.probe_period.total_seconds()
        await trio.sleep(period * self._random.uniform(0.8, 1.2))

    def _next_target(self) -> VmId | None:
        mates = self._members.in_zone(self._peers.own_member.availability_zone)
        self._turns = [turn for turn in self._turns if turn in mates]
        if not self._turns:
            self._turns = list(self._peers.neighbours())
            self._random.shuffle(self._turns)
        return self._turns.pop() if self._turns else None

    async def _probe(self, target: VmId) -> None:
        if await self._meet_member(target):
            self._misses = 0
            return
        self._misses = min(self._misses + 1, MAX_MISSES)
        if not await self._probe_by_others(target):
            self._suspect(target)

    async def _meet_member(self, target: VmId) -> bool:
        record = self._members.record(target)
        if record is None:
            return False
        return isinstance(await self._meet(record.member.control), Success)

    async def _probe_by_others(self, target: VmId) -> bool:
        """Ask others, since only the link from here may be broken."""
        record = self._members.record(target)
        if record is None:
            return True
        helpers = self._peers.choose_neighbours(HELPERS + 1)
        request = ProbeFor(record.member.control)
        answers: list[bool] = []

        async def ask_one(helper: VmId) -> None:  # noqa: WPS430 - one nursery
            reply = await self._peers.ask(
                helper,
                request,
                timeout=3 * self._settings.request_timeout,
            )
            answers.append(reply == Success(Reached(reached=True)))

        async with trio.open_nursery() as nursery:
            for helper in helpers:
                if helper != target:
                    nursery.start_soon(ask_one, helper)
        return any(answers)

    def _suspect(self, target: VmId) -> None:
        update = self._members.judge(target, MemberStatus.SUSPECT)
        self._suspects.setdefault(target, self._clock.monotonic())
        if update is not None:
            log(Event.MEMBER_SUSPECTED, member=target)
            self._spread(update)

    async def _judge(self) -> None:
        """Declare suspects dead and forget those long dead."""
        last = self._clock.monotonic()
        while True:
            await self._pause()
            now = self._clock.monotonic()
            if now - last > PAUSED_PERIODS * self._settings.probe_period:
                # This process was paused: suspects had no chance to refute
                # to it, and their time would seem to be over.
                self._suspects = dict.fromkeys(self._suspects, now)
            last = now
            self._bury(now)
            self._forget(now)

    def _bury(self, now: timedelta) -> None:
        # A daemon whose own probes fail may be the broken one; it gives
        # others more time to refute it.
        patience = self._settings.suspicion * (1 + self._misses)
        for member, since in tuple(self._suspects.items()):
            record = self._members.record(member)
            if record is None or record.status is not MemberStatus.SUSPECT:
                self._suspects.pop(member)
            elif now - since > patience:
                self._suspects.pop(member)
                self._declare_dead(member)

    def _declare_dead(self, member: VmId) -> None:
        update = self._members.judge(member, MemberStatus.DEAD)
        if update is not None:
            log(Event.MEMBER_GONE, member=member)
            self._spread(update)

    def _forget(self, now: timedelta) -> None:
        for record in self._members.tombstones():
            member = record.member.id
            since = self._buried.setdefault(member, now)
            if now - since > self._settings.tombstone_life:
                self._members.forget(member)
        self._buried = {
            member: since
            for member, since in self._buried.items()
            if self._members.is_tombstone(member)
        }

    async def _cross_zones(self) -> None:
        """As a gateway, meet those of other availability zones in turn."""
        while True:
            await self._pause()
            if not self._peers.is_reader:
                continue
            zones = self._peers.other_zones()
            if zones:
                zone = self._random.choice(zones)
                gateways = self._peers.gateways(zone)
                await self._meet_member(self._random.choice(gateways))

    async def _contact_others(self) -> None:
        """Find the first peer, and those on the far side of a partition."""
        await trio.sleep(
            self._settings.probe_period.total_seconds() * self._random.random(),
        )
        while True:
            await self._contact_first()
            await trio.sleep(
                HEALING_EVERY
                * self._settings.probe_period.total_seconds()
                * self._random.uniform(0.5, 1.5),
            )
            await self._contact(self._hints())

    async def _contact_first(self) -> None:
        """Find any peer while there is none."""
        started = self._clock.monotonic()
        waits = full_jitter(
            self._random,
            first=self._settings.probe_period,
            longest=10 * self._settings.probe_period,
        )
        hints = self._hints()
        while len(self._members.alive()) <= 1:
            if await self._contact(hints):
                return
            hints = self._hints()
            if self._clock.monotonic() - started > self._settings.lonely_after:
                hints = (*hints, *await self._find_addresses())
            await trio.sleep(next(waits).total_seconds())

    def _hints(self) -> tuple[str, ...]:
        known = {member.control for member in self._members.alive().values()}
        dead = (record.member.control for record in self._members.tombstones())
        hints = dict.fromkeys((*self._seeds, *dead))
        return tuple(
            hint
            for hint in hints
            if hint not in known and hint != self._peers.own_member.control
        )

    async def _contact(self, hints: tuple[str, ...]) -> bool:
        if not hints:
            return False
        hint = self._random.choice(hints)
        return isinstance(await self._meet(hint), Success)
