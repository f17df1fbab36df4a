"""The other daemons, as this one sends requests to them."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import trio
from msgspec.structs import replace

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ConnectionPool
from verbenamill_model.typing import ServiceName, UpstreamState, VmId
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
#: A daemon of the same region answers within some ms; one that does not in
#: this time is out of reach, in seconds.
CONNECT_TIMEOUT = 0.25
#: Open connections to one daemon: more than any upstream's slots and queue.
MAX_CONNECTIONS = 128
#: Silence after which a daemon that owes an answer is asked for a sign of
#: life, and after which it seems to be lost, in seconds. The second is well
#: above the delay of a daemon whose processor is busy or out of its quota, and
#: leaves time for another owner to answer within the objective.
PROBE_AFTER = 0.3
SUSPECT_AFTER = 0.6


#: Told when a daemon seemed to be lost. A sign of life after that time ends the
#: doubt; infinity, if the process that was asked has gone.
SuspicionCallback = Callable[[float], None]


#: One start of an upstream: its instance and when that was.
Start = tuple[str, int]


def start_of(upstream: UpstreamRecord) -> Start:
    """Which start of an upstream a record is about."""
    return upstream.instance, upstream.born


class _Waiter:
    """A request that waits for a daemon's answer."""

    __slots__ = ('since', 'on_suspect')

    def __init__(self, since: float, on_suspect: SuspicionCallback) -> None:
        self.since = since
        self.on_suspect = on_suspect


class Peer:
    """One daemon and its upstream.

    :param watched: where a daemon is added that owes an answer or is avoided.
    :ivar heard_at: when it last gave a sign of life, on trio's clock.
    """

    def __init__(
        self,
        record: MemberRecord,
        watched: 'set[Peer] | None' = None,
    ) -> None:
        upstream = record.upstream
        self.record = record
        self._watched = set() if watched is None else watched
        self._waiting: set[_Waiter] = set()
        self.heard_at = float('-inf')
        self._limit: tuple[Start, RateLimit | None] | None = None
        self._left: Start | None = None
        self.tell_left(upstream)
        if upstream is not None:
            self.tell_limit(upstream, upstream.limit)
        self._doubted_at = float('-inf')
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
        """Its upstream, if that takes requests."""
        upstream = self.record.upstream
        if upstream is None or self.record.leaving:
            return None
        if upstream.state is not UpstreamState.READY:
            return None
        if self.knows_left(upstream):
            return None
        return upstream

    def tell_left(self, upstream: UpstreamRecord | None) -> None:
        """Take in what a record or a reply says of an end of its upstream.

        It binds this daemon even if the other one starts again, forgets it and
        tells of the upstream as ready.
        """
        if upstream is not None and upstream.has_left:
            self._left = start_of(upstream)

    def knows_left(self, upstream: UpstreamRecord) -> bool:
        """Whether this start of its upstream is known to have ended."""
        return start_of(upstream) == self._left

    def tell_limit(
        self,
        upstream: UpstreamRecord,
        limit: RateLimit | None,
    ) -> None:
        """Take in the limit of its upstream, as a reply or a record tells it.

        It outlives a restart of the daemon, whose own record may not have it.
        """
        self._limit = (start_of(upstream), limit)

    def limit_of(self, upstream: UpstreamRecord) -> RateLimit | None:
        """The limit of its upstream, as it was told last."""
        if self._limit is None or self._limit[0] != start_of(upstream):
            return None
        return self._limit[1]

    @property
    def needs_watch(self) -> bool:
        """Whether it owes an answer or is avoided."""
        return bool(self._waiting) or self.owner.down_until > 0

    @contextmanager
    def awaiting_answer(self, on_suspect: SuspicionCallback) -> Iterator[None]:
        """Wait for its answer.

        :param doubt: called again and again while it seems to be lost.
        """
        waiter = _Waiter(trio.current_time(), on_suspect)
        self._waiting.add(waiter)
        self._watched.add(self)
        try:
            yield
        finally:
            self._waiting.discard(waiter)

    def mark_alive(self) -> None:
        """It gave a sign of life."""
        now = trio.current_time()
        if self.owner.down_until > now:
            log(Event.PEER_RECOVERED, peer=self.record.vm)
        self.heard_at = now
        self.owner.down_until = 0

    def silent_for(self, now: float) -> float:
        """How long it has owed a sign of life, in seconds."""
        if not self._waiting:
            return 0
        oldest = min(waiter.since for waiter in self._waiting)
        return now - max(self.heard_at, oldest)

    def max_idle(self, now: float, *, is_idempotent: bool) -> float:
        """Idle time after which a request does not use a connection, in s.

        What goes out on a kept connection to a daemon that is gone is lost,
        while a new connection fails before anything is sent. So a daemon that
        has given no sign of life since it seemed lost gets new ones only. If
        it has, its process may still have been replaced, which ends the kept
        ones; what must not be repeated passes over those.
        """
        if self.heard_at < self._doubted_at:
            return 0
        if is_idempotent:
            return MAX_IDLE
        return min(now - self._doubted_at, MAX_IDLE)

    def check_silence(self, now: float, *, awake_since: float) -> None:
        """Warn the requests that have waited for long without a sign of life.

        No request that it may be running is broken off: silence does not tell
        a daemon that is gone from one that is slow or behind a full link. If
        it is gone, the kernel ends the connections (see
        :func:`~verbenamill_http.sockets.set_tcp_options`).

        :param awake_since: end of the last standstill of this process. Signs
            of life may lie unread at that time, and nobody was asked.
        """
        known = max(self.heard_at, awake_since)
        doubted = [
            waiter
            for waiter in self._waiting
            if now - max(known, waiter.since) >= SUSPECT_AFTER
        ]
        if doubted:
            self._doubted_at = now
            self.mark_unreachable('it gives no sign of life', pause=MAX_BACKOFF)
        for waiter in doubted:
            waiter.on_suspect(now)

    def mark_unreachable(self, reason: str, *, pause: float = 0) -> None:
        """Send it no new request for a while, or until it is heard of.

        Its open connections stay: where new ones fail for a full link, these
        still work.

        :param pause: for how long, in seconds; 0 for longer each time. One
            that is silent is asked for a sign of life all the while, so no
            request has to find out whether it is back.
        """
        now = trio.current_time()
        if self.owner.down_until > now:
            return
        log(
            Event.PEER_LOST,
            peer=self.record.vm,
            reason=reason,
            waiting=len(self._waiting),
            silent_ms=int(self.silent_for(now) * 1000),
        )
        self.owner.mark_down(now, pause=pause)
        self._watched.add(self)

    def restarted(self) -> None:
        """Another process is there: what waits for the one before is lost."""
        self.pool.invalidate()
        self.owner.down_until = 0
        for waiter in list(self._waiting):
            waiter.on_suspect(float('inf'))


class Peers:
    """All daemons by service, kept in step with the table of members."""

    def __init__(self, table: MemberTable, own: VmId) -> None:
        self._table = table
        self._own = own
        self._seen = -1
        self._peers: dict[VmId, Peer] = {}
        self._watched: set[Peer] = set()
        self._leaving: list[Peer] = []
        self._by_service: dict[ServiceName, list[Peer]] = {}

    def all(self) -> Iterable[Peer]:
        """All daemons, the own one included."""
        self._refresh()
        return self._peers.values()

    def get(self, vm: VmId) -> Peer | None:
        """One daemon."""
        self._refresh()
        return self._peers.get(vm)

    def is_own(self, peer: Peer) -> bool:
        """Whether it is this daemon."""
        return peer.record.vm == self._own

    def is_suspect(self, vm: VmId) -> bool:
        """Whether a daemon seems to be out of reach."""
        peer = self.get(vm)
        if peer is None or not peer.owner.down_until:
            return False
        return peer.owner.down_until > trio.current_time()

    def for_service(self, service: ServiceName) -> list[Peer]:
        """Daemons whose upstream takes requests of a service."""
        self._refresh()
        return self._by_service.get(service, [])

    def tell_left(self, peer: Peer, upstream: UpstreamRecord) -> None:
        """A reply says that an upstream has said that it ends."""
        if peer.knows_left(upstream):
            return
        peer.tell_left(replace(upstream, heartbeat=LEAVE_SEQUENCE))
        self._seen = -1

    def watched_peers(self) -> list[Peer]:
        """Daemons that owe an answer, are avoided or leave.

        All others need no look, however many there are.
        """
        self._refresh()
        for peer in list(self._watched):
            is_known = self._peers.get(peer.record.vm) is peer
            if not is_known or not peer.needs_watch:
                self._watched.discard(peer)
        return list({*self._watched, *self._leaving})

    def sweep(self) -> None:
        """Close connections that were idle for long."""
        for peer in self._peers.values():
            peer.pool.close_expired()

    def close(self) -> None:
        """Close the connections that nobody uses."""
        for peer in self._peers.values():
            peer.pool.close_idle()

    def _refresh(self) -> None:
        if self._seen == self._table.version:
            return
        self._seen = self._table.version
        known = self._peers
        self._peers = {}
        self._by_service = {}
        self._leaving = []
        for record in self._table:
            peer = self._follow(known.pop(record.vm, None), record)
            self._peers[record.vm] = peer
            if record.leaving:
                self._leaving.append(peer)
            upstream = peer.upstream
            if upstream is not None:
                self._by_service.setdefault(upstream.service, []).append(peer)
        for gone in known.values():
            gone.pool.close_idle()

    def _follow(self, peer: Peer | None, record: MemberRecord) -> Peer:
        """The peer of a record; a new one where connections are useless."""
        if peer is None or peer.record.calls != record.calls:
            return Peer(record, self._watched)
        _update(peer, record)
        return peer


def _update(peer: Peer, record: MemberRecord) -> None:
    """Take in what a daemon tells anew of itself."""
    before = peer.record
    peer.record = record
    has_restarted = before.incarnation != record.incarnation
    if has_restarted:
        peer.restarted()
    upstream = record.upstream
    peer.tell_left(upstream)
    if upstream is None:
        return
    old = before.upstream
    if upstream.limit != _told_limit(old, upstream, has_restarted):
        peer.tell_limit(upstream, upstream.limit)
    if old is None or start_of(old) != start_of(upstream):
        peer.owner = OwnerEstimate(
            vm=record.vm,
            availability_zone=record.availability_zone,
            slots=upstream.slots,
        )
    elif old.limit is not None and upstream.limit is None:
        peer.owner.clear_limit()
    peer.owner.slots = max(upstream.slots, 1)


def _told_limit(
    old: UpstreamRecord | None,
    upstream: UpstreamRecord,
    has_restarted: bool,
) -> RateLimit | None:
    """The limit that the record before told of the same start.

    A daemon that has started again tells none until it knows of one.
    """
    if old is None or has_restarted or start_of(old) != start_of(upstream):
        return None
    return old.limit


def with_version(
    peers: list[Peer],
    shares: Shares,
    *,
    target: bool,
) -> list[Peer]:
    """Peers whose upstream runs the target of a move, or an old version.

    A version that an earlier move took back is neither.
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
