"""Synchronisation with one peer: compare, then fetch what is missing."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.links import Links
from verbenamill_mesh.messages import (
    BusyReply,
    CheckpointReply,
    Compare,
    DifferencesReply,
    Fetch,
    Probe,
    ProbeReply,
    Pull,
    Push,
    RecordsReply,
    StateSummary,
    ValuesReply,
)
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.store import Store, Update
from verbenamill_model import Entry, State
from verbenamill_model.traffic import Member
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Rounds of one synchronisation; the next probe resumes where it ended.
MAX_ROUNDS = 64
#: Keys fetched, or values pushed, in one request.
MAX_BATCH_KEYS = 128


#: Probes the daemon at an address and synchronises with it.
ProbePeer = Callable[[str], Awaitable[Result[ProbeReply, str]]]


class SyncCallbacks(Struct, frozen=True, kw_only=True):
    """Callbacks of the mesh for fetched data.

    :param get_own_member: returns the current record of this daemon.
    :param on_updates: called with fetched values of members and topics.
    :param on_fetched_entries: called with fetched records of the log.
    """

    get_own_member: Callable[[], Member]
    on_updates: Callable[[tuple[Update, ...]], None]
    on_fetched_entries: Callable[[tuple[Entry, ...]], None]


class PeerSync:
    """Compares this daemon's state with peers and resolves differences."""

    def __init__(
        self,
        *,
        store: Store,
        configuration: Configuration,
        links: Links,
        settings: MeshSettings,
        stats: MeshStats,
        callbacks: SyncCallbacks,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._links = links
        self._settings = settings
        self._stats = stats
        self._callbacks = callbacks
        self._is_reconciling = False
        self._is_pulling = False

    def summary(self) -> StateSummary:
        """Summary of this daemon's state, for comparison."""
        head = self._configuration.head()
        return StateSummary(
            offset=head.offset,
            digest=head.digest,
            root=self._store.root(),
            ready=self._stats.ready,
        )

    async def probe_and_sync(self, address: str) -> Result[ProbeReply, str]:
        """Probe another daemon, and resolve differences if it answers.

        :returns: its answer, after what this daemon lacked has been fetched.
        """
        own = self._callbacks.get_own_member()
        probe = Probe(own.control, self.summary())
        reply = await self._links.send_request(address, probe)
        match reply:
            case Success(ProbeReply() as probe_reply):
                await self._sync_differences(address, probe_reply)
                return Success(probe_reply)
            case Failure(reason):
                return Failure(str(reason))
        return Failure('the peer sent an unexpected kind of answer')

    def compare_summary(self, summary: StateSummary) -> bool:
        """Compare the configuration heads of a peer and this daemon.

        :returns: whether the peer has records that this daemon lacks.
        """
        head = self._configuration.head()
        if summary.offset > head.offset:
            return True
        if summary.offset == head.offset and summary.digest != head.digest:
            # Record acceptance is a pure function, so the two daemons run
            # different programs. Neither is stopped, because callers would
            # lose both.
            self._stats.digest_clashes += 1
            log(
                Event.STATE_DIFFERS,
                offset=head.offset,
                own=head.digest,
                other=summary.digest,
            )
        elif summary.ready:
            self._stats.ready = True
        return False

    async def fetch_records(
        self,
        address: str,
        *,
        after: timedelta = timedelta(0),
    ) -> None:
        """Fetch records, or a checkpoint, until the peer has nothing newer.

        :param after: delay before the first request.
        """
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            await trio.sleep(after.total_seconds())
            await self._pull_until_current(address)
        finally:
            self._is_pulling = False

    async def reconcile(self, address: str) -> None:
        """Make members and topics equal on both sides."""
        if self._is_reconciling:
            return
        self._is_reconciling = True
        try:
            for _ in range(MAX_ROUNDS):
                if not await self._reconcile_round(address):
                    return
        finally:
            self._is_reconciling = False

    async def _sync_differences(
        self, address: str, probe_reply: ProbeReply
    ) -> None:
        if probe_reply.summary.root != self._store.root():
            await self.reconcile(address)
        if self.compare_summary(probe_reply.summary):
            await self.fetch_records(address)
            self.compare_summary(probe_reply.summary)

    async def _pull_until_current(self, address: str) -> None:
        redirects = 1
        for _ in range(MAX_ROUNDS):
            before = self._configuration.state.offset
            reply = await self._links.send_request(
                address,
                Pull(before),
                timeout=self._settings.transfer_timeout,
            )
            match reply:
                case Success(RecordsReply(entries=entries)) if entries:
                    self._callbacks.on_fetched_entries(entries)
                case Success(CheckpointReply(body=body)):
                    self._restore(body)
                case Success(BusyReply(address=other)) if other and redirects:
                    redirects -= 1
                    address = other
                    continue
            if self._configuration.state.offset == before:
                return

    def _restore(self, body: bytes) -> None:
        match self._configuration.restore(body):
            case Success(State(offset=offset)):
                log(Event.CHECKPOINT_USED, offset=offset, source='a daemon')
            case Failure(reason):
                log(Event.CHECKPOINT_REFUSED, reason=reason)

    async def _reconcile_round(self, address: str) -> bool:
        """Run one round.

        :returns: whether there may be more differences.
        """
        reply = await self._links.send_request(
            address,
            Compare(self._store.buckets()),
        )
        differences = reply.value_or(None)
        if (
            not isinstance(differences, DifferencesReply)
            or not differences.buckets
        ):
            return False
        to_fetch, to_push = self._store.plan_exchange(
            differences.buckets, differences.hashes
        )
        return await self._fetch(address, to_fetch) and (
            await self._push_updates(address, to_push)
        )

    async def _fetch(self, address: str, to_fetch: list[bytes]) -> bool:
        for first in range(0, len(to_fetch), MAX_BATCH_KEYS):
            batch = tuple(to_fetch[first : first + MAX_BATCH_KEYS])
            reply = await self._links.send_request(address, Fetch(batch))
            match reply:
                case Success(ValuesReply(updates=updates)):
                    self._callbacks.on_updates(updates)
                    await self._push_updates(address, self._find_newer(updates))
                case _:
                    return False
        return True

    async def _push_updates(self, address: str, to_push: list[Update]) -> bool:
        for first in range(0, len(to_push), MAX_BATCH_KEYS):
            batch = tuple(to_push[first : first + MAX_BATCH_KEYS])
            reply = await self._links.send_request(address, Push(updates=batch))
            match reply:
                case Success(ValuesReply(updates=updates)):
                    self._callbacks.on_updates(updates)
                case _:
                    return False
        return True

    def _find_newer(self, updates: tuple[Update, ...]) -> list[Update]:
        stored = map(self._store.find_newer, updates)
        return [newer for newer in stored if newer is not None]
