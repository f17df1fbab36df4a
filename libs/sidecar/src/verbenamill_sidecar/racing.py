"""Tries of one request that may be under way side by side."""

from collections.abc import Awaitable, Callable

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.call import RETRIED, Outcome
from verbenamill_sidecar.peers import Peer

Doubt = Callable[[], None]
#: Makes one try; calls what it is given while the owner seems to be lost.
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
        """Tries whose outcome has not been taken yet."""
        return len(self._under_way)

    @property
    def is_in_doubt(self) -> bool:
        """Whether each try under way is at an owner that seems lost."""
        return not self._ended and self._under_way <= self._doubted

    def start(self, peer: Peer, attempt: Try) -> None:
        """Begin a try."""
        self._under_way.add(peer.record.vm)
        self._nursery.start_soon(self._run, peer, attempt)

    async def wait(self) -> tuple[Peer, Outcome] | None:
        """A try that has ended; ``None`` if an owner is in doubt.

        Of those that ended at the same time, the best answer comes first: a
        refusal that were taken for the end would hide it.
        """
        if not self._ended:
            self._news = trio.Event()
            await self._news.wait()
        if not self._ended:
            return None
        best = min(self._ended, key=_rank)
        self._ended.remove(best)
        self._under_way.discard(best[0].record.vm)
        return best

    async def _run(self, peer: Peer, attempt: Try) -> None:
        outcome = await attempt(lambda: self._doubt(peer.record.vm))
        self._ended.append((peer, outcome))
        self._news.set()

    def _doubt(self, vm: VmId) -> None:
        self._doubted.add(vm)
        self._news.set()


def _rank(ended: tuple[Peer, Outcome]) -> tuple[bool, bool]:
    answer = ended[1].answer
    return answer is None, answer is not None and answer.status in RETRIED
