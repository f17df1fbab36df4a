"""Finds requests that a daemon gave up while an upstream executed them."""

from collections import defaultdict

from msgspec import Struct

from verbenamill_soak.callers import DEADLINE_S, RequestRecord
from verbenamill_soak.nodes import Node
from verbenamill_soak.upstreams import Upstream

#: Minimum time before the deadline, by status, at which a response counts as
#: giving the request up. The timeout of the routes is longer. At the deadline
#: 502 is as valid as 504: it means that the owner of the upstream reported no
#: answer in time, a few ms early at most because it receives its timeout in
#: whole ms.
_MIN_TIME_LEFT_S = {502: 0.01, 504: 0.3}
#: Time for which a disruption may still affect later requests.
_DISRUPTION_EFFECT_S = 3.0


class _Execution(Struct, frozen=True):
    """One execution of a request, and the VM whose daemon forwarded it."""

    node: Node
    upstream: Upstream
    at: float


class AbandonedRequests:
    """Detects abandoned requests from the executions at all upstreams."""

    def __init__(self) -> None:
        self._executions: dict[str, list[_Execution]] = defaultdict(list)

    def add_execution(
        self, id: str, node: Node, upstream: Upstream, at: float
    ) -> None:
        """Add an execution that an upstream started."""
        self._executions[id].append(_Execution(node, upstream, at))

    def find_abandoned(self, record: RequestRecord, ingress: Node) -> str:
        """Describe the execution of a request that was given up, or return ''.

        Only disruptions that concern the request are an excuse: of the daemon
        that received it, of the daemon that forwarded it to the upstream, of
        the links of both, and of that upstream. Lost connections are covered
        by a stricter guarantee.
        """
        if not _is_abandoned(record):
            return ''
        since = record.sent_at - _DISRUPTION_EFFECT_S
        if _is_disrupted(ingress, since):
            return ''
        for execution in self._executions[record.id]:
            if execution.at <= record.ended_at and _is_intact(execution, since):
                return (
                    f'{record.id} got {record.status} after '
                    f'{record.ended_at - record.sent_at:.3f} s; it ran at '
                    f'{execution.upstream.instance} from '
                    f'{execution.at - record.sent_at:.3f} s'
                )
        return ''


def _is_abandoned(record: RequestRecord) -> bool:
    min_time_left = _MIN_TIME_LEFT_S.get(record.status)
    time_left = record.sent_at + DEADLINE_S - record.ended_at
    return min_time_left is not None and time_left > min_time_left


def _is_disrupted(node: Node, since: float) -> bool:
    return (
        node.is_paused
        or node.last_disrupted_at >= since
        or not node.peer_link.is_intact(since)
    )


def _is_intact(execution: _Execution, since: float) -> bool:
    return not (
        _is_disrupted(execution.node, since)
        or not execution.node.upstream_link.is_intact(since)
        or execution.upstream.terminated_at >= since
        or execution.upstream.fails_requests
    )
