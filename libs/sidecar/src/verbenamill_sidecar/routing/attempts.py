"""Attempts that were made for one request, and their outcomes."""

from verbenamill_http.client import ClientResponse
from verbenamill_model.typing import VmId
from verbenamill_sidecar.membership.peers import Peer
from verbenamill_sidecar.routing.call import ExecutionStatus, Outcome

#: Reason of a refusal because the limits of all upstreams are reached.
AT_LIMIT = 'the upstream is at its limit'
_FIRST_SERVER_ERROR = 500
_STOPS = 'the daemon stops before the request can end'


class Attempts:
    """Attempts that were made for one request, and their combined outcome.

    :ivar reached: number of upstreams that got the request.
    :ivar pending: number of attempts whose outcome is not known yet.
    :ivar refused_by_stop: whether this daemon begins no attempt because the
        request could not end before the process does.
    :ivar fails_everywhere: whether other owners would have the same outcome.
    :ivar found_owners_full: whether none of the owners that were asked for
        their load had a free slot.
    :ivar crashed: whether an upstream crashed while it ran the request.
    :ivar blocked: whether the request is refused because of crashes under it.
    """

    def __init__(self) -> None:
        self.tried_vms: set[VmId] = set()
        self.owners_asked = 0
        self.reached = 0
        self.pending = 0
        self.refused_by_stop = False
        self.wants_target: bool | None = None
        self.answer: ClientResponse | None = None
        self.may_have_run = False
        self.crashed = False
        self.blocked = False
        self.fails_everywhere = False
        self.found_owners_full = False
        self.reason = ''
        self.wait = float(0)
        self.summaries: list[str] = []
        self._summary_indexes: dict[VmId, int] = {}

    @property
    def has_run(self) -> bool:
        """Whether an upstream has run, or may have run, the request."""
        return self.may_have_run or self.answer is not None

    @property
    def has_completed(self) -> bool:
        """Whether an upstream has run the request without a crash.

        A 5xx status is no proof: it may come from an upstream that did not
        begin the request, and 504 from one that cancelled it.
        """
        answer = self.answer
        return answer is not None and answer.status < _FIRST_SERVER_ERROR

    def record_start(self, peer: Peer) -> None:
        """Record the start of an attempt."""
        vm = peer.record.vm
        self.tried_vms.add(vm)
        self.owners_asked += 1
        self.pending += 1
        self._summary_indexes[vm] = len(self.summaries)
        self.summaries.append(f'{vm}: no answer yet')

    def record_block(self, reason: str, *, blocked_for: float) -> None:
        """Record that this daemon refuses the request because of crashes.

        :param blocked_for: in seconds; 0 if it waited for another copy only.
        """
        self.blocked = blocked_for > 0
        self.reason = reason
        self.wait = blocked_for

    def record_unavailable(self, reason: str, *, wait: float) -> None:
        """Record that no owner is left, unless one has given its reason.

        :param wait: time after which a retry may succeed, in seconds.
        """
        if not self.reason:
            self.reason = reason
            self.wait = wait

    def record_too_long(self) -> None:
        """Record that the daemon stops before another attempt could end."""
        if not (self.pending or self.has_run):
            self.refused_by_stop = True
            self.record_unavailable(_STOPS, wait=0)

    def record_stop(self) -> None:
        """Record that the daemon stops now; pending attempts may go on."""
        if self.pending:
            self.may_have_run = True
            self.reason = _STOPS
        else:
            self.record_too_long()

    def record_no_home(self, *, is_reachable: bool) -> None:
        """Record whether the home regions of the route have upstreams."""
        if not is_reachable:
            self.record_unavailable('no upstream in its home regions', wait=0)

    def record_limit_wait(self, wait: float) -> None:
        """Record that no further owner has room in time.

        :param wait: time until the first rate limit has room, in seconds; 0 if
            rate limits aren't the reason.
        """
        if wait:
            self.record_unavailable(AT_LIMIT, wait=wait)

    def record_outcome(self, peer: Peer, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        vm = peer.record.vm
        self.pending -= 1
        self.reached += outcome.reached
        self.fails_everywhere |= outcome.everywhere
        self.blocked |= outcome.blocked
        self.summaries[self._summary_indexes[vm]] = f'{vm}: {_summary(outcome)}'
        if outcome.execution is ExecutionStatus.NOT_RUN:
            self.reason = self.reason or outcome.reason
            if outcome.wait:
                earliest = self.wait or outcome.wait
                self.wait = min(earliest, outcome.wait)
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
    text = f'{outcome.execution.value}, {outcome.reason}'
    return f'{text} ({outcome.detail})' if outcome.detail else text
