"""Distinguishes a crash of the local upstream from one broken connection."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from verbenamill_http.client import ConnectionPool
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.members import UpstreamRecord
from verbenamill_policy.quarantine import CrashId
from verbenamill_sidecar.quarantine.suspects import RequestIdentity, identify
from verbenamill_sidecar.routing.call import Call
from verbenamill_telemetry import Event, log

#: Time in which a proxy in front of an upstream that is down closes connections
#: that it has accepted, in seconds.
_PROXY_CLOSE_DELAY = 0.02
#: Lost requests kept for attribution to a crash that is found later.
_MAX_LOST_REQUESTS = 32
#: Fingerprints listed in one log event.
_MAX_LOGGED_FINGERPRINTS = 32


class _LostRequest(NamedTuple):
    """A request without a response whose upstream seemed to be alive."""

    request: RequestIdentity
    upstream: UpstreamRecord
    at: float


class CrashDetector:
    """Determines why a connection to the local upstream broke.

    :param on_unreachable: called when the upstream accepts no connections.
    :param in_flight: returns fingerprints of the requests at the upstream.
    :param on_crash_found: called for a lost request whose crash was only found
        later.
    """

    def __init__(
        self,
        upstream_tracker: UpstreamTracker,
        pool: ConnectionPool,
        *,
        on_unreachable: Callable[[UpstreamRecord], None],
        in_flight: Callable[[], Iterable[Fingerprint]],
        on_crash_found: Callable[[RequestIdentity, CrashId], None],
    ) -> None:
        self.count = 0
        self._upstream_tracker = upstream_tracker
        self._pool = pool
        self._on_unreachable = on_unreachable
        self._in_flight = in_flight
        self._on_crash_found = on_crash_found
        self._lost_requests: deque[_LostRequest] = deque(
            maxlen=_MAX_LOST_REQUESTS
        )
        self._last_crash: CrashId | None = None
        self._probe_lock = trio.Lock()
        self._alive_at = float('-inf')

    async def explain(
        self,
        call: Call,
        upstream: UpstreamRecord,
    ) -> CrashId | None:
        """Return the crash that broke a request's connection, if there was one.

        If the upstream seems alive, the request is kept until that is certain.
        """
        lost_at = trio.current_time()
        crash = await self._find_crash(upstream, lost_at)
        if crash is None:
            self._lost_requests.append(
                _LostRequest(identify(call), upstream, lost_at)
            )
        return crash

    def record_refused_connection(self, upstream: UpstreamRecord) -> None:
        """Handle a refused connection to the upstream's address.

        The state is announced to the other daemons, so that their requests go
        elsewhere until the next heartbeat restores the upstream; otherwise each
        further request would run into the same failure.
        """
        if self._has_left(upstream) or self._is_replaced(upstream):
            self._on_unreachable(upstream)
        else:
            self._record_crash(crash_id(upstream), upstream)

    def record_response(self, sent_at: float) -> None:
        """Clear lost requests that a response shows weren't due to a crash.

        :param sent_at: time at which the answered request was sent. Requests
            that were lost before that did not end the process.
        """
        while self._lost_requests and self._lost_requests[0].at < sent_at:
            self._lost_requests.popleft()

    def record_start(self) -> None:
        """Attribute lost requests to a crash if the upstream was replaced."""
        for lost in list(self._lost_requests):
            is_crash = self._is_replaced(lost.upstream) and not self._has_left(
                lost.upstream,
            )
            if is_crash and crash_id(lost.upstream) != self._last_crash:
                self._record_crash(crash_id(lost.upstream), lost.upstream)

    async def _find_crash(
        self,
        upstream: UpstreamRecord,
        lost_at: float,
    ) -> CrashId | None:
        """Return the crash that broke a connection, if there was one.

        If only a response was lost or one connection was reset, the upstream
        still accepts connections or keeps others open. After a crash nothing
        listens at its address, or its successor does.

        :param upstream: its record at the time when the request was sent.
        """
        crash = crash_id(upstream)
        # All requests in flight lose their connections at once; one of them
        # probes the upstream for all.
        async with self._probe_lock:
            if crash != self._last_crash and self._alive_at < lost_at:
                await self._probe(crash, upstream)
        return crash if crash == self._last_crash else None

    async def _probe(self, crash: CrashId, upstream: UpstreamRecord) -> None:
        if self._has_left(upstream):
            return
        if not self._is_replaced(upstream) and await self._is_alive():
            self._alive_at = trio.current_time()
            return
        # Meanwhile another request may have recorded the crash, or the
        # upstream may have announced its leave.
        if crash != self._last_crash and not self._has_left(upstream):
            self._record_crash(crash, upstream)

    async def _is_alive(self) -> bool:
        if self._pool.is_full:
            return True
        connection = await self._pool.acquire(max_idle=0)
        if connection is None:
            return False
        if not await connection.closes_within(_PROXY_CLOSE_DELAY):
            self._pool.release(connection)
            return True
        # An upstream at capacity may also close a new connection, but would
        # not close all others at the same time.
        self._pool.discard(connection)
        return self._pool.has_open_connection()

    def _has_left(self, upstream: UpstreamRecord) -> bool:
        """Whether it announced its end, so that lost requests show no crash."""
        if self._upstream_tracker.has_left(upstream):
            return True
        current = self._upstream_tracker.current
        return (
            current is not None
            and not self._is_replaced(upstream)
            and current.state is not UpstreamState.READY
        )

    def _is_replaced(self, upstream: UpstreamRecord) -> bool:
        current = self._upstream_tracker.current
        return current is not None and (
            (current.instance, current.born)
            != (upstream.instance, upstream.born)
        )

    def _record_crash(self, crash: CrashId, upstream: UpstreamRecord) -> None:
        self._last_crash = crash
        self.count += 1
        running_fingerprints = list(self._in_flight())
        log(
            Event.UPSTREAM_CRASHED,
            instance=upstream.instance,
            service=upstream.service,
            version=upstream.version,
            running=len(running_fingerprints),
            fingerprints=[
                one.hex()
                for one in running_fingerprints[:_MAX_LOGGED_FINGERPRINTS]
            ],
        )
        if not self._is_replaced(upstream):
            self._on_unreachable(upstream)
        lost = list(self._lost_requests)
        self._lost_requests.clear()
        for one in lost:
            if crash_id(one.upstream) == crash:
                self._on_crash_found(one.request, crash)


def crash_id(upstream: UpstreamRecord) -> CrashId:
    """Return the id of the crash that ended one start of an upstream."""
    return CrashId(f'{upstream.instance}/{upstream.born}')
