"""A network and a log in memory, for tests on a mock clock.

Both fail on request, in the ways that the real ones do.
"""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_mesh.transport import Link, RequestCallback
from verbenamill_model import Entry
from verbenamill_model.typing import Offset
from verbenamill_runtime import LogError, LogFault, LogPage

#: Wall time at trio time 0.
EPOCH = datetime(2026, 12, 2, tzinfo=UTC)

#: Whether a message from one address to another is lost.
IsLost = Callable[[str, str], bool]


def lose_nothing(source: str, target: str) -> bool:
    """Lose no message."""
    return False


class MemoryNetwork:
    """A network in memory: the request callbacks by address.

    :param delay: mean delay of one direction.
    """

    def __init__(
        self,
        random: Random,
        *,
        delay: timedelta = timedelta(milliseconds=1),
    ) -> None:
        self._random = random
        self._delay = delay.total_seconds()
        self._listeners: dict[str, RequestCallback] = {}
        self._silent: set['_MemoryLink'] = set()
        self._links: set['_MemoryLink'] = set()
        self.is_lost: IsLost = lose_nothing

    def transport(self, address: str) -> 'MemoryTransport':
        """Transport of the daemon at an address."""
        return MemoryTransport(self, address)

    def silence_links(self) -> None:
        """Drop all further messages on the connections that are open now."""
        self._silent |= self._links

    def listen(self, address: str, on_request: RequestCallback) -> None:
        """Open an address."""
        self._listeners[address] = on_request

    def close(self, address: str) -> None:
        """Close an address."""
        self._listeners.pop(address, None)

    def add(self, link: '_MemoryLink') -> None:
        """Register an open connection."""
        self._links.add(link)

    def remove(self, link: '_MemoryLink') -> None:
        """Remove a connection."""
        self._links.discard(link)
        self._silent.discard(link)

    async def deliver(self, link: '_MemoryLink', body: bytes) -> bytes:
        """Deliver a request and its answer; lost ones wait for ever."""
        await self._transmit(link, link.source, link.target)
        on_request = self._listeners.get(link.target)
        if on_request is None:
            await trio.sleep_forever()
            raise AssertionError('trio sleeps for ever')
        reply = await on_request(body)
        if reply is None:
            await trio.sleep_forever()
            raise AssertionError('trio sleeps for ever')
        await self._transmit(link, link.target, link.source)
        return reply

    async def _transmit(
        self,
        link: '_MemoryLink',
        source: str,
        target: str,
    ) -> None:
        await trio.sleep(self._delay * self._random.uniform(0.5, 1.5))
        if link in self._silent or self.is_lost(source, target):
            await trio.sleep_forever()


class _MemoryLink:
    def __init__(
        self,
        network: MemoryNetwork,
        source: str,
        target: str,
    ) -> None:
        self._network = network
        self.source = source
        self.target = target
        network.add(self)

    async def request(self, body: bytes) -> Result[bytes, str]:
        """Send a request and wait for its answer."""
        return Success(await self._network.deliver(self, body))

    def close(self) -> None:
        """Close the connection."""
        self._network.remove(self)


class MemoryTransport:
    """One daemon's side of a network in memory."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def serve(
        self,
        address: str,
        on_request: RequestCallback,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answer requests until cancelled."""
        self._network.listen(address, on_request)
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            self._network.close(address)

    def dial(self, address: str) -> Link:
        """Start a connection."""
        return _MemoryLink(self._network, self._address, address)


class MemoryLog:
    """Streams in memory, with retention by count and switches for faults.

    :param max_records: records that a stream keeps.
    """

    def __init__(self, *, max_records: int = 10_000) -> None:
        self._max_records = max_records
        self._streams: dict[str, list[Entry]] = {}
        self._changed = trio.Event()
        self.is_down = False
        self.loses_answers = False
        self.reads = 0

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append one record and return its offset."""
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return Failure(LogError(fault=LogFault.NOT_APPENDED, detail='down'))
        offset = self.put(stream, body)
        if self.loses_answers:
            return Failure(LogError(fault=LogFault.UNKNOWN, detail='lost'))
        return Success(offset)

    def put(self, stream: str, body: bytes) -> Offset:
        """Append at once, whatever the switches say."""
        records = self._streams.setdefault(stream, [])
        offset = Offset(len(records))
        at = EPOCH + timedelta(seconds=trio.current_time())
        records.append(Entry(offset=offset, at=at, body=body))
        changed = self._changed
        self._changed = trio.Event()
        changed.set()
        return offset

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one when there is none."""
        self.reads += 1
        await trio.lowlevel.checkpoint()
        with trio.move_on_after(wait.total_seconds()):
            while start >= self._end(stream) and not self.is_down:
                await self._changed.wait()
        if self.is_down:
            return Failure(LogError(fault=LogFault.UNAVAILABLE, detail='down'))
        return self._page(stream, start, limit)

    def records(self, stream: str) -> list[Entry]:
        """All records ever appended, including expired ones."""
        return list(self._streams.get(stream, ()))

    def _end(self, stream: str) -> Offset:
        return Offset(len(self._streams.get(stream, ())))

    def _page(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogError]:
        end = self._end(stream)
        oldest = Offset(max(0, end - self._max_records))
        if start < oldest:
            return Failure(
                LogError(
                    fault=LogFault.EXPIRED,
                    detail=f'the oldest is {oldest}',
                    oldest=oldest,
                ),
            )
        records = self._streams.get(stream, [])
        return Success(
            LogPage(
                entries=tuple(records[start : start + limit]),
                oldest=oldest,
                end=end,
            ),
        )


class LogConnection:
    """One availability zone's connection to a log, which can be cut.

    :param log: shared with the other availability zones.
    """

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.is_down = False

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append one record and return its offset."""
        if self.is_down:
            return Failure(LogError(fault=LogFault.NOT_APPENDED, detail='cut'))
        return await self._log.append(stream, body)

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one when there is none."""
        page = await self._log.read(stream, start, limit=limit, wait=wait)
        if self.is_down:
            return Failure(LogError(fault=LogFault.UNAVAILABLE, detail='cut'))
        return page


async def wait_until(
    condition: Callable[[], bool],
    *,
    within: timedelta = timedelta(seconds=60),
    step: timedelta = timedelta(milliseconds=50),
) -> None:
    """Wait until a condition holds.

    :raises AssertionError: when it does not hold in time.
    """
    with trio.move_on_after(within.total_seconds()):
        while not condition():
            await trio.sleep(step.total_seconds())
    assert condition(), f'the condition did not hold within {within}'
