"""Handling of the requests of other daemons."""

from collections.abc import Callable
from datetime import timedelta

import trio
from returns.result import Success

from verbenamill_mesh.broadcast import Broadcaster
from verbenamill_mesh.budget import TokenBucket
from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.links import Links
from verbenamill_mesh.members import Members
from verbenamill_mesh.messages import (
    Acknowledgement,
    ApplicationMessage,
    BusyReply,
    CheckpointReply,
    Compare,
    DifferencesReply,
    Envelope,
    Fetch,
    IndirectProbe,
    IndirectProbeReply,
    Probe,
    ProbeReply,
    Pull,
    Push,
    RecordsReply,
    Reply,
    ValuesReply,
    decode_envelope,
    encode,
    kind_of,
)
from verbenamill_mesh.peer_sync import PeerSync
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
MAX_PAGE_RECORDS = 200
#: Bytes of records in one answer; a single record may exceed it.
MAX_PAGE_BYTES = 512 * 1024
#: Queued fetches of records; the next probe repeats what is dropped.
MAX_QUEUED_FETCHES = 16


class RequestHandler:
    """Handles requests of other daemons and answers them.

    :param merge_updates: merges values and returns those that were new.
    :param handlers: called with messages of the application, by kind.
    :param is_cut: whether a test has cut off an availability zone.
    """

    def __init__(
        self,
        *,
        members: Members,
        store: Store,
        configuration: Configuration,
        peer_sync: PeerSync,
        broadcaster: Broadcaster,
        peers: Peers,
        links: Links,
        settings: MeshSettings,
        clock: Clock,
        stats: MeshStats,
        merge_updates: Callable[[tuple[Update, ...]], tuple[Update, ...]],
        handlers: dict[str, Callable[[VmId, bytes], None]],
        is_cut: Callable[[AvailabilityZone], bool],
    ) -> None:
        self._members = members
        self._store = store
        self._configuration = configuration
        self._peer_sync = peer_sync
        self._broadcaster = broadcaster
        self._peers = peers
        self._links = links
        self._settings = settings
        self._stats = stats
        self._merge_updates = merge_updates
        self._handlers = handlers
        self._is_cut = is_cut
        self._transfer_bucket = TokenBucket(
            settings.transfers_per_second, clock
        )
        channel = trio.open_memory_channel[tuple[str, timedelta]](
            MAX_QUEUED_FETCHES
        )
        self._fetch_queue = channel[0]
        self._fetch_requests = channel[1]

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the fetches that requests caused, until cancelled."""
        task_status.started()
        async for address, delay in self._fetch_requests:
            await self._peer_sync.fetch_records(address, after=delay)

    async def handle_request(self, body: bytes) -> bytes | None:
        """Handle a request.

        :returns: the encoded answer, or ``None`` when there is none.
        """
        envelope = decode_envelope(body)
        if envelope is None:
            log(Event.MESSAGE_UNKNOWN, kind='an invalid envelope')
            return None
        if self._is_cut(envelope.availability_zone):
            return None
        self._stats.count_received(kind_of(envelope.request), len(body))
        reply = await self._handle(envelope)
        encoded = encode(reply)
        self._stats.count_sent(kind_of(reply), len(encoded))
        return encoded

    def dispatch_message(
        self, sender: VmId, message: ApplicationMessage
    ) -> None:
        """Pass a message to the application's handler for its kind."""
        handler = self._handlers.get(message.kind)
        if handler is None:
            log(Event.MESSAGE_UNKNOWN, kind=message.kind)
        else:
            handler(sender, message.body)

    async def _handle(self, envelope: Envelope) -> Reply:
        sender = envelope.sender
        reply: Reply = Acknowledgement()
        match envelope.request:
            case Probe() as probe:
                reply = self._handle_probe(probe)
            case IndirectProbe(address=address):
                outcome = await self._peer_sync.probe_and_sync(address)
                reply = IndirectProbeReply(isinstance(outcome, Success))
            case Push() as push:
                reply = self._handle_push(sender, push)
            case Compare(buckets=buckets):
                differing, hashes = self._store.find_differing_buckets(buckets)
                reply = DifferencesReply(differing, tuple(hashes))
            case Fetch(keys=keys):
                reply = self._handle_fetch(sender, keys)
            case Pull(after=after):
                reply = self._handle_pull(sender, after)
            case ApplicationMessage() as message:
                self.dispatch_message(sender, message)
        return reply

    def _handle_probe(self, probe: Probe) -> ProbeReply:
        if self._peer_sync.compare_summary(probe.summary):
            # This zone's own reader is likely to push the records soon.
            self._queue_fetch(probe.address, self._settings.fetch_delay)
        return ProbeReply(self._peer_sync.summary())

    def _handle_push(self, sender: VmId, push: Push) -> ValuesReply:
        self._apply_entries(sender, push.entries)
        new_updates = self._merge_updates(push.updates)
        if push.arc.length:
            self._broadcaster.forward(push)
        else:
            self._broadcaster.gossip(new_updates)
        newer = map(self._store.find_newer, push.updates)
        return ValuesReply(
            tuple(update for update in newer if update is not None)
        )

    def _apply_entries(self, sender: VmId, entries: tuple[Entry, ...]) -> None:
        before = self._configuration.state.offset
        if not self._configuration.apply_records(entries):
            self._stats.gaps += 1
            record = self._members.record(sender)
            if record is not None:
                self._queue_fetch(record.member.control, timedelta(0))
        after = self._configuration.state.offset
        self._stats.count_records('push', after - before)

    def _queue_fetch(self, address: str, delay: timedelta) -> None:
        try:
            self._fetch_queue.send_nowait((address, delay))
        except trio.WouldBlock:
            # The queued fetches will get the same records.
            return

    def _handle_fetch(self, sender: VmId, keys: tuple[bytes, ...]) -> Reply:
        if not self._transfer_bucket.try_take():
            return self._refuse_transfer(sender)
        self._stats.transfers += 1
        return ValuesReply(tuple(self._store.look_up(keys)))

    def _handle_pull(self, sender: VmId, after: Offset) -> Reply:
        page = self._configuration.records_after(after, MAX_PAGE_RECORDS)
        if page is not None and not page:
            return RecordsReply(())
        if not self._transfer_bucket.try_take():
            return self._refuse_transfer(sender)
        self._stats.transfers += 1
        if page is None:
            return CheckpointReply(self._configuration.checkpoint())
        return RecordsReply(_limit_page(page))

    def _refuse_transfer(self, sender: VmId) -> BusyReply:
        # Many daemons that restart together ask at the same moment. A queue
        # would make all of them wait here and answer after their timeouts,
        # while other peers have the same data.
        self._stats.transfers_refused += 1
        return BusyReply(self._peers.alternative_address(sender))


def _limit_page(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry.body)
        if size > MAX_PAGE_BYTES:
            return entries[: max(count, 1)]
    return entries
