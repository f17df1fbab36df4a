"""Exchange with one other daemon: compare, then fetch what is missing."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.links import Links
from verbenamill_mesh.messages import (
    Busy,
    Checkpoint,
    Compare,
    Differences,
    Fetch,
    Met,
    News,
    Probe,
    Pull,
    Push,
    Standing,
    Tail,
)
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_mesh.store import Store, Update
from verbenamill_model import Entry, State
from verbenamill_model.traffic import Member
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Rounds of one exchange; the next probe goes on where it ended.
MAX_ROUNDS = 64
#: Keys fetched, or values pushed, at a time.
MAX_KEYS = 128


#: Probes the daemon at an address.
Meet = Callable[[str], Awaitable[Result[Met, str]]]


class Learning(Struct, frozen=True, kw_only=True):
    """Where what was learned goes, as closures of the mesh.

    :param own: this daemon as it is now.
    :param updates: takes values of members and topics.
    :param entries: takes records, with the offset before them.
    """

    own: Callable[[], Member]
    updates: Callable[[tuple[Update, ...]], None]
    entries: Callable[[tuple[Entry, ...]], None]


class Exchange:
    """Compares this daemon with others and mends what differs."""

    def __init__(
        self,
        *,
        store: Store,
        configuration: Configuration,
        links: Links,
        settings: MeshSettings,
        stats: MeshStats,
        learning: Learning,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._links = links
        self._settings = settings
        self._stats = stats
        self._learning = learning
        self._is_reconciling = False
        self._is_pulling = False

    def standing(self) -> Standing:
        """What this daemon has."""
        head = self._configuration.head()
        return Standing(
            offset=head.offset,
            digest=head.digest,
            root=self._store.root(),
            ready=self._stats.ready,
        )

    async def meet(self, address: str) -> Result[Met, str]:
        """Probe another daemon, and mend what differs if it answers.

        :returns: its answer, once what this daemon lacked is fetched.
        """
        own = self._learning.own()
        probe = Probe(own.control, self.standing())
        reply = await self._links.ask(address, probe)
        match reply:
            case Success(Met() as met):
                await self._mend(address, met)
                return Success(met)
            case Failure(reason):
                return Failure(str(reason))
        return Failure('the answer is of another kind')

    def weigh(self, standing: Standing) -> bool:
        """Compare heads with another daemon.

        :returns: whether it has records that this one lacks.
        """
        head = self._configuration.head()
        if standing.offset > head.offset:
            return True
        if standing.offset == head.offset and standing.digest != head.digest:
            # Acceptance is a pure function, so one of the two runs another
            # program. Neither is stopped: callers would lose both.
            self._stats.digest_clashes += 1
            log(
                Event.STATE_DIFFERS,
                offset=head.offset,
                own=head.digest,
                other=standing.digest,
            )
        elif standing.ready:
            self._stats.ready = True
        return False

    async def catch_up(
        self,
        address: str,
        *,
        after: timedelta = timedelta(0),
    ) -> None:
        """Fetch records, or a checkpoint, until there is nothing new."""
        if self._is_pulling:
            return
        self._is_pulling = True
        try:
            await trio.sleep(after.total_seconds())
            await self._pull_all(address)
        finally:
            self._is_pulling = False

    async def reconcile(self, address: str) -> None:
        """Make members and topics the same on both sides."""
        if self._is_reconciling:
            return
        self._is_reconciling = True
        try:
            for _ in range(MAX_ROUNDS):
                if not await self._reconcile_some(address):
                    return
        finally:
            self._is_reconciling = False

    async def _mend(self, address: str, met: Met) -> None:
        if met.standing.root != self._store.root():
            await self.reconcile(address)
        if self.weigh(met.standing):
            await self.catch_up(address)
            self.weigh(met.standing)

    async def _pull_all(self, address: str) -> None:
        redirects = 1
        for _ in range(MAX_ROUNDS):
            before = self._configuration.state.offset
            reply = await self._links.ask(
                address,
                Pull(before),
                timeout=self._settings.transfer_timeout,
            )
            match reply:
                case Success(Tail(entries=entries)) if entries:
                    self._learning.entries(entries)
                case Success(Checkpoint(body=body)):
                    self._restore(body)
                case Success(Busy(address=other)) if other and redirects:
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

    async def _reconcile_some(self, address: str) -> bool:
        """Do one round; whether there may be more to do."""
        reply = await self._links.ask(
            address,
            Compare(self._store.buckets()),
        )
        found = reply.value_or(None)
        if not isinstance(found, Differences) or not found.buckets:
            return False
        wanted, lacking = self._store.plan(found.buckets, found.marks)
        return await self._fetch(address, wanted) and (
            await self._offer(address, lacking)
        )

    async def _fetch(self, address: str, wanted: list[bytes]) -> bool:
        for first in range(0, len(wanted), MAX_KEYS):
            some = tuple(wanted[first : first + MAX_KEYS])
            reply = await self._links.ask(address, Fetch(some))
            match reply:
                case Success(News(updates=updates)):
                    self._learning.updates(updates)
                    await self._offer(address, self._find_newer(updates))
                case _:
                    return False
        return True

    async def _offer(self, address: str, lacking: list[Update]) -> bool:
        for first in range(0, len(lacking), MAX_KEYS):
            some = tuple(lacking[first : first + MAX_KEYS])
            reply = await self._links.ask(address, Push(updates=some))
            match reply:
                case Success(News(updates=updates)):
                    self._learning.updates(updates)
                case _:
                    return False
        return True

    def _find_newer(self, updates: tuple[Update, ...]) -> list[Update]:
        found = map(self._store.find_newer, updates)
        return [newer for newer in found if newer is not None]
