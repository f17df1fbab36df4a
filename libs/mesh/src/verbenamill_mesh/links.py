"""Links to other daemons: one task, queue and connection per peer."""

from collections.abc import AsyncIterator, Callable
from datetime import timedelta

import trio
from returns.result import Failure, Result, Success

from verbenamill_mesh.messages import (
    Envelope,
    Reply,
    Request,
    decode_reply,
    encode,
    kind_of,
)
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.transport import Link, Transport
from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Requests queued for one peer; further ones fail immediately.
MAX_QUEUED_REQUESTS = 64


class _PendingRequest:
    """A request that waits for its answer."""

    def __init__(self, kind: str, body: bytes, timeout: timedelta) -> None:
        self.kind = kind
        self.body = body
        self.timeout = timeout.total_seconds()
        self.expires = trio.current_time() + 2 * self.timeout
        self.reply: Result[Reply, str] = Failure('not sent')
        self.done = trio.Event()


class Links:
    """Links to other daemons by address.

    :param is_cut: whether a test has cut off an address.
    """

    def __init__(
        self,
        *,
        own_id: VmId,
        availability_zone: AvailabilityZone,
        transport: Transport,
        settings: MeshSettings,
        stats: MeshStats,
        is_cut: Callable[[str], bool],
    ) -> None:
        self._is_cut = is_cut
        self._own_id = own_id
        self._availability_zone = availability_zone
        self._transport = transport
        self._settings = settings
        self._stats = stats
        self._queues: dict[str, trio.MemorySendChannel[_PendingRequest]] = {}
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def send_request(
        self,
        address: str,
        request: Request,
        *,
        timeout: timedelta | None = None,
    ) -> Result[Reply, str]:
        """Send a request over the peer's link and wait for the answer.

        :param timeout: for each attempt; defaults to the request timeout.
        :returns: the answer, or why there is none; the peer may have handled
            the request even without an answer.
        """
        envelope = Envelope(self._own_id, self._availability_zone, request)
        pending = _PendingRequest(
            kind_of(request),
            encode(envelope),
            timeout or self._settings.request_timeout,
        )
        if self._nursery is None:
            return Failure('this daemon is not running')
        try:
            self._queue_of(address, self._nursery).send_nowait(pending)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._stats.requests_dropped += 1
            return Failure('too many requests are queued for this peer')
        await pending.done.wait()
        return pending.reply

    def _queue_of(
        self,
        address: str,
        nursery: trio.Nursery,
    ) -> trio.MemorySendChannel[_PendingRequest]:
        queue = self._queues.get(address)
        if queue is None:
            queue, requests = trio.open_memory_channel[_PendingRequest](
                MAX_QUEUED_REQUESTS
            )
            self._queues[address] = queue
            nursery.start_soon(self._serve, address, requests)
        return queue

    async def _serve(
        self,
        address: str,
        requests: trio.MemoryReceiveChannel[_PendingRequest],
    ) -> None:
        link: Link | None = None
        self._stats.links += 1
        try:
            async for pending in self._receive_until_idle(requests):
                link = await self._handle(address, link, pending)
                pending.done.set()
        finally:
            self._close_link(address, link)

    def _close_link(self, address: str, link: Link | None) -> None:
        self._stats.links -= 1
        self._queues.pop(address).close()
        if link is not None:
            link.close()

    async def _receive_until_idle(
        self,
        requests: trio.MemoryReceiveChannel[_PendingRequest],
    ) -> AsyncIterator[_PendingRequest]:
        """Yield requests in order, until the link has been idle too long."""
        idle = self._settings.link_idle_timeout.total_seconds()
        while True:
            pending: _PendingRequest | None = None
            with trio.move_on_after(idle):
                pending = await requests.receive()
            pending = pending or _receive_queued(requests)
            if pending is None:
                return
            yield pending

    async def _handle(
        self,
        address: str,
        link: Link | None,
        pending: _PendingRequest,
    ) -> Link | None:
        """Send one request, on a new link if the old one gets no answer.

        A device between two daemons can lose track of an open connection: all
        requests on it are then lost, while new connections work. So the first
        timeout closes the link, and the request is retried once on a new link
        before the peer counts as unreachable.
        """
        worked_before = link is not None
        is_silent = False
        for _ in range(2 if worked_before else 1):
            if trio.current_time() >= pending.expires:
                return link
            link = link or self._transport.dial(address)
            pending.reply = await self._send_once(address, link, pending)
            if isinstance(pending.reply, Success):
                if is_silent:
                    log(Event.PEER_RECOVERED, peer=address)
                return link
            link.close()
            link = None
            self._stats.links_replaced += 1
            if worked_before and not is_silent:
                is_silent = True
                log(
                    Event.PEER_LOST,
                    peer=address,
                    reason=pending.reply.failure(),
                )
        return None

    async def _send_once(
        self,
        address: str,
        link: Link,
        pending: _PendingRequest,
    ) -> Result[Reply, str]:
        self._stats.count_sent(pending.kind, len(pending.body))
        outcome: Result[bytes, str] = Failure('no answer in time')
        with trio.move_on_after(pending.timeout):
            if self._is_cut(address):
                await trio.sleep_forever()
            outcome = await link.request(pending.body)
        return outcome.bind(self._decode_answer)

    def _decode_answer(self, body: bytes) -> Result[Reply, str]:
        reply = decode_reply(body)
        if reply is None:
            return Failure('the answer cannot be decoded')
        self._stats.count_received(kind_of(reply), len(body))
        return Success(reply)


def _receive_queued(
    requests: trio.MemoryReceiveChannel[_PendingRequest],
) -> _PendingRequest | None:
    """Receive a request that was queued as the wait for it timed out.

    Other tasks may run between the deadline and the end of this task. A
    request that they queue in that interval would never be sent, and its
    sender would wait for ever.
    """
    try:
        return requests.receive_nowait()
    except trio.WouldBlock:
        return None
