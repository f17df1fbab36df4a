"""Tries of one request that may be under way side by side."""

from collections.abc import Awaitable, Callable

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.call import Outcome
from verbenamill_sidecar.peers import Peer

Doubt = Callable[[], None]
#: Makes one try; calls what it is given once the owner seems to be lost.
Try = Callable[[Doubt], Awaitable[Outcome]]


class Race:
    """Waits for whichever try ends first.

    An owner that seems to be lost may be at work all the same: its signs of
    life were late, or one packet was dropped. Broken off, the request would
    fail although its answer is being made. So the try goes on, and another
    one may be made beside it.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._under_way: set[VmId] = set()
        self._doubted: set[VmId] = set()
        self._ended: list[tuple[Peer, Outcome]] = []
        self._news = trio.Event()

    @property
    def under_way(self) -> int:
        """Tries that have not ended."""
        return len(self._under_way)

    @property
    def is_in_doubt(self) -> bool:
        """Whether each try under way is at an owner that seems lost."""
        return self._under_way <= self._doubted

    def start(self, peer: Peer, attempt: Try) -> None:
        """Begin a try."""
        self._under_way.add(peer.record.vm)
        self._nursery.start_soon(self._run, peer, attempt)

    async def wait(self) -> tuple[Peer, Outcome] | None:
        """The next try that has ended; ``None`` if an owner is in doubt."""
        if not self._ended:
            self._news = trio.Event()
            await self._news.wait()
        return self._ended.pop(0) if self._ended else None

    async def _run(self, peer: Peer, attempt: Try) -> None:
        vm = peer.record.vm
        outcome = await attempt(lambda: self._doubt(vm))
        self._under_way.discard(vm)
        self._ended.append((peer, outcome))
        self._news.set()

    def _doubt(self, vm: VmId) -> None:
        self._doubted.add(vm)
        self._news.set()
