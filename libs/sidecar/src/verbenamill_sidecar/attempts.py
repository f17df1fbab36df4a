"""What has been tried for one request, and how that ended."""

from verbenamill_http.client import ClientResponse
from verbenamill_model.typing import VmId
from verbenamill_sidecar.call import ExecutionStatus, Outcome
from verbenamill_sidecar.peers import Peer

#: Told of a request that no upstream may get for the limits that they name.
AT_LIMIT = 'the upstream is at its limit'
_FIRST_FAILURE = 500


class Tries:
    """What has been tried for one request.

    :ivar reached: upstreams that have seen it.
    :ivar is_same_everywhere: whether other owners would say the same.
    :ivar crashed: whether an upstream has crashed while it ran it.
    :ivar blocked: whether it is refused for crashes under it.
    """

    def __init__(self) -> None:
        self.vms: set[VmId] = set()
        self.hops = 0
        self.reached = 0
        self.wants_target: bool | None = None
        self.answer: ClientResponse | None = None
        self.may_have_run = False
        self.crashed = False
        self.blocked = False
        self.is_same_everywhere = False
        self.reason = ''
        self.wait = float(0)
        self.story: list[str] = []
        self._places: dict[VmId, int] = {}

    @property
    def has_run(self) -> bool:
        """Whether an upstream has run the request, or may have."""
        return self.may_have_run or self.answer is not None

    @property
    def has_completed(self) -> bool:
        """Whether an upstream has run the request and lives.

        A failure may be told by an upstream that did not begin it, and 504 by
        one that broke it off.
        """
        answer = self.answer
        return answer is not None and answer.status < _FIRST_FAILURE

    def begin(self, peer: Peer) -> None:
        """Note that a try begins."""
        vm = peer.record.vm
        self.vms.add(vm)
        self.hops += 1
        self._places[vm] = len(self.story)
        self.story.append(f'{vm}: no answer yet')

    def refuse(self, reason: str, *, blocked_for: float) -> None:
        """Note that it is refused here for crashes under it.

        :param blocked_for: in seconds; 0 if it only waited for another copy.
        """
        self.blocked = blocked_for > 0
        self.reason = reason
        self.wait = blocked_for

    def see_limits(self, wait: float) -> None:
        """Note that nobody else has room for it in time.

        :param wait: until the first limit has room, in seconds; 0 if it is not
            for limits.
        """
        if wait and not self.reason:
            self.reason = AT_LIMIT
            self.wait = wait

    def end(self, peer: Peer, outcome: Outcome) -> None:
        """Note what became of a try."""
        vm = peer.record.vm
        self.reached += outcome.reached
        self.is_same_everywhere |= outcome.everywhere
        self.blocked |= outcome.blocked
        self.story[self._places[vm]] = f'{vm}: {_summary(outcome)}'
        if outcome.execution is ExecutionStatus.NOT_RUN:
            self.reason = self.reason or outcome.reason
            if outcome.wait:
                known = self.wait or outcome.wait
                self.wait = min(known, outcome.wait)
            return
        if outcome.execution is ExecutionStatus.UNKNOWN:
            self.may_have_run = True
            self.crashed |= outcome.crash is not None
            self.reason = outcome.reason
            return
        self.answer = outcome.answer


def _summary(outcome: Outcome) -> str:
    if outcome.answer is not None:
        return str(outcome.answer.status)
    told = f'{outcome.execution.value}, {outcome.reason}'
    return f'{told} ({outcome.detail})' if outcome.detail else told
