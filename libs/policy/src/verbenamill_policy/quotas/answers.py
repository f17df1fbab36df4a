"""Answers that a pool has given, so that none is given twice."""

from collections import deque

from verbenamill_model.typing import VmId
from verbenamill_policy.quotas.messages import (
    RequestKind,
    TokenGrant,
    TokenRequest,
)

#: Time for which answers are kept for repeated requests, in seconds.
ANSWER_MEMORY = 2.0


class AnswerLog:
    """Requests of one daemon that were received, and their answers.

    A request that is older than all answers kept is never processed: it may be
    a late duplicate of one whose answer is no longer known.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._newest_status = -1
        self._forgotten = -1
        self._answers: dict[int, TokenGrant | None] = {}
        self._received: deque[tuple[float, int]] = deque()

    def __contains__(self, number: int) -> bool:
        return number <= self._forgotten or number in self._answers

    def get(self, number: int) -> TokenGrant | None:
        """Return the answer to a request, if it was given and is kept."""
        return self._answers.get(number)

    def receive(self, request: TokenRequest, now: float) -> bool:
        """Record a new request, and return whether its status counts.

        Only the newest report tells whether the sender delegates its share.
        """
        self._forget(now)
        self._answers[request.number] = None
        self._received.append((now, request.number))
        if request.kind not in _STATUS_KINDS:
            return False
        is_newest = request.number > self._newest_status
        self._newest_status = max(self._newest_status, request.number)
        return is_newest

    def record(self, grant: TokenGrant) -> None:
        """Record the answer to a received request."""
        if grant.number > self._forgotten:
            self._answers[grant.number] = grant

    def _forget(self, now: float) -> None:
        received = self._received
        while received and now - received[0][0] >= ANSWER_MEMORY:
            _, number = received.popleft()
            self._answers.pop(number)
            self._forgotten = max(self._forgotten, number)


_STATUS_KINDS = frozenset((RequestKind.DELEGATE, RequestKind.REPORT))


class AnswerLogs:
    """The answers to all daemons."""

    def __init__(self) -> None:
        self._by_vm: dict[VmId, AnswerLog] = {}

    def find(self, request: TokenRequest) -> AnswerLog | None:
        """Return the answers to the sender; ``None`` if it was replaced."""
        sender = request.sender
        log = self._by_vm.get(sender)
        if log is None or log.incarnation < request.incarnation:
            log = AnswerLog(request.incarnation)
            self._by_vm[sender] = log
        return log if log.incarnation == request.incarnation else None

    def get(self, vm: VmId) -> AnswerLog | None:
        """Return the answers to a daemon, if any were given."""
        return self._by_vm.get(vm)

    def retain(self, vms: frozenset[VmId]) -> None:
        """Drop the answers to daemons that no longer exist."""
        for vm in self._by_vm.keys() - vms:
            self._by_vm.pop(vm)
