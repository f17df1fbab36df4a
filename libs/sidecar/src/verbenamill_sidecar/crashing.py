"""Tells a crash of the own upstream from a connection that broke alone."""

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
from verbenamill_sidecar.call import Call
from verbenamill_sidecar.suspects import Identity, identify
from verbenamill_telemetry import Event, log

#: Time in which a proxy in front of an upstream that is down closes what it
#: has accepted, in seconds.
_PROXY_TIME = 0.02
#: Lost requests that are remembered.
_MOST_LOST = 32
#: Fingerprints in one log line.
_SHOWN = 32


class _Lost(NamedTuple):
    """A request whose answer was lost while its upstream seemed to live."""

    request: Identity
    upstream: UpstreamRecord
    at: float


class CrashDetector:
    """Finds out why a connection to the own upstream broke.

    :param lose: told that nobody listens at the upstream's address.
    :param in_hand: fingerprints of the requests that the upstream runs.
    :param record_crash: told of a request that was lost in a crash which was
        found out only later.
    """

    def __init__(
        self,
        register: UpstreamTracker,
        pool: ConnectionPool,
        *,
        lose: Callable[[UpstreamRecord], None],
        in_flight: Callable[[], Iterable[Fingerprint]],
        record_crash: Callable[[Identity, CrashId], None],
    ) -> None:
        self.count = 0
        self._register = register
        self._pool = pool
        self._lose = lose
        self._in_hand = in_flight
        self._accuse = record_crash
        self._lost: deque[_Lost] = deque(maxlen=_MOST_LOST)
        self._newest: CrashId | None = None
        self._looking = trio.Lock()
        self._alive_at = float('-inf')

    async def explain(
        self,
        call: Call,
        upstream: UpstreamRecord,
    ) -> CrashId | None:
        """The crash that broke a request's connection, if there was one.

        If it seems to live, the request is remembered until that is certain.
        """
        lost_at = trio.current_time()
        crash = await self._find(upstream, lost_at)
        if crash is None:
            self._lost.append(_Lost(identify(call), upstream, lost_at))
        return crash

    def see_refused(self, upstream: UpstreamRecord) -> None:
        """Nobody listens at its address.

        Each further request would find out anew; told to the others, they go
        elsewhere until the next heartbeat brings the upstream back.
        """
        if self._has_left(upstream) or self._is_replaced(upstream):
            self._lose(upstream)
        else:
            self._note(name_crash(upstream), upstream)

    def see_answer(self, began: float) -> None:
        """The upstream has answered a request.

        :param began: when that was sent. What was lost before did not end the
            process.
        """
        while self._lost and self._lost[0].at < began:
            self._lost.popleft()

    def see_start(self) -> None:
        """Another upstream, or another start of it, is there now."""
        for lost in list(self._lost):
            is_crash = self._is_replaced(lost.upstream) and not self._has_left(
                lost.upstream,
            )
            if is_crash and name_crash(lost.upstream) != self._newest:
                self._note(name_crash(lost.upstream), lost.upstream)

    async def _find(
        self,
        upstream: UpstreamRecord,
        lost_at: float,
    ) -> CrashId | None:
        """The crash that broke a connection, if there was one.

        Where an answer is lost, or a link is reset, the upstream still takes
        connections, or keeps others. After a crash nobody listens, or its
        successor does.

        :param upstream: as it was when the request was sent to it.
        """
        crash = name_crash(upstream)
        # All requests in hand lose their connections at once; one of them
        # looks, for all.
        async with self._looking:
            if crash != self._newest and self._alive_at < lost_at:
                await self._look(crash, upstream)
        return crash if crash == self._newest else None

    async def _look(self, crash: CrashId, upstream: UpstreamRecord) -> None:
        if self._has_left(upstream):
            return
        if not self._is_replaced(upstream) and await self._is_alive():
            self._alive_at = trio.current_time()
            return
        # A request that found nobody, or a word of the upstream, may have
        # come meanwhile.
        if crash != self._newest and not self._has_left(upstream):
            self._note(crash, upstream)

    async def _is_alive(self) -> bool:
        if self._pool.is_full:
            return True
        connection = await self._pool.acquire(max_idle=0)
        if connection is None:
            return False
        if not await connection.closes_within(_PROXY_TIME):
            self._pool.release(connection)
            return True
        # A full upstream may close a new connection as well, but not all
        # others at the same time.
        self._pool.discard(connection)
        return self._pool.has_open_connection()

    def _has_left(self, upstream: UpstreamRecord) -> bool:
        """Whether it said that it ends; what it cuts then, no request did."""
        if self._register.has_left(upstream):
            return True
        current = self._register.current
        return (
            current is not None
            and not self._is_replaced(upstream)
            and current.state is not UpstreamState.READY
        )

    def _is_replaced(self, upstream: UpstreamRecord) -> bool:
        current = self._register.current
        return current is not None and (
            (current.instance, current.born)
            != (upstream.instance, upstream.born)
        )

    def _note(self, crash: CrashId, upstream: UpstreamRecord) -> None:
        self._newest = crash
        self.count += 1
        found = list(self._in_hand())
        log(
            Event.UPSTREAM_CRASHED,
            instance=upstream.instance,
            service=upstream.service,
            version=upstream.version,
            running=len(found),
            fingerprints=[one.hex() for one in found[:_SHOWN]],
        )
        if not self._is_replaced(upstream):
            self._lose(upstream)
        lost = list(self._lost)
        self._lost.clear()
        for one in lost:
            if name_crash(one.upstream) == crash:
                self._accuse(one.request, crash)


def name_crash(upstream: UpstreamRecord) -> CrashId:
    """Names the end of one start of an upstream."""
    return CrashId(f'{upstream.instance}/{upstream.born}')
