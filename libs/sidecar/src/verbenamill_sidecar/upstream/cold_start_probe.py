"""Asks the local upstream whether it is cold, with its health check."""

from collections.abc import Callable

import trio

from verbenamill_http.addresses import Address
from verbenamill_http.client import (
    ClientConnection,
    ClientResponse,
    ConnectionPool,
)
from verbenamill_http.messages import (
    Framing,
    ResponseHead,
    encode_request,
    get_header,
)
from verbenamill_policy.cold_starts import ColdStartTracker
from verbenamill_policy.members import UpstreamRecord
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.upstream.in_band import read_pace

#: Longest wait for the answer to a probe, in seconds.
_TIMEOUT = 0.3
#: Idle time after which a connection is not reused for a probe, in seconds.
_MAX_IDLE = 1.0
_MAX_BODY_BYTES = 64 * 1024
_MAX_DIGITS = 12
_OK = 200


class ColdStartProbe:
    """Sends a health check whenever the tracker needs one.

    A probe uses a slot of the upstream like any request, but is not counted
    as one.

    :param current: returns the local upstream if it takes requests.
    :param health_path: returns the path of its health check; empty if there
        is none.
    :param on_sign: called after each answer that shows whether it is cold.
    :param on_pace: called with the figure of its pace, if an answer has one.
    """

    def __init__(
        self,
        *,
        address: Address,
        names: HeaderNames,
        pool: ConnectionPool,
        tracker: ColdStartTracker,
        current: Callable[[], UpstreamRecord | None],
        health_path: Callable[[UpstreamRecord], str],
        on_sign: Callable[[], None],
        on_pace: Callable[[float], None],
    ) -> None:
        self.count = 0
        self._host = str(address).encode()
        self._names = names
        self._pool = pool
        self._tracker = tracker
        self._current = current
        self._health_path = health_path
        self._on_sign = on_sign
        self._on_pace = on_pace
        self._wanted = trio.Event()

    async def run(self) -> None:
        """Send the probes that were requested until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            upstream = self._current()
            if upstream is None:
                continue
            asked_at = trio.current_time()
            remaining = None
            with trio.move_on_after(_TIMEOUT):
                remaining = await self._ask(upstream)
            # Another start of the upstream may have registered meanwhile.
            if remaining is not None and self._is_current(upstream):
                self._tracker.record_probe(remaining, asked_at=asked_at)
                self._on_sign()

    def request_if_needed(self) -> None:
        """Request a probe if the tracker needs one."""
        now = trio.current_time()
        if self._tracker.needs_probe(now):
            self._tracker.record_asked(now)
            self._wanted.set()

    def _is_current(self, upstream: UpstreamRecord) -> bool:
        current = self._current()
        return current is not None and (
            (current.instance, current.born)
            == (upstream.instance, upstream.born)
        )

    async def _ask(self, upstream: UpstreamRecord) -> float | None:
        """Return for how long it stays cold, in s; ``None`` if unknown."""
        path = self._health_path(upstream)
        if not path:
            return None
        connection = await self._pool.acquire(max_idle=_MAX_IDLE)
        if connection is None:
            return None
        self.count += 1
        answer = await self._exchange(connection, path)
        return None if answer is None else self._read(answer, upstream)

    async def _exchange(
        self, connection: ClientConnection, path: str
    ) -> ClientResponse | None:
        head = encode_request(
            b'GET', path.encode(), [(b'host', self._host)], Framing(0)
        )
        result = await self._pool.exchange(
            connection,
            head,
            matches_request=self._is_answer,
            is_bodiless=False,
            max_body=_MAX_BODY_BYTES,
        )
        return result if isinstance(result, ClientResponse) else None

    def _is_answer(self, head: ResponseHead) -> bool:
        """Whether a response does not belong to an earlier request."""
        return get_header(head.headers, self._names.request_id) is None

    def _read(
        self, answer: ClientResponse, upstream: UpstreamRecord
    ) -> float | None:
        instance = get_header(answer.headers, self._names.instance_id)
        if instance is not None and instance != upstream.instance.encode():
            return None
        pace = read_pace(answer.headers, self._names)
        if pace is not None and self._is_current(upstream):
            self._on_pace(pace)
        cold_ms = get_header(answer.headers, self._names.cold)
        if cold_ms is None:
            return 0 if answer.status == _OK else None
        if not cold_ms.isdigit() or len(cold_ms) > _MAX_DIGITS:
            return None
        return int(cold_ms) / 1000
