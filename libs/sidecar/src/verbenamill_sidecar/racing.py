"""Tries of one request that may be under way side by side."""

from collections.abc import Awaitable, Callable

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.call import RETRIED, Outcome
from verbenamill_sidecar.peers import SuspicionCallback, Peer

#: Makes one try; calls what it is given while the owner seems to be lost.
Try = Callable[[SuspicionCallback], Awaitable[Outcome]]


class Race:
    """Waits for whichever try ends first.

    An owner that seems to be lost may be at work all the same: its signs of
    life were late, or one packet was dropped. Broken off, the request would
    fail although its answer is being made. So the try goes on, and another
    one may be made beside it.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._under_way: dict[VmId, Peer] = {}
        self._doubted_at: dict[VmId, float] = {}
        self._ended: list[tuple[Peer, Outcome]] = []
        self._news = trio.Event()

    @property
    def under_way(self) -> int:
        """Tries whose outcome has not been taken yet."""
        return len(self._under_way)

    @property
    def is_in_doubt(self) -> bool:
        """Whether each try under way is at an owner that seems lost.

        One that has given a sign of life since is waited for again.
        """
        return not self._ended and all(
            self._is_doubted(vm, peer) for vm, peer in self._under_way.items()
        )

    def start(self, peer: Peer, attempt: Try) -> None:
        """Begin a try."""
        self._under_way[peer.record.vm] = peer
        self._nursery.start_soon(self._run, peer, attempt)

    async def wait(self) -> tuple[Peer, Outcome] | None:
        """A try that has ended; ``None`` if an owner is in doubt.

        Of those that ended at the same time, the best answer comes first: a
        refusal taken for the end would hide it.
        """
        if not self._ended:
            self._news = trio.Event()
            await self._news.wait()
        if not self._ended:
            return None
        best = min(self._ended, key=_rank)
        self._ended.remove(best)
        self._under_way.pop(best[0].record.vm)
        return best

    async def _run(self, peer: Peer, attempt: Try) -> None:
        outcome = await attempt(lambda at: self._doubt(peer.record.vm, at))
        self._ended.append((peer, outcome))
        self._news.set()

    def _is_doubted(self, vm: VmId, peer: Peer) -> bool:
        at = self._doubted_at.get(vm)
        return at is not None and peer.heard_at <= at

    def _doubt(self, vm: VmId, at: float) -> None:
        self._doubted_at[vm] = at
        self._news.set()


def _rank(ended: tuple[Peer, Outcome]) -> tuple[bool, bool]:
    answer = ended[1].answer
    return answer is None, answer is not None and answer.status in RETRIED
