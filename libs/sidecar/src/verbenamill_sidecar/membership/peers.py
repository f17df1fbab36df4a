"""The daemons of the mesh as destinations of forwarded requests."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from zlib import crc32

import trio
from msgspec.structs import replace

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ConnectionPool
from verbenamill_model.typing import (
    AvailabilityZone,
    ServiceName,
    UpstreamState,
    VmId,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import (
    LEAVE_SEQUENCE,
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.placement import MAX_BACKOFF, OwnerEstimate
from verbenamill_policy.rollouts import Shares
from verbenamill_telemetry import Event, log

#: Idle time after which a connection between daemons is closed, in seconds.
MAX_IDLE = 20.0
#: Time after which a daemon that does not accept a connection is unreachable,
#: in seconds. Daemons of the same region respond within some milliseconds.
CONNECT_TIMEOUT = 0.25
#: Open connections to one daemon: more than any upstream's slots and queue.
MAX_CONNECTIONS = 128
#: Silence in seconds after which a daemon with pending requests is probed, and
#: after which it is suspected. The second is well above the delay of a daemon
#: whose processor is busy or over its quota, and leaves time for another owner
#: to respond within the objective.
PROBE_AFTER = 0.3
SUSPECT_AFTER = 0.6


#: Longest delay of the first request to an upstream that has become cold, in
#: seconds. It is about as long as upstreams are cold.
MAX_FIRST_DELAY = 3.0

#: Called with the time at which a daemon was suspected. A sign of life after
#: that time ends the suspicion; infinity if its process was replaced.
SuspicionCallback = Callable[[float], None]


_CRC_RANGE = 1 << 32
#: Identifies one start of an upstream: its instance and start time.
StartId = tuple[str, int]


def start_id_of(upstream: UpstreamRecord) -> StartId:
    """Return which start of an upstream a record describes."""
    return upstream.instance, upstream.born


class _PendingRequest:
    """A request that waits for the response of a daemon."""

    __slots__ = ('since', 'on_suspect')

    def __init__(self, since: float, on_suspect: SuspicionCallback) -> None:
        self.since = since
        self.on_suspect = on_suspect


class Peer:
    """One daemon and its upstream.

    :param watched: set to which the daemon is added while it has pending
        requests or is marked as unreachable.
    :ivar last_alive_at: time of the last sign of life, on trio's clock.
    """

    def __init__(
        self,
        record: MemberRecord,
        watched: 'set[Peer] | None' = None,
    ) -> None:
        upstream = record.upstream
        self.record = record
        self._watched = set() if watched is None else watched
        self._pending: set[_PendingRequest] = set()
        self.last_alive_at = float('-inf')
        self._limit: tuple[StartId, RateLimit | None] | None = None
        self._left: StartId | None = None
        self.record_leave(upstream)
        if upstream is not None:
            self.record_limit(upstream, upstream.limit)
        self._suspected_at = float('-inf')
        self.owner = OwnerEstimate(
            vm=record.vm,
            availability_zone=record.availability_zone,
            slots=1 if upstream is None else upstream.slots,
        )
        self.pool = ConnectionPool(
            parse_address(record.calls),
            limit=MAX_CONNECTIONS,
            max_idle=MAX_IDLE,
            connect_timeout=CONNECT_TIMEOUT,
        )

    @property
    def upstream(self) -> UpstreamRecord | None:
        """The daemon's upstream, if it accepts requests."""
        upstream = self.record.upstream
        if upstream is None or self.record.leaving:
            return None
        if upstream.state is not UpstreamState.READY:
            return None
        if self.has_recorded_leave(upstream):
            return None
        return upstream

    def record_leave(self, upstream: UpstreamRecord | None) -> None:
        """Record that the upstream has left, as a record or a reply says.

        The upstream gets no requests from this daemon from then on, even if
        its own daemon restarts, forgets the leave and reports it as ready.
        """
        if upstream is not None and upstream.has_left:
            self._left = start_id_of(upstream)

    def has_recorded_leave(self, upstream: UpstreamRecord) -> bool:
        """Whether this start of the upstream is known to have left."""
        return start_id_of(upstream) == self._left

    def record_limit(
        self,
        upstream: UpstreamRecord,
        limit: RateLimit | None,
    ) -> None:
        """Record the upstream's limit from a reply or a member record.

        It is kept over a restart of the daemon, whose own record may lack it.
        """
        self._limit = (start_id_of(upstream), limit)

    def limit_of(self, upstream: UpstreamRecord) -> RateLimit | None:
        """Return the limit of the upstream that was recorded last."""
        if self._limit is None or self._limit[0] != start_id_of(upstream):
            return None
        return self._limit[1]

    @property
    def needs_watch(self) -> bool:
        """Whether the daemon has pending requests or is marked unreachable."""
        return bool(self._pending) or self.owner.down_until > 0

    @contextmanager
    def awaiting_answer(self, on_suspect: SuspicionCallback) -> Iterator[None]:
        """Track a request that waits for a response of this daemon.

        :param on_suspect: called repeatedly while the daemon is suspected.
        """
        pending = _PendingRequest(trio.current_time(), on_suspect)
        self._pending.add(pending)
        self._watched.add(self)
        try:
            yield
        finally:
            self._pending.discard(pending)

    def mark_alive(self) -> None:
        """Record a sign of life."""
        now = trio.current_time()
        if self.owner.down_until > now:
            log(Event.PEER_RECOVERED, peer=self.record.vm)
        self.last_alive_at = now
        self.owner.down_until = 0

    def silent_for(self, now: float) -> float:
        """How long a daemon with pending requests has been silent, in s."""
        if not self._pending:
            return 0
        oldest = min(pending.since for pending in self._pending)
        return now - max(self.last_alive_at, oldest)

    def max_idle(self, now: float, *, is_idempotent: bool) -> float:
        """Idle time after which a request does not reuse a connection, in s.

        A request on a reused connection to a daemon that is gone is lost,
        while a new connection fails before anything is sent. A daemon that has
        been silent since it was suspected therefore only gets new connections.
        Even after a sign of life its process may have been replaced, which
        ends the older connections; requests that aren't idempotent skip those.
        """
        if self.last_alive_at < self._suspected_at:
            return 0
        if is_idempotent:
            return MAX_IDLE
        return min(now - self._suspected_at, MAX_IDLE)

    def check_silence(self, now: float, *, awake_since: float) -> None:
        """Call back the requests that a silent daemon has kept waiting.

        The requests aren't cancelled, as silence does not distinguish a daemon
        that is gone from one that is slow or behind a congested link. If it is
        gone, the kernel ends the connections (see
        :func:`~verbenamill_http.sockets.set_tcp_options`).

        :param awake_since: end of the last stall of this process. Signs of
            life may be unread at that time, and no probes were sent before.
        """
        alive_at = max(self.last_alive_at, awake_since)
        suspected = [
            pending
            for pending in self._pending
            if now - max(alive_at, pending.since) >= SUSPECT_AFTER
        ]
        if suspected:
            self._suspected_at = now
            self.mark_unreachable('it gives no sign of life', pause=MAX_BACKOFF)
        for pending in suspected:
            pending.on_suspect(now)

    def mark_unreachable(self, reason: str, *, pause: float = 0) -> None:
        """Send no new requests for some time or until the next sign of life.

        Open connections are kept, as they still work where new ones fail
        because of a congested link.

        :param pause: duration in seconds; 0 for one that grows with each
            failure. A silent daemon is probed meanwhile, so that no request
            is needed to find out whether it is back.
        """
        now = trio.current_time()
        if self.owner.down_until > now:
            return
        log(
            Event.PEER_LOST,
            peer=self.record.vm,
            reason=reason,
            waiting=len(self._pending),
            silent_ms=int(self.silent_for(now) * 1000),
        )
        self.owner.mark_down(now, pause=pause)
        self._watched.add(self)

    def mark_restarted(self) -> None:
        """Handle a restart, which loses the requests at the old process."""
        self.pool.invalidate()
        self.owner.down_until = 0
        for pending in list(self._pending):
            pending.on_suspect(float('inf'))


class Peers:
    """All daemons by service, updated from the member table.

    :param evacuated_zones: returns the zones whose upstreams get no requests.
    """

    def __init__(
        self,
        table: MemberTable,
        own_vm: VmId,
        *,
        evacuated_zones: Callable[[], frozenset[AvailabilityZone]] = frozenset,
    ) -> None:
        self._table = table
        self._own_vm = own_vm
        self._find_evacuated_zones = evacuated_zones
        self._evacuated_zones: frozenset[AvailabilityZone] = frozenset()
        self._evacuated_services: frozenset[ServiceName] = frozenset()
        self._table_version = -1
        self._peers: dict[VmId, Peer] = {}
        self._watched: set[Peer] = set()
        self._leaving: list[Peer] = []
        self._by_service: dict[ServiceName, list[Peer]] = {}

    def all(self) -> Iterable[Peer]:
        """Return all daemons, including this one."""
        self._refresh()
        return self._peers.values()

    def get(self, vm: VmId) -> Peer | None:
        """Return the daemon of a VM, if it is known."""
        self._refresh()
        return self._peers.get(vm)

    @property
    def own(self) -> Peer | None:
        """This daemon, once its own record is known."""
        return self.get(self._own_vm)

    def is_own(self, peer: Peer) -> bool:
        """Whether the peer is this daemon."""
        return peer.record.vm == self._own_vm

    def is_suspect(self, vm: VmId) -> bool:
        """Whether a daemon is marked as unreachable."""
        peer = self.get(vm)
        if peer is None or not peer.owner.down_until:
            return False
        return peer.owner.down_until > trio.current_time()

    def for_service(self, service: ServiceName) -> list[Peer]:
        """Return the daemons whose upstreams accept requests of a service."""
        self._refresh()
        return self._by_service.get(service, [])

    def is_evacuated(self, service: ServiceName) -> bool:
        """Whether a service has upstreams, all of them in evacuated zones."""
        self._refresh()
        return (
            service in self._evacuated_services
            and service not in self._by_service
        )

    def record_leave(self, peer: Peer, upstream: UpstreamRecord) -> None:
        """Record that an upstream has left, as a reply of its daemon says."""
        if peer.has_recorded_leave(upstream):
            return
        peer.record_leave(replace(upstream, heartbeat=LEAVE_SEQUENCE))
        self._table_version = -1

    def watched_peers(self) -> list[Peer]:
        """Return daemons with pending requests, unreachable or leaving ones.

        The others need no check, so the cost is independent of the fleet size.
        """
        self._refresh()
        for peer in list(self._watched):
            is_known = self._peers.get(peer.record.vm) is peer
            if not is_known or not peer.needs_watch:
                self._watched.discard(peer)
        return list({*self._watched, *self._leaving})

    def sweep(self) -> None:
        """Close connections past their idle time."""
        for peer in self._peers.values():
            peer.pool.close_expired()

    def close(self) -> None:
        """Close the connections that aren't in use."""
        for peer in self._peers.values():
            peer.pool.close_idle()

    def _refresh(self) -> None:
        evacuated_zones = self._find_evacuated_zones()
        if (
            self._table_version == self._table.version
            and self._evacuated_zones == evacuated_zones
        ):
            return
        self._table_version = self._table.version
        self._evacuated_zones = evacuated_zones
        evacuated_services: set[ServiceName] = set()
        previous = self._peers
        self._peers = {}
        self._by_service = {}
        self._leaving = []
        for record in self._table:
            peer = self._peer_for(previous.pop(record.vm, None), record)
            self._peers[record.vm] = peer
            if record.leaving:
                self._leaving.append(peer)
            upstream = peer.upstream
            if upstream is None:
                continue
            if record.availability_zone in evacuated_zones:
                evacuated_services.add(upstream.service)
            else:
                self._by_service.setdefault(upstream.service, []).append(peer)
        self._evacuated_services = frozenset(evacuated_services)
        for gone in previous.values():
            gone.pool.close_idle()

    def _peer_for(self, peer: Peer | None, record: MemberRecord) -> Peer:
        """Update the peer of a record; make a new one for a new address."""
        was_cold = peer is not None and _is_cold(peer.record)
        if peer is None or peer.record.calls != record.calls:
            peer = Peer(record, self._watched)
        else:
            _update(peer, record)
        if _is_cold(record) and not was_cold:
            self._spread_first_requests(peer)
        return peer

    def _spread_first_requests(self, peer: Peer) -> None:
        """Spread the first requests of all daemons to a cold upstream.

        All of them hear of it at the same time. Each waits for its own part of
        the time in which the upstream takes one request of each daemon of its
        zone.
        """
        upstream = peer.record.upstream
        if self.is_own(peer) or upstream is None or upstream.limit is None:
            return
        daemons = len(self._table.in_zone(peer.record.availability_zone))
        place = crc32(f'{self._own_vm}/{peer.record.vm}'.encode()) / _CRC_RANGE
        delay = min(daemons / upstream.limit.rate, MAX_FIRST_DELAY) * place
        peer.owner.delay_first_request(delay, trio.current_time())


def _is_cold(record: MemberRecord) -> bool:
    """Whether the upstream of a daemon is announced as cold."""
    upstream = record.upstream
    limit = None if upstream is None else upstream.limit
    return limit is not None and limit.is_cold


def _update(peer: Peer, record: MemberRecord) -> None:
    """Apply a daemon's new member record to its peer."""
    previous = peer.record
    peer.record = record
    has_restarted = previous.incarnation != record.incarnation
    if has_restarted:
        peer.mark_restarted()
    upstream = record.upstream
    peer.record_leave(upstream)
    if upstream is None:
        return
    prior = previous.upstream
    if upstream.limit != _previous_limit(prior, upstream, has_restarted):
        peer.record_limit(upstream, upstream.limit)
    if prior is None or start_id_of(prior) != start_id_of(upstream):
        peer.owner = OwnerEstimate(
            vm=record.vm,
            availability_zone=record.availability_zone,
            slots=upstream.slots,
        )
    elif prior.limit is not None and upstream.limit is None:
        peer.owner.clear_limit()
    peer.owner.slots = max(upstream.slots, 1)


def _previous_limit(
    previous: UpstreamRecord | None,
    upstream: UpstreamRecord,
    has_restarted: bool,
) -> RateLimit | None:
    """Return the limit of the same start in the previous record.

    There is none if the daemon has restarted: its records have no limit until
    it learns of one.
    """
    if (
        previous is None
        or has_restarted
        or start_id_of(previous) != start_id_of(upstream)
    ):
        return None
    return previous.limit


def filter_by_version(
    peers: list[Peer],
    shares: Shares,
    *,
    target: bool,
) -> list[Peer]:
    """Select the peers that run the target of a rollout, or an old version.

    Versions that earlier rollouts have rolled back are in neither group.
    """
    if target:
        return [peer for peer in peers if _version_of(peer) == shares.target]
    return [
        peer
        for peer in peers
        if _version_of(peer) not in shares.taken_back
        and _version_of(peer) != shares.target
    ]


def _version_of(peer: Peer) -> str | None:
    upstream = peer.upstream
    return None if upstream is None else upstream.version
