"""Keeping in the store what must last, and finding it there after a start."""

from collections.abc import Callable
from random import Random

import trio
from returns.result import Success

from verbenamill_model.typing import UpstreamState, VmId
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.quarantine import Quarantine
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.gossip import GREETED_FIRST, Gossip
from verbenamill_sidecar.protocol import Store
from verbenamill_sidecar.quarantine_store import QuarantineStore

#: Pause before the store is asked again after a call that failed, or while
#: nobody is known, in seconds; and the longest, as it doubles.
_LOOK_SOON = 0.4
_LOOK_LATE = 3.0
#: How often a reader looks for members that neither side has ever heard of,
#: in seconds. Gossip carries all other news.
_LOOK_AGAIN = 120.0
#: Shortest and longest wait for a greeting at the first start of the whole
#: fleet, in seconds. Who is greeted need not read.
_FIRST_WAIT = 0.3
_FIRST_SPREAD = 0.7
#: How long after reading a daemon waits for a sign of life before it makes
#: itself known in the store, in seconds.
_ALONE_AFTER = 1.5
#: Least time between two writes of the zone's members, in seconds.
_SAVE_PERIOD = 8.0
_SAVE_STEP = 0.5


class Registrar:
    """Finds members in the store, and writes there what must last.

    The reader of each zone saves the records of its zone together, some
    seconds late. A daemon writes by itself only that its upstream leaves:
    after all daemons were killed at once nobody else remembers that, and no
    start of this daemon may send the upstream new work.

    :param is_lost: whether the store gives no answers.
    :param quarantine: requests under which upstreams crashed.
    :param found_nobody: told at a start when the store names no other daemon.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        tree: DistributionTree,
        table: MemberTable,
        random: Random,
        *,
        is_lost: Callable[[], bool],
        found_nobody: Callable[[], None],
        quarantine: Quarantine,
    ) -> None:
        self._memory = QuarantineStore(store, quarantine)
        self._found_nobody = found_nobody
        self._is_lost = is_lost
        self._table = table
        self._tree = tree
        self._store = store
        self._gossip = gossip
        self._random = random
        self._written: MemberRecord | None = None
        self._wanted = trio.Event()
        self._done = trio.Event()
        self._has_read = False
        self._saved_digest: int | None = None
        self._announced: set[VmId] = set()
        self._gone: set[VmId] = set()

    async def flush(self, timeout: float) -> bool:
        """Wait until the store has that the upstream leaves.

        :param timeout: longest wait, in seconds.
        """
        self.request()
        with trio.move_on_after(timeout):
            await self._done.wait()
        return self._is_written()

    def request(self) -> None:
        """Have the own record written, unless the store has it."""
        if self._is_written():
            return
        if self._done.is_set():
            self._done = trio.Event()
        self._wanted.set()

    async def run(self, *, is_first_start: bool) -> None:
        """Look for others and write until cancelled.

        :param is_first_start: whether the whole fleet starts for the first
            time, so that there is nothing to read yet.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._look, is_first_start)
            nursery.start_soon(self._save)
            nursery.start_soon(self._save_suspects)
            pause = _LOOK_SOON
            while True:
                await self._wanted.wait()
                # The record of the process before is read first: the write
                # replaces what it says of the upstream.
                if self._has_read and await self._write():
                    pause = _LOOK_SOON
                    continue
                await trio.sleep(pause * self._random.random())
                pause = min(pause * 2, _LOOK_LATE)

    async def take_leave(self, timeout: float) -> None:
        """Leave in the store what the next start needs.

        A daemon that is only started again finds its upstream by what others
        remember, or by the store. Alone in its zone, it saves that now. If
        the upstream goes as well, the record says so: the one of the zone is
        older, and names an upstream that is ready.
        """
        with trio.move_on_after(timeout):
            if not _has_gone(self._gossip.own):
                if self._is_alone():
                    await self._save_zone()
            elif not self._is_written():
                await self._write()

    async def _look(self, is_first_start: bool) -> None:
        if not is_first_start:
            await self._find_members()
        if self._gossip.has_others:
            await self._wait_heard(_ALONE_AFTER)
        if not self._gossip.has_heard.is_set():
            await self._become_known()
        self._has_read = True
        while True:
            await trio.sleep(_LOOK_AGAIN * (0.5 + self._random.random()))
            if self._tree.is_reader and not self._is_lost():
                await self._read_members(spread=True)

    async def _find_members(self) -> None:
        """Read who is there, and what they remember of the own upstream."""
        pause = _LOOK_SOON
        while not await self._read_members(spread=False):
            await trio.sleep(pause * (0.5 + self._random.random()))
            if self._gossip.has_others:
                # Others found this daemon, and told what they remember.
                pause = min(pause * 2, _LOOK_LATE)
        if self._gossip.has_others:
            self._gossip.greet()
        else:
            self._found_nobody()

    async def _become_known(self) -> None:
        """Announce this daemon in the store, and wait for a greeting.

        When many start together, the first of a zone that read find those
        that have announced themselves, and greet them; these need not read.
        """
        pause = _FIRST_WAIT + _FIRST_SPREAD * self._random.random()
        is_announced = False
        while not self._gossip.has_heard.is_set():
            if not is_announced:
                own = self._gossip.own
                result = await self._store.announce_member(own)
                is_announced = isinstance(result, Success)
            await self._wait_heard(pause)
            if not self._gossip.has_heard.is_set():
                await self._read_members(spread=False)
                self._gossip.greet(count=GREETED_FIRST)
                pause = min(pause * 2, _LOOK_AGAIN)
        self._gossip.greet()

    async def _wait_heard(self, timeout: float) -> None:
        with trio.move_on_after(timeout):
            await self._gossip.has_heard.wait()

    async def _read_members(self, *, spread: bool) -> bool:
        found = await self._store.read_saved_state()
        if not isinstance(found, Success):
            return False
        remembered = found.unwrap()
        self._gossip.take_members(remembered.members, spread=spread)
        self._memory.mark_saved(remembered.suspects)
        self._gossip.take_suspects(remembered.suspects)
        self._has_read = True
        return True

    async def _save(self) -> None:
        """Write the members of the own zone whenever they have changed."""
        while True:
            await trio.sleep(_SAVE_STEP)
            is_due = self._tree.is_head and not self._is_lost()
            if is_due and self._zone_digest() != self._saved_digest:
                await self._save_zone()
                await trio.sleep(_SAVE_PERIOD - _SAVE_STEP)

    async def _save_suspects(self) -> None:
        """Write what is blocked whenever that has changed."""
        while True:
            await trio.sleep(_SAVE_STEP)
            if self._tree.is_head and not self._is_lost():
                await self._memory.save()

    async def _save_zone(self) -> None:
        zone = self._gossip.own.availability_zone
        digest = self._zone_digest()
        members = self._table.in_zone(zone)
        known = {member.vm for member in members}
        gone = {member.vm for member in members if _has_gone(member)}
        saved = await self._store.save_zone(
            zone,
            [member for member in members if member.vm not in gone],
            announced=known - self._announced,
            # A start that comes soon still needs what these have written.
            gone=gone & self._gone,
        )
        if isinstance(saved, Success):
            self._saved_digest = digest
            self._announced |= known
            self._gone = gone

    def _zone_digest(self) -> int | None:
        return self._table.digests.get(self._gossip.own.availability_zone)

    def _is_alone(self) -> bool:
        """Whether no other daemon of the zone remembers this one."""
        zone = self._gossip.own.availability_zone
        return len(self._table.in_zone(zone)) == 1

    async def _write(self) -> bool:
        own = self._gossip.own
        result = await self._store.save_member(own)
        if not isinstance(result, Success):
            return False
        self._written = own
        if self._is_written():
            self._wanted = trio.Event()
            self._done.set()
        return True

    def _is_written(self) -> bool:
        written = self._written
        own = self._gossip.own
        return (
            written is not None
            and written.upstream == own.upstream
            and written.incarnation == own.incarnation
        )


def _has_gone(member: MemberRecord) -> bool:
    """Whether neither the daemon nor its upstream comes back."""
    upstream = member.upstream
    return member.leaving and (
        upstream is None or upstream.state is UpstreamState.GONE
    )
