"""The mesh of daemons, which connects the components of this package."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio
from msgspec.structs import replace
from returns.result import Result, Success

from verbenamill_mesh.broadcast import Broadcaster
from verbenamill_mesh.checkpoints import Checkpoints
from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.gateway_directory import GatewayDirectory
from verbenamill_mesh.links import Links
from verbenamill_mesh.log_reader import LogReader
from verbenamill_mesh.members import MEMBERS_TOPIC, Members
from verbenamill_mesh.messages import ApplicationMessage, ProbeReply
from verbenamill_mesh.peer_sync import PeerSync, SyncCallbacks
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.probing import FailureDetector
from verbenamill_mesh.request_handler import RequestHandler
from verbenamill_mesh.ring import rank
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.store import Merge, Store, Update
from verbenamill_mesh.transport import PynngTransport, Transport
from verbenamill_model import Entry
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_runtime import Clock, Log

#: Longest wait of a leaving daemon for the answers of others.
LEAVE_TIMEOUT = timedelta(seconds=2)
#: Wait in which consecutive records are combined before zones are probed.
PROGRESS_BATCH_PERIOD = timedelta(milliseconds=50)


class Mesh:
    """Membership and dissemination of data among daemons.

    :param member: this daemon; other daemons reach it at ``control``.
    :param seeds: addresses of other daemons; they may be out of date.
    :param settings: periods and limits, changed by tests and benches.
    :param listen: the address to listen on, if it differs from ``control``.
    :param transport: how daemons reach each other; defaults to pynng.
    """

    def __init__(
        self,
        *,
        member: Member,
        seeds: tuple[str, ...],
        clock: Clock,
        configuration: Configuration,
        log: Log,
        random: Random,
        listen: str | None = None,
        settings: MeshSettings | None = None,
        transport: Transport | None = None,
    ) -> None:
        self._listen = listen or member.control
        self._configuration = configuration
        self._settings = settings or MeshSettings()
        self._transport = transport or PynngTransport()
        self._stats = MeshStats()
        self._store = Store()
        self._cut_zones: frozenset[AvailabilityZone] = frozenset()
        self._handlers: dict[str, Callable[[VmId, bytes], None]] = {}
        self._outgoing_messages: list[tuple[VmId, ApplicationMessage]] = []
        self._has_outgoing_messages = trio.Event()
        self._members = Members(
            member,
            self._store,
            on_refutation_needed=self._refute,
        )
        self._links = Links(
            own_id=member.id,
            availability_zone=member.availability_zone,
            transport=self._transport,
            settings=self._settings,
            stats=self._stats,
            is_cut=self._is_cut_address,
        )
        self._peers = Peers(self._members, self._links, random)
        self._broadcaster = Broadcaster(
            peers=self._peers,
            settings=self._settings,
            clock=clock,
            on_newer=self._merge_and_gossip,
        )
        self._peer_sync = PeerSync(
            store=self._store,
            configuration=configuration,
            links=self._links,
            settings=self._settings,
            stats=self._stats,
            callbacks=SyncCallbacks(
                get_own_member=self._get_own_member,
                on_updates=self._merge_and_gossip,
                on_fetched_entries=self._apply_fetched_records,
            ),
        )
        self._checkpoints = Checkpoints(
            platform_log=log,
            configuration=configuration,
            get_writer_rank=self._get_writer_rank,
            settings=self._settings,
            clock=clock,
            random=random,
            stats=self._stats,
        )
        self._gateway_directory = GatewayDirectory(
            platform_log=log,
            members=self._members,
            peers=self._peers,
            probe_peer=self._peer_sync.probe_and_sync,
            settings=self._settings,
            random=random,
            stats=self._stats,
        )
        self._reader = LogReader(
            platform_log=log,
            configuration=configuration,
            checkpoints=self._checkpoints,
            peers=self._peers,
            on_entries=self._push_read_records,
            settings=self._settings,
            random=random,
            stats=self._stats,
        )
        self._failure_detector = FailureDetector(
            members=self._members,
            peers=self._peers,
            seeds=seeds,
            probe_peer=self._peer_sync.probe_and_sync,
            find_addresses=self._gateway_directory.find_addresses,
            on_status_change=self._broadcast_status,
            settings=self._settings,
            clock=clock,
            random=random,
        )
        self._request_handler = RequestHandler(
            members=self._members,
            store=self._store,
            configuration=configuration,
            peer_sync=self._peer_sync,
            broadcaster=self._broadcaster,
            peers=self._peers,
            links=self._links,
            settings=self._settings,
            clock=clock,
            stats=self._stats,
            merge_updates=self._merge_updates,
            handlers=self._handlers,
            is_cut=self._is_cut_zone,
        )

    @property
    def ready(self) -> bool:
        """Whether the configuration is known to have caught up.

        It has been level, at least once, with the log or with a ready peer.
        """
        return self._stats.ready

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take part in the mesh until cancelled.

        :raises NNGException: when the listen address cannot be bound.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._links.run)
            await nursery.start(self._request_handler.run)
            await nursery.start(
                self._transport.serve,
                self._listen,
                self._request_handler.handle_request,
            )
            nursery.start_soon(self._broadcaster.run)
            nursery.start_soon(self._failure_detector.run)
            nursery.start_soon(self._reader.run)
            nursery.start_soon(self._checkpoints.run)
            nursery.start_soon(self._gateway_directory.run)
            nursery.start_soon(self._announce_progress)
            nursery.start_soon(self._send_messages)
            task_status.started()

    async def leave(self) -> None:
        """Announce that this daemon leaves, and wait for the first answers."""
        update = self._members.update_own_record(leaving=True)
        with trio.move_on_after(LEAVE_TIMEOUT.total_seconds()):
            await self._broadcaster.deliver_to_all_zones((update,))

    @property
    def own_member(self) -> Member:
        """This daemon as others see it, also after it has left."""
        return self._members.own_member

    def members(self) -> dict[VmId, Member]:
        """Members that are alive, this daemon included until it leaves.

        :returns: a table that is replaced on each change; do not modify it.
        """
        return self._members.alive()

    def announce_upstream(self, upstream: Upstream | None) -> None:
        """Announce the upstream that this daemon owns."""
        own = self._members.own_member
        if own.upstream != upstream:
            update = self._members.update_own_record(
                own=replace(own, upstream=upstream)
            )
            self._broadcaster.broadcast((update,))

    def add_topic(self, name: str, merge: Merge) -> None:
        """Add a topic, before :meth:`run`.

        :param merge: commutative, associative and idempotent.
        """
        self._store.add_topic(name, merge)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Merge a value into a topic and broadcast it."""
        if self._store.merge(Update(topic, key, value)):
            merged = self._store.entries(topic)[key]
            self._broadcaster.broadcast((Update(topic, key, merged),))

    def entries(self, topic: str) -> dict[str, bytes]:
        """Values of a topic by key."""
        return dict(self._store.entries(topic))

    def drop(self, topic: str, keep: Callable[[str], bool]) -> None:
        """Permanently remove the keys of a topic that are not to be kept."""
        self._store.drop(topic, keep)

    def set_handler(
        self,
        kind: str,
        handler: Callable[[VmId, bytes], None],
    ) -> None:
        """Set the handler that gets the sender and body of messages."""
        self._handlers[kind] = handler

    def send(self, to: VmId, kind: str, body: bytes) -> None:
        """Send a message to one member; it may be lost."""
        self._outgoing_messages.append((to, ApplicationMessage(kind, body)))
        self._has_outgoing_messages.set()

    def set_cut_zones(self, zones: frozenset[AvailabilityZone]) -> None:
        """Cut this daemon off from availability zones; a switch for tests."""
        self._cut_zones = zones

    def stats(self) -> MeshStats:
        """Counters up to now."""
        self._stats.members = len(self._members.alive())
        self._stats.tombstones = len(self._members.tombstones())
        self._stats.store_bytes = self._store.size()
        return self._stats

    def _get_own_member(self) -> Member:
        return self._members.own_member

    def _refute(self, incarnation: int) -> None:
        """Refute a record of this daemon that it did not write."""
        own = self._members.own_member
        if self._members.has_left and incarnation <= own.incarnation:
            return
        update = self._members.update_own_record(exceeding=incarnation)
        self._broadcaster.broadcast_within_budget((update,))

    def _broadcast_status(self, update: Update) -> None:
        self._broadcaster.broadcast_within_budget((update,))

    def _merge_and_gossip(self, updates: tuple[Update, ...]) -> None:
        """Merge fetched values and pass on those that were new."""
        self._broadcaster.gossip(self._merge_updates(updates))

    def _merge_updates(self, updates: tuple[Update, ...]) -> tuple[Update, ...]:
        """Merge values.

        :returns: those that were new.
        """
        return tuple(update for update in updates if self._merge(update))

    def _merge(self, update: Update) -> bool:
        if update.topic == MEMBERS_TOPIC:
            return self._members.merge_update(update)
        return self._store.merge(update)

    def _apply_fetched_records(self, entries: tuple[Entry, ...]) -> None:
        """Apply records that this daemon fetched from another one."""
        before = self._configuration.state.offset
        if not self._configuration.apply_records(entries):
            self._stats.gaps += 1
        new_entries = tuple(entry for entry in entries if entry.offset > before)
        self._stats.count_records('pull', len(new_entries))
        if self._peers.is_reader and self.ready:
            # The zone may be cut off from the log; the push gives its other
            # members the records of another zone at once.
            self._broadcaster.push_to_zone(new_entries)

    def _push_read_records(self, entries: tuple[Entry, ...]) -> None:
        """Push records that this daemon read from the log."""
        self._stats.count_records('log', len(entries))
        if self.ready:
            # A daemon that is catching up pushes nothing: when a whole zone
            # starts, all of the history would be pushed, although each daemon
            # fetches it anyway.
            self._broadcaster.push_to_zone(entries)

    def _get_writer_rank(self) -> int | None:
        """Rank of this zone among the zones that write checkpoints.

        :returns: how many zones write before it, or ``None`` when this daemon
            does not write.
        """
        if not self._peers.is_primary or not self.ready:
            return None
        own = self._members.own_member.availability_zone
        zones = {own, *self._members.zones()}
        ranked = rank((VmId(zone) for zone in zones), 'checkpoint')
        return ranked.index(VmId(own))

    async def _announce_progress(self) -> None:
        """As the primary reader, probe other zones after each new record.

        The probe tells them this daemon's offset. Their own readers have the
        records by then, unless they cannot reach the log.
        """
        offset = self._configuration.state.offset
        while True:
            await self._configuration.wait_beyond(offset)
            await trio.sleep(PROGRESS_BATCH_PERIOD.total_seconds())
            offset = self._configuration.state.offset
            if self._peers.is_primary and self.ready:
                async with trio.open_nursery() as nursery:
                    for zone in self._peers.other_zones():
                        nursery.start_soon(self._probe_zone, zone)

    async def _probe_zone(self, zone: AvailabilityZone) -> None:
        for gateway in self._peers.gateways(zone):
            outcome = await self._probe_member(gateway)
            if isinstance(outcome, Success):
                return

    async def _probe_member(
        self, member: VmId
    ) -> Result[ProbeReply, str] | None:
        record = self._members.record(member)
        if record is None:
            return None
        return await self._peer_sync.probe_and_sync(record.member.control)

    async def _send_messages(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._has_outgoing_messages.wait()
                self._has_outgoing_messages = trio.Event()
                outgoing = self._outgoing_messages
                self._outgoing_messages = []
                for to, message in outgoing:
                    nursery.start_soon(self._send_message, to, message)

    async def _send_message(
        self, to: VmId, message: ApplicationMessage
    ) -> None:
        if to == self._members.own_member.id:
            self._request_handler.dispatch_message(to, message)
        else:
            await self._peers.send_request(to, message)

    def _is_cut_zone(self, zone: AvailabilityZone) -> bool:
        return zone in self._cut_zones

    def _is_cut_address(self, address: str) -> bool:
        if not self._cut_zones:
            return False
        return any(
            member.control == address
            for zone in self._cut_zones
            for member in self._members.in_zone(zone).values()
        )
