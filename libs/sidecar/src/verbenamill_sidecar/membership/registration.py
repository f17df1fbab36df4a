"""Reads the members from the store at a start, and saves them there."""

from collections.abc import Callable
from random import Random

import trio
from returns.result import Success

from verbenamill_http.timers import Pause
from verbenamill_model.typing import UpstreamState, VmId
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.quarantine import Quarantine
from verbenamill_sidecar.membership.gossip import (
    FIRST_START_GREETED_PEERS,
    Gossip,
)
from verbenamill_sidecar.protocol import Store
from verbenamill_sidecar.quarantine.quarantine_store import QuarantineStore
from verbenamill_sidecar.state.distribution import DistributionTree

#: Pause after a failed call to the store, or while no other daemon is known,
#: in seconds. It doubles up to the maximum.
_MIN_RETRY_PAUSE = 0.4
_MAX_RETRY_PAUSE = 3.0
#: Mean interval at which a reader looks for members that neither side has ever
#: heard of, in seconds. Gossip carries all other changes.
_RESCAN_PERIOD = 120.0
#: Shortest wait for a greeting at the first start of the whole fleet, in
#: seconds. A daemon that is greeted need not read the store.
_MIN_GREETING_WAIT = 0.3
#: Largest random time that is added to this wait, in seconds.
_GREETING_WAIT_JITTER = 0.7
#: How long a daemon that has read the members waits to hear from one of them
#: before it announces itself in the store, in seconds.
_ISOLATION_TIMEOUT = 1.5
#: Shortest interval between two writes of the zone's members, in seconds.
_SAVE_PERIOD = 8.0
#: Interval between checks for changes to save, in seconds.
_SAVE_CHECK_PERIOD = 0.5


class Registrar:
    """Finds members in the store and saves there what must survive a restart.

    The daemon that represents a zone saves all records of the zone together,
    some seconds after a change. A daemon writes its own record only when its
    upstream leaves: if all daemons are killed at once, no other daemon
    remembers this, and the restarted daemon must not send the upstream new
    work.

    :param is_store_lost: whether the store does not answer.
    :param on_no_members: called at a start if the store names no other daemon.
    :param quarantine: the requests under which upstreams crashed.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        tree: DistributionTree,
        table: MemberTable,
        random: Random,
        *,
        is_store_lost: Callable[[], bool],
        on_no_members: Callable[[], None],
        quarantine: Quarantine,
    ) -> None:
        self._quarantine_store = QuarantineStore(store, quarantine)
        self._on_no_members = on_no_members
        self._is_store_lost = is_store_lost
        self._table = table
        self._tree = tree
        self._store = store
        self._gossip = gossip
        self._random = random
        self._written_record: MemberRecord | None = None
        self._write_requested = trio.Event()
        self._write_done = trio.Event()
        self._write_pause = Pause()
        self._has_read_members = False
        self._saved_digest: int | None = None
        self._saved_vms: set[VmId] = set()
        self._departed: set[VmId] = set()

    @property
    def has_read_members(self) -> bool:
        """Whether the daemons in the store were read."""
        return self._has_read_members

    async def flush(self, timeout: float) -> bool:
        """Wait until the store holds the current state of the upstream.

        :param timeout: longest wait, in seconds.
        :returns: whether the store holds it.
        """
        self.request_write()
        if not self._is_written():
            # The upstream waits, so the pause after a failed write ends.
            self._write_pause.end()
            with trio.move_on_after(timeout):
                await self._write_done.wait()
        return self._is_written()

    def request_write(self) -> None:
        """Request a write of the own record, unless the store holds it."""
        if self._is_written():
            return
        if self._write_done.is_set():
            self._write_done = trio.Event()
        self._write_requested.set()

    async def run(self, *, is_first_start: bool) -> None:
        """Discover members and write changes until cancelled.

        :param is_first_start: whether the whole fleet starts for the first
            time, so that the store holds no members yet.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._discover_members, is_first_start)
            nursery.start_soon(self._save_zone_changes)
            nursery.start_soon(self._save_suspects)
            pause = _MIN_RETRY_PAUSE
            while True:
                await self._write_requested.wait()
                # The record of the previous process is read before the write,
                # which replaces what that record says of the upstream.
                if self._has_read_members and await self._write_own_record():
                    pause = _MIN_RETRY_PAUSE
                    continue
                await self._write_pause.sleep(pause * self._random.random())
                pause = min(pause * 2, _MAX_RETRY_PAUSE)

    async def save_before_exit(self, timeout: float) -> None:
        """Save what the next start needs.

        A daemon that is only restarted learns its upstream from other daemons
        or from the store. If it is the only one of its zone, it saves the zone
        now. If the upstream leaves too, the daemon writes its own record,
        because the saved zone is older and names an upstream that is ready.
        """
        with trio.move_on_after(timeout):
            if not _has_left_for_good(self._gossip.own):
                if self._is_alone():
                    await self._save_zone()
            elif not self._is_written():
                await self._write_own_record()

    async def _discover_members(self, is_first_start: bool) -> None:
        if not is_first_start:
            await self._find_members()
        if self._gossip.knows_peers:
            await self._wait_for_peer(_ISOLATION_TIMEOUT)
        if not self._gossip.peer_heard.is_set():
            await self._announce_until_greeted()
        self._has_read_members = True
        while True:
            await trio.sleep(_RESCAN_PERIOD * (0.5 + self._random.random()))
            if self._tree.is_reader and not self._is_store_lost():
                await self._read_members(spread=True)

    async def _find_members(self) -> None:
        """Read the members until the store answers, then greet some."""
        pause = _MIN_RETRY_PAUSE
        while not await self._read_members(spread=False):
            await trio.sleep(pause * (0.5 + self._random.random()))
            if self._gossip.knows_peers:
                # Other daemons have found this one and sent their state, so
                # the read is less urgent.
                pause = min(pause * 2, _MAX_RETRY_PAUSE)
        if self._gossip.knows_peers:
            self._gossip.greet()
        else:
            self._on_no_members()

    async def _announce_until_greeted(self) -> None:
        """Announce this daemon in the store until another one greets it.

        When many daemons start together, the first of a zone to read the store
        find those that have announced themselves and greet them, so that these
        need not read.
        """
        pause = (
            _MIN_GREETING_WAIT + _GREETING_WAIT_JITTER * self._random.random()
        )
        is_announced = False
        while not self._gossip.peer_heard.is_set():
            if not is_announced:
                own = self._gossip.own
                result = await self._store.announce_member(own)
                is_announced = isinstance(result, Success)
            await self._wait_for_peer(pause)
            if not self._gossip.peer_heard.is_set():
                await self._read_members(spread=False)
                self._gossip.greet(count=FIRST_START_GREETED_PEERS)
                pause = min(pause * 2, _RESCAN_PERIOD)
        self._gossip.greet()

    async def _wait_for_peer(self, timeout: float) -> None:
        with trio.move_on_after(timeout):
            await self._gossip.peer_heard.wait()

    async def _read_members(self, *, spread: bool) -> bool:
        found = await self._store.read_saved_state()
        if not isinstance(found, Success):
            return False
        saved_state = found.unwrap()
        self._gossip.merge_members(saved_state.members, spread=spread)
        self._quarantine_store.mark_saved(saved_state.suspects)
        self._gossip.merge_suspects(saved_state.suspects)
        self._has_read_members = True
        return True

    async def _save_zone_changes(self) -> None:
        """Save the members of the own zone after each change."""
        while True:
            await trio.sleep(_SAVE_CHECK_PERIOD)
            is_due = self._tree.represents_zone and not self._is_store_lost()
            if is_due and self._zone_digest() != self._saved_digest:
                await self._save_zone()
                await trio.sleep(_SAVE_PERIOD - _SAVE_CHECK_PERIOD)

    async def _save_suspects(self) -> None:
        """Save the blocked requests after each change."""
        while True:
            await trio.sleep(_SAVE_CHECK_PERIOD)
            if self._tree.represents_zone and not self._is_store_lost():
                await self._quarantine_store.save()

    async def _save_zone(self) -> None:
        zone = self._gossip.own.availability_zone
        digest = self._zone_digest()
        members = self._table.in_zone(zone)
        known = {member.vm for member in members}
        gone = {member.vm for member in members if _has_left_for_good(member)}
        saved = await self._store.save_zone(
            zone,
            [member for member in members if member.vm not in gone],
            announced=known - self._saved_vms,
            # The records that these daemons wrote themselves are kept for one
            # more save, because a start that follows soon still needs them.
            gone=gone & self._departed,
        )
        if isinstance(saved, Success):
            self._saved_digest = digest
            self._saved_vms |= known
            self._departed = gone

    def _zone_digest(self) -> int | None:
        return self._table.digests.get(self._gossip.own.availability_zone)

    def _is_alone(self) -> bool:
        """Whether no other daemon of the zone is known."""
        zone = self._gossip.own.availability_zone
        return len(self._table.in_zone(zone)) == 1

    async def _write_own_record(self) -> bool:
        own = self._gossip.own
        result = await self._store.save_member(own)
        if not isinstance(result, Success):
            return False
        self._written_record = own
        if self._is_written():
            self._write_requested = trio.Event()
            self._write_done.set()
        return True

    def _is_written(self) -> bool:
        written = self._written_record
        own = self._gossip.own
        return (
            written is not None
            and written.upstream == own.upstream
            and written.incarnation == own.incarnation
        )


def _has_left_for_good(member: MemberRecord) -> bool:
    """Whether neither the daemon nor its upstream will come back."""
    upstream = member.upstream
    return member.leaving and (
        upstream is None or upstream.state is UpstreamState.GONE
    )
