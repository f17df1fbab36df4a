"""Links to other daemons: one task, one queue and one connection a peer."""

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

#: Requests that wait for one peer; more are given up.
MAX_WAITING = 64


class _Job:
    """One request that waits for its answer."""

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
        own: VmId,
        availability_zone: AvailabilityZone,
        transport: Transport,
        settings: MeshSettings,
        stats: MeshStats,
        is_cut: Callable[[str], bool],
    ) -> None:
        self._is_cut = is_cut
        self._own = own
        self._availability_zone = availability_zone
        self._transport = transport
        self._settings = settings
        self._stats = stats
        self._queues: dict[str, trio.MemorySendChannel[_Job]] = {}
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

    async def ask(
        self,
        address: str,
        request: Request,
        *,
        timeout: timedelta | None = None,
    ) -> Result[Reply, str]:
        """Send a request over the peer's link and wait for the answer.

        :param timeout: for one try; the request timeout unless given.
        :returns: the answer, or why there is none; the peer may have
            handled the request all the same.
        """
        envelope = Envelope(self._own, self._availability_zone, request)
        job = _Job(
            kind_of(request),
            encode(envelope),
            timeout or self._settings.request_timeout,
        )
        if self._nursery is None:
            return Failure('this daemon does not run')
        try:
            self._queue_of(address, self._nursery).send_nowait(job)
        except (trio.WouldBlock, trio.BrokenResourceError):
            self._stats.requests_dropped += 1
            return Failure('too many requests wait for this peer')
        await job.done.wait()
        return job.reply

    def _queue_of(
        self,
        address: str,
        nursery: trio.Nursery,
    ) -> trio.MemorySendChannel[_Job]:
        queue = self._queues.get(address)
        if queue is None:
            queue, jobs = trio.open_memory_channel[_Job](MAX_WAITING)
            self._queues[address] = queue
            nursery.start_soon(self._serve, address, jobs)
        return queue

    async def _serve(
        self,
        address: str,
        jobs: trio.MemoryReceiveChannel[_Job],
    ) -> None:
        link: Link | None = None
        self._stats.links += 1
        try:
            async for job in self._until_idle(jobs):
                link = await self._handle(address, link, job)
                job.done.set()
        finally:
            self._end(address, link)

    def _end(self, address: str, link: Link | None) -> None:
        self._stats.links -= 1
        self._queues.pop(address).close()
        if link is not None:
            link.close()

    async def _until_idle(
        self,
        jobs: trio.MemoryReceiveChannel[_Job],
    ) -> AsyncIterator[_Job]:
        """Jobs in order, until none has come for long."""
        idle = self._settings.idle_link.total_seconds()
        while True:
            job: _Job | None = None
            with trio.move_on_after(idle):
                job = await jobs.receive()
            job = job or _take_waiting(jobs)
            if job is None:
                return
            yield job

    async def _handle(
        self,
        address: str,
        link: Link | None,
        job: _Job,
    ) -> Link | None:
        """Send one request, on a new link when the old one is silent.

        Something between two daemons can lose track of an open connection:
        requests on it then vanish for good while new connections work. So
        one silence ends the link, and the request gets a second try on a
        new one before the peer is called unreachable.
        """
        worked_before = link is not None
        is_lost = False
        for _ in range(2 if worked_before else 1):
            if trio.current_time() >= job.expires:
                return link
            link = link or self._transport.dial(address)
            job.reply = await self._try(address, link, job)
            if isinstance(job.reply, Success):
                if is_lost:
                    log(Event.PEER_RECOVERED, peer=address)
                return link
            link.close()
            link = None
            self._stats.links_replaced += 1
            if worked_before and not is_lost:
                is_lost = True
                log(Event.PEER_LOST, peer=address, reason=job.reply.failure())
        return None

    async def _try(
        self,
        address: str,
        link: Link,
        job: _Job,
    ) -> Result[Reply, str]:
        self._stats.count_sent(job.kind, len(job.body))
        outcome: Result[bytes, str] = Failure('no answer in time')
        with trio.move_on_after(job.timeout):
            if self._is_cut(address):
                await trio.sleep_forever()
            outcome = await link.request(job.body)
        return outcome.bind(self._read)

    def _read(self, body: bytes) -> Result[Reply, str]:
        reply = decode_reply(body)
        if reply is None:
            return Failure('the answer cannot be read')
        self._stats.count_received(kind_of(reply), len(body))
        return Success(reply)


def _take_waiting(jobs: trio.MemoryReceiveChannel[_Job]) -> _Job | None:
    """Take a job that was queued while the wait for one was given up.

    Between the deadline and this task's turn others may run. What they
    queued then would never be done, and who asked would wait for ever.
    """
    try:
        return jobs.receive_nowait()
    except trio.WouldBlock:
        return None
