"""Concurrent attempts of one request."""

from collections.abc import Awaitable, Callable

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.membership.peers import Peer, SuspicionCallback
from verbenamill_sidecar.routing.call import RETRIABLE_STATUSES, Outcome

#: Makes one attempt; calls the callback while the owner is suspected.
Attempt = Callable[[SuspicionCallback], Awaitable[Outcome]]


class Race:
    """Runs attempts concurrently and returns whichever ends first.

    A suspected owner may still be running the request: its heartbeats may be
    late, or one packet may have been dropped. If its attempt were cancelled,
    the request would fail although its response is on the way. The attempt
    therefore continues, and another one may be started concurrently.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._in_progress: dict[VmId, Peer] = {}
        self._suspected_at: dict[VmId, float] = {}
        self._ended: list[tuple[Peer, Outcome]] = []
        self._changed = trio.Event()

    @property
    def in_progress(self) -> int:
        """Number of attempts whose outcome has not been returned yet."""
        return len(self._in_progress)

    @property
    def all_suspected(self) -> bool:
        """Whether the owners of all attempts in progress are suspected.

        An owner that was heard from after the suspicion is waited for again.
        """
        return not self._ended and all(
            self._is_suspected(vm, peer)
            for vm, peer in self._in_progress.items()
        )

    def start(self, peer: Peer, attempt: Attempt) -> None:
        """Start an attempt."""
        self._in_progress[peer.record.vm] = peer
        self._nursery.start_soon(self._run, peer, attempt)

    async def run_here(
        self,
        peer: Peer,
        attempt: Attempt,
        go_on: Callable[[], Awaitable[None]],
    ) -> tuple[Peer, Outcome] | None:
        """Run the only attempt in progress without a task of its own.

        Most owners are not suspected, and a task is a notable part of the
        processor time of a request.

        :param go_on: run in a new task once the owner is suspected; it
            continues with what follows the start of an attempt.
        :return: ``None`` if the owner was suspected, so that the outcome is
            left to that task.
        """
        assert not self._in_progress
        vm = peer.record.vm

        def suspect(at: float) -> None:
            if vm not in self._in_progress:
                self._in_progress[vm] = peer
                self._nursery.start_soon(go_on)
            self._suspect(vm, at)

        outcome = await attempt(suspect)
        if vm not in self._in_progress:
            return peer, outcome
        self._ended.append((peer, outcome))
        self._changed.set()
        return None

    def cancel(self) -> None:
        """Cancel the attempts in progress."""
        self._nursery.cancel_scope.cancel()

    async def wait(self) -> tuple[Peer, Outcome] | None:
        """Wait for an attempt that has ended; ``None`` on a new suspicion.

        If several attempts have ended, the best answer is returned first: the
        caller may stop at a refusal and would then lose the answer.
        """
        if not self._ended:
            self._changed = trio.Event()
            await self._changed.wait()
        if not self._ended:
            return None
        best = min(self._ended, key=_sort_key)
        self._ended.remove(best)
        self._in_progress.pop(best[0].record.vm)
        return best

    async def _run(self, peer: Peer, attempt: Attempt) -> None:
        outcome = await attempt(lambda at: self._suspect(peer.record.vm, at))
        self._ended.append((peer, outcome))
        self._changed.set()

    def _is_suspected(self, vm: VmId, peer: Peer) -> bool:
        at = self._suspected_at.get(vm)
        return at is not None and peer.last_alive_at <= at

    def _suspect(self, vm: VmId, at: float) -> None:
        self._suspected_at[vm] = at
        self._changed.set()


def _sort_key(ended: tuple[Peer, Outcome]) -> tuple[bool, bool]:
    answer = ended[1].answer
    return (
        answer is None,
        answer is not None and answer.status in RETRIABLE_STATUSES,
    )
