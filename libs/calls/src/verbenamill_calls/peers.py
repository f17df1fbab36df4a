"""Owners that calls can go to, and the choice among them."""

import math
from collections.abc import Iterator
from datetime import timedelta
from hashlib import blake2b
from random import Random

from verbenamill_calls.context import CallContext
from verbenamill_calls.hop import OwnerReport
from verbenamill_calls.local import LocalUpstream
from verbenamill_calls.pool import PEER_IDLE, Pool
from verbenamill_calls.settings import CallSettings
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import (
    ServiceName,
    UpstreamState,
    VersionName,
    VmId,
)

#: Age at which the list of owners is built again, and how that grows with
#: the number of members, so that a large fleet costs no more of a core.
_REFRESH = timedelta(milliseconds=100)
_REFRESH_PER_MEMBER = timedelta(microseconds=100)
#: Age at which a reported load says nothing any more. Reports lag, so
#: calls in flight from here always count.
_REPORT_AGE = timedelta(seconds=1)
#: How much sooner the list is built again for a service without owners.
_URGENCY = 20
#: Time for which a host counts as a daemon's without another look through
#: all members, which a large fleet could not afford on each call.
_HOST_AGE = timedelta(seconds=10)
#: Connections to an owner that are kept for questions.
_ASK_RESERVE = 16
#: Failures in a row, in points, that eject an owner.
_EJECT_AT = 5
#: Points of a lost connection; a failed answer is one.
LOST_POINTS = 3
_FIRST_EJECTION = timedelta(seconds=1)
_LONGEST_EJECTION = timedelta(seconds=30)
#: Time for which an owner that refused as leaving gets nothing.
_AVOID = timedelta(seconds=1)
#: Owners in a tier up to which all are looked at.
_FEW = 8
#: Load, in calls for each slot, below which the own upstream is preferred.
_LOCAL_LOAD = 0.5
#: A farther tier must be this much less loaded to be worth the way.
_SPILL = 0.75


#: Service and version by which an owner is looked for.
Place = tuple[ServiceName, VersionName]


class Peer:
    """One owner of an upstream, as this daemon knows it."""

    def __init__(self, id: VmId, pool: Pool) -> None:
        self.id = id
        self.pool = pool
        self.in_flight = 0
        self.version = VersionName('')
        self.place: Place | None = None
        self._slots = 1
        self._reported = 0
        self._reported_at = -_REPORT_AGE
        self._points = 0
        self._ejections = 0
        self._away_until = timedelta(0)
        self._is_on_probation = False

    def update(self, upstream: Upstream) -> None:
        """Take what membership says of it."""
        self.version = upstream.version
        self._slots = upstream.slots

    def report(self, report: OwnerReport, now: timedelta) -> None:
        """Take the load that came with a reply."""
        self._reported = report.calls
        self._reported_at = now
        self._slots = max(report.slots, 1)

    def score(self, now: timedelta) -> float:
        """Calls for each slot, as far as known."""
        calls = self.in_flight
        if now - self._reported_at < _REPORT_AGE:
            calls = max(calls, self._reported)
        return calls / self._slots

    def is_usable(self, now: timedelta) -> bool:
        """Whether a call may go to it now.

        After an ejection a single call probes it.
        """
        if now < self._away_until:
            return False
        return not (self._is_on_probation and self.in_flight)

    def succeed(self) -> None:
        """Count an answer that came."""
        self._points = 0
        self._ejections = 0
        self._is_on_probation = False

    def fail(self, points: int, now: timedelta, random: Random) -> None:
        """Count a failure; several in a row eject it for a while."""
        self._points += points
        if self._points < _EJECT_AT and not self._is_on_probation:
            return
        # Jitter keeps all daemons from probing it at the same moment.
        span = min(_FIRST_EJECTION * 2**self._ejections, _LONGEST_EJECTION)
        self._away_until = now + span * random.uniform(0.5, 1)
        self._ejections = min(self._ejections + 1, 10)
        self._points = 0
        self._is_on_probation = True

    def avoid(self, now: timedelta) -> None:
        """Send nothing for a moment to one that is leaving."""
        self._away_until = max(self._away_until, now + _AVOID)


#: Owners by how near they are: own zone, own region, elsewhere.
Tiers = tuple[list[Peer], list[Peer], list[Peer]]


class Peers:
    """All owners of ready upstreams, by service and version."""

    def __init__(
        self,
        context: CallContext,
        local: LocalUpstream,
        settings: CallSettings,
    ) -> None:
        self._context = context
        self._local = local
        self._settings = settings
        self._peers: dict[VmId, Peer] = {}
        self._services: dict[ServiceName, dict[VersionName, Tiers]] = {}
        self._built_at: timedelta | None = None
        self._seen: dict[VmId, Member] = {}
        self._retired: list[Pool] = []
        self._hosts: dict[str, timedelta] = {}

    def versions(self, service: ServiceName) -> dict[VersionName, Tiers]:
        """Ready owners of a service by version."""
        self._refresh()
        if not self._services.get(service):
            # Else a daemon that has just started, and hears of the others
            # one after the other, would refuse calls that it could pass on.
            self._refresh(urgency=_URGENCY)
        return self._services.get(service, {})

    def is_local(self, peer: Peer) -> bool:
        """Whether this daemon is the owner."""
        return peer.id == self._context.member().id

    def is_member_host(self, host: str) -> bool:
        """Whether a daemon runs on a host."""
        now = self._context.clock.monotonic()
        checked_at = self._hosts.get(host)
        if checked_at is not None and now - checked_at < _HOST_AGE:
            return True
        members = self._context.members().values()
        start = _start_of(host)
        is_member = any(member.calls.startswith(start) for member in members)
        if is_member:
            self._hosts[host] = now
        return is_member

    def pick(self, tiers: Tiers, tried: list[VmId]) -> Peer | None:
        """Pick an owner: near, not loaded, not ejected, not tried."""
        now = self._context.clock.monotonic()
        best: Peer | None = None
        best_score = math.inf
        for tier in tiers:
            peer = self._pick_in_tier(tier, tried, now)
            if peer is None:
                continue
            score = self._score(peer, now)
            if score < best_score * _SPILL:
                best, best_score = peer, score
            if best_score < 1:
                return best
        return best or self._pick_any(tiers, tried)

    def pick_by_key(
        self,
        tiers: Tiers,
        key: str,
        tried: list[VmId],
    ) -> Peer | None:
        """The owner that every daemon picks for a key."""
        peers = [
            peer for tier in tiers for peer in tier if peer.id not in tried
        ]
        if not peers:
            return None
        return max(peers, key=lambda peer: _hash(f'{peer.id}/{key}'))

    def sweep(self) -> None:
        """Close connections that were idle for long."""
        for peer in self._peers.values():
            peer.pool.sweep()
        now = self._context.clock.monotonic()
        for host, checked_at in tuple(self._hosts.items()):
            if now - checked_at >= _HOST_AGE:
                self._hosts.pop(host)
        for retired in self._retired:
            retired.close_idle()
        self._retired = [known for known in self._retired if known.open]

    def close(self) -> None:
        """Close the connections that no call uses."""
        for peer in self._peers.values():
            peer.pool.close_idle()

    def _score(self, peer: Peer, now: timedelta) -> float:
        if self.is_local(peer):
            calls, slots = self._local.load()
            return calls / slots
        return peer.score(now)

    def _pick_in_tier(
        self,
        tier: list[Peer],
        tried: list[VmId],
        now: timedelta,
    ) -> Peer | None:
        local = self._prefer_local(tier, tried)
        if local is not None:
            return local
        # The less loaded of two random ones: all daemons that take the
        # least loaded one would fall upon it together.
        chosen = list(self._sample(tier, tried, now))
        if not chosen:
            return None
        return min(chosen, key=lambda peer: self._score(peer, now))

    def _prefer_local(
        self,
        tier: list[Peer],
        tried: list[VmId],
    ) -> Peer | None:
        own = self._peers.get(self._context.member().id)
        if own is None or own.id in tried or own not in tier:
            return None
        calls, slots = self._local.load()
        return own if calls < slots * _LOCAL_LOAD else None

    def _sample(
        self,
        tier: list[Peer],
        tried: list[VmId],
        now: timedelta,
    ) -> Iterator[Peer]:
        random = self._context.random
        drawn = tier if len(tier) <= _FEW else random.sample(tier, _FEW)
        usable = [
            peer
            for peer in drawn
            if peer.id not in tried and peer.is_usable(now)
        ]
        if len(usable) <= 2:
            yield from usable
        else:
            yield from random.sample(usable, 2)

    def _pick_any(self, tiers: Tiers, tried: list[VmId]) -> Peer | None:
        # With all ejected, the cause is likely common to them or here, and
        # to refuse every call would be worse than to try.
        peers = [
            peer for tier in tiers for peer in tier if peer.id not in tried
        ]
        return self._context.random.choice(peers) if peers else None

    def _refresh(self, *, urgency: int = 1) -> None:
        now = self._context.clock.monotonic()
        if self._built_at is not None:
            age = _REFRESH_PER_MEMBER * len(self._seen)
            if now - self._built_at < max(_REFRESH, age) / urgency:
                return
        self._built_at = now
        members = self._context.members()
        # Members are replaced whole, so equal ones are mostly the same ones
        # and a large fleet is compared without being read.
        if members != self._seen:
            self._update(members)
        own = self._context.member()
        self._place(own, self._local.upstream())

    def _update(self, members: dict[VmId, Member]) -> None:
        """Take in the members that have changed, come or gone."""
        own = self._context.member().id
        for id, member in members.items():
            if self._seen.get(id) is not member and id != own:
                self._place(member, member.upstream)
        for gone in self._seen.keys() - members.keys():
            self._remove(gone)
        self._seen = dict(members)

    def _place(self, member: Member, upstream: Upstream | None) -> None:
        """Put an owner where calls look for it, or take it away."""
        if upstream is None or upstream.state is not UpstreamState.READY:
            self._remove(member.id)
            return
        known = self._peers.get(member.id)
        if known is None or known.pool.address != member.calls:
            self._remove(member.id)
            known = Peer(member.id, self._make_pool(member.calls))
            self._peers[member.id] = known
        place = (upstream.service, upstream.version)
        if known.place != place:
            self._take_out(known)
            self._put_in(known, place, self._distance(member))
        known.update(upstream)

    def _put_in(self, peer: Peer, place: Place, distance: int) -> None:
        service, version = place
        versions = self._services.setdefault(service, {})
        tiers = versions.setdefault(version, ([], [], []))
        tiers[distance].append(peer)
        peer.place = place

    def _take_out(self, peer: Peer) -> None:
        if peer.place is None:
            return
        service, version = peer.place
        peer.place = None
        tiers = self._services[service][version]
        for tier in tiers:
            if peer in tier:
                tier.remove(peer)
        # A version without owners must not be picked.
        if not any(tiers):
            self._services[service].pop(version)

    def _remove(self, id: VmId) -> None:
        peer = self._peers.pop(id, None)
        if peer is not None:
            self._take_out(peer)
            self._retired.append(peer.pool)

    def _make_pool(self, address: str) -> Pool:
        return Pool(
            address,
            limit=self._settings.peer_connections,
            max_idle=PEER_IDLE,
            reserve=_ASK_RESERVE,
            settings=self._settings,
        )

    def _distance(self, other: Member) -> int:
        own = self._context.member()
        if own.availability_zone == other.availability_zone:
            return 0
        return 1 if own.region == other.region else 2


def _start_of(host: str) -> str:
    """How the addresses on a host begin."""
    return f'[{host}]:' if ':' in host else f'{host}:'


def _hash(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()
