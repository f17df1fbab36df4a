"""Keeping this daemon's record in the store, and finding the others there."""

from random import Random

import trio
from returns.result import Success

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import MemberRecord
from verbenamill_sidecar.feeding import Feeding
from verbenamill_sidecar.gossip import Gossip
from verbenamill_sidecar.protocol import Store

#: Pause before the store is asked again, in seconds: while a call failed or
#: nobody is known, and as a matter of course. Gossip carries the news; this
#: finds those that neither side has ever heard of. Each group of daemons has
#: some that read the store, so that it is enough if these look often.
_LOOK_SOON = 0.4
_LOOK_LATER = 30.0
_LOOK_SELDOM = 300.0


class Registrar:
    """Writes the own record whenever the upstream changes.

    After all daemons were killed at once nobody remembers anything. Read
    back, the record tells a restarted daemon of its upstream at once, where
    the next heartbeat may take seconds, and whether it was leaving.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        feeding: Feeding,
        random: Random,
    ) -> None:
        self._feeding = feeding
        self._store = store
        self._gossip = gossip
        self._random = random
        self._written: MemberRecord | None = None
        self._wanted = trio.Event()
        self._done = trio.Event()
        self._has_read = False

    def tell(self) -> None:
        """The own record has changed."""
        if self._is_written():
            return
        self._done = trio.Event()
        self._wanted.set()

    async def flush(self, timeout: float) -> bool:
        """Wait until the record is in the store.

        :param timeout: longest wait, in seconds.
        """
        if self._is_written():
            return True
        self.tell()
        with trio.move_on_after(timeout):
            await self._done.wait()
        return self._is_written()

    async def run(self) -> None:
        """Look for others and write until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._look)
            while True:
                await self._wanted.wait()
                # The record of the process before is read first: the write
                # replaces what it says of the upstream.
                if not self._has_read or not await self._write():
                    await trio.sleep(_LOOK_SOON * self._random.random())

    async def take_leave(self, timeout: float) -> None:
        """Take the record back, unless the upstream stays.

        A daemon that is only started again finds its upstream by it.
        """
        upstream = self._gossip.own.upstream
        if upstream is not None and upstream.state is not UpstreamState.GONE:
            return
        with trio.move_on_after(timeout):
            await self._store.leave(self._gossip.own)

    async def _look(self) -> None:
        while True:
            found = await self._store.members()
            if isinstance(found, Success):
                self._gossip.meet(found.unwrap())
                self._has_read = True
            await trio.sleep(self._find_pause() * (0.5 + self._random.random()))

    def _find_pause(self) -> float:
        if not self._has_read or not self._gossip.has_others:
            return _LOOK_SOON
        return _LOOK_LATER if self._feeding.is_reader else _LOOK_SELDOM

    async def _write(self) -> bool:
        own = self._gossip.own
        result = await self._store.join(own)
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
