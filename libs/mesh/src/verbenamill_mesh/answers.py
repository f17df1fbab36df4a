"""Answers to the requests of other daemons."""

from collections.abc import Callable
from datetime import timedelta

import trio
from returns.result import Success

from verbenamill_mesh.broadcast import Broadcaster
from verbenamill_mesh.budget import Budget
from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.exchange import Exchange
from verbenamill_mesh.links import Links
from verbenamill_mesh.members import Members
from verbenamill_mesh.messages import (
    Busy,
    Checkpoint,
    Compare,
    Differences,
    Done,
    Envelope,
    Fetch,
    Met,
    News,
    Note,
    Probe,
    ProbeFor,
    Pull,
    Push,
    Reached,
    Reply,
    Tail,
    decode_envelope,
    encode,
    kind_of,
)
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.store import Store, Update
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone, Offset, VmId
from verbenamill_runtime import Clock
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Records in one answer.
MAX_ENTRIES = 200
#: Bytes of records after which an answer takes no further one.
MAX_TAIL = 512 * 1024
#: Fetches of records that wait; the next probe tells of more.
MAX_FETCHES = 16


class Answers:
    """Answers requests, and does what they ask for.

    :param learn: merges values and returns those that were news.
    :param handlers: take messages of the application, by kind.
    :param is_cut: whether a test has cut off an availability zone.
    """

    def __init__(
        self,
        *,
        members: Members,
        store: Store,
        configuration: Configuration,
        exchange: Exchange,
        broadcaster: Broadcaster,
        peers: Peers,
        links: Links,
        settings: MeshSettings,
        clock: Clock,
        stats: MeshStats,
        learn: Callable[[tuple[Update, ...]], tuple[Update, ...]],
        handlers: dict[str, Callable[[VmId, bytes], None]],
        is_cut: Callable[[AvailabilityZone], bool],
    ) -> None:
        self._members = members
        self._store = store
        self._configuration = configuration
        self._exchange = exchange
        self._broadcaster = broadcaster
        self._peers = peers
        self._links = links
        self._settings = settings
        self._stats = stats
        self._learn = learn
        self._handlers = handlers
        self._is_cut = is_cut
        self._transfers = Budget(settings.transfers_per_second, clock)
        channel = trio.open_memory_channel[tuple[str, timedelta]](MAX_FETCHES)
        self._fetches = channel[0]
        self._to_fetch = channel[1]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Fetch what requests told of, until cancelled."""
        task_status.started()
        async for address, delay in self._to_fetch:
            await self._exchange.catch_up(address, after=delay)

    async def answer(self, body: bytes) -> bytes | None:
        """Answer a request, or ``None`` when it gets no answer."""
        envelope = decode_envelope(body)
        if envelope is None:
            log(Event.MESSAGE_UNKNOWN, kind='of another codec')
            return None
        if self._is_cut(envelope.availability_zone):
            return None
        self._stats.count_received(kind_of(envelope.request), len(body))
        reply = await self._handle(envelope)
        encoded = encode(reply)
        self._stats.count_sent(kind_of(reply), len(encoded))
        return encoded

    def hand_over(self, sender: VmId, note: Note) -> None:
        """Hand a message to the application."""
        handler = self._handlers.get(note.kind)
        if handler is None:
            log(Event.MESSAGE_UNKNOWN, kind=note.kind)
        else:
            handler(sender, note.body)

    async def _handle(self, envelope: Envelope) -> Reply:
        sender = envelope.sender
        reply: Reply = Done()
        match envelope.request:
            case Probe() as probe:
                reply = self._meet(probe)
            case ProbeFor(address=address):
                outcome = await self._exchange.meet(address)
                reply = Reached(isinstance(outcome, Success))
            case Push() as push:
                reply = self._take_push(sender, push)
            case Compare(buckets=buckets):
                differing, marks = self._store.differ(buckets)
                reply = Differences(differing, tuple(marks))
            case Fetch(keys=keys):
                reply = self._look_up(sender, keys)
            case Pull(after=after):
                reply = self._transfer(sender, after)
            case Note() as note:
                self.hand_over(sender, note)
        return reply

    def _meet(self, probe: Probe) -> Met:
        if self._exchange.weigh(probe.standing):
            # The own reader is likely to have it in a moment.
            self._fetch_from(probe.address, self._settings.offer_delay)
        return Met(self._exchange.standing())

    def _take_push(self, sender: VmId, push: Push) -> News:
        self._take_entries(sender, push.entries)
        news = self._learn(push.updates)
        if push.arc.length:
            self._broadcaster.forward(push)
        else:
            self._broadcaster.tell_some(news)
        newer = map(self._store.find_newer, push.updates)
        return News(tuple(update for update in newer if update is not None))

    def _take_entries(self, sender: VmId, entries: tuple[Entry, ...]) -> None:
        before = self._configuration.state.offset
        if not self._configuration.take(entries):
            self._stats.gaps += 1
            record = self._members.record(sender)
            if record is not None:
                self._fetch_from(record.member.control, timedelta(0))
        after = self._configuration.state.offset
        self._stats.count_entries('push', after - before)

    def _fetch_from(self, address: str, delay: timedelta) -> None:
        try:
            self._fetches.send_nowait((address, delay))
        except trio.WouldBlock:
            # One that waits already fetches the same records.
            return

    def _look_up(self, sender: VmId, keys: tuple[bytes, ...]) -> Reply:
        if not self._transfers.take():
            return self._refuse(sender)
        self._stats.transfers += 1
        return News(tuple(self._store.look_up(keys)))

    def _transfer(self, sender: VmId, after: Offset) -> Reply:
        tail = self._configuration.tail(after, MAX_ENTRIES)
        if tail is not None and not tail:
            return Tail(())
        if not self._transfers.take():
            return self._refuse(sender)
        self._stats.transfers += 1
        if tail is None:
            return Checkpoint(self._configuration.checkpoint())
        return Tail(_limit(tail))

    def _refuse(self, sender: VmId) -> Busy:
        # A herd that returns asks at once. A queue would make all of them
        # wait here, with answers that come after their timeouts; others
        # have the same to give.
        self._stats.transfers_refused += 1
        return Busy(self._peers.any_address(sender))


def _limit(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry.body)
        if size > MAX_TAIL:
            return entries[: max(count, 1)]
    return entries
