"""Asks a few owners for their load right before a request is placed."""

from collections.abc import Callable, Sequence
from random import Random

import trio

from verbenamill_model.typing import VmId
from verbenamill_policy.pace import PaceReport
from verbenamill_sidecar.membership.peers import Peer

#: Number of owners asked for one request. With the best of a few random ones,
#: queues stay nearly as short as with the best of all.
PROBED_OWNERS = 3
#: Longest wait for their answers, in seconds. Owners of the same zone answer
#: in less than one millisecond unless their processor is busy.
_TIMEOUT = 0.005


class _Round:
    """One request that waits for the loads of a few owners."""

    def __init__(self, asked: set[VmId]) -> None:
        self._missing = asked
        self.decided = trio.Event()

    def record(self, vm: VmId, *, is_idle: bool) -> None:
        """Record an answer; the first idle owner decides."""
        self._missing.discard(vm)
        if is_idle or not self._missing:
            self.decided.set()


class LoadProbes:
    """Keeps the estimates of a few owners fresh for each request.

    What an ingress knows of an owner is as old as the last reply that it got
    from there. Where many daemons share an owner, that is longer than most
    requests take, and the request would queue there while others are idle.

    :param ask: sends an owner the question for its load.
    :ivar count: number of rounds.
    """

    def __init__(self, ask: Callable[[Peer], None], random: Random) -> None:
        self.count = 0
        self._ask = ask
        self._random = random
        self._rounds: set[_Round] = set()

    async def refresh(self, peers: Sequence[Peer]) -> list[Peer]:
        """Refresh the load of a random few owners, and return those asked."""
        asked = list(peers)
        if len(asked) > PROBED_OWNERS:
            asked = self._random.sample(asked, PROBED_OWNERS)
        self.count += 1
        current = _Round({peer.record.vm for peer in asked})
        self._rounds.add(current)
        try:
            for peer in asked:
                self._ask(peer)
            with trio.move_on_after(_TIMEOUT):
                await current.decided.wait()
        finally:
            self._rounds.discard(current)
        return asked

    def record(
        self, peer: Peer, load: int, pace: PaceReport | None = None
    ) -> None:
        """Record the load and the pace that an owner has answered with.

        An idle owner that is slow at the moment may be slower than one of
        those that have not answered yet.
        """
        now = trio.current_time()
        peer.owner.observe_load(load, now)
        peer.owner.pace.record_report(pace, now)
        is_idle = not load and peer.owner.pace.factor(now) <= 1
        for current in self._rounds:
            current.record(peer.record.vm, is_idle=is_idle)
