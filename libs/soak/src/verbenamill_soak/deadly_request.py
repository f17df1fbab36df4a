"""Monitors executions of a request that crashes every upstream.

The daemons have to block such a request after a few crashes; reports call it
a deadly request.
"""

from collections.abc import Iterator

from msgspec import Struct

from verbenamill_soak.cluster import Cluster
from verbenamill_soak.nodes import Node

#: Crashes after which the daemons have to block the request.
_CRASH_THRESHOLD = 3
#: Time from the last of these crashes until the request has to be blocked.
_BLOCK_LIMIT_S = 3.0
#: Executions that are tolerated after that time.
MAX_LATE_EXECUTIONS = 3


class _Execution(Struct, frozen=True):
    """One execution.

    :param is_fault_free: whether the VMs that handled the request had no
        fault within the time limit for blocking it.
    """

    id: str
    at: float
    is_fault_free: bool


class DeadlyRequestMonitor:
    """Collects the executions of the deadly request at all upstreams."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._executions: list[_Execution] = []

    def add_execution(self, id: str, owner: Node, at: float) -> None:
        """Add an execution that an upstream started.

        :param id: request ID; starts with the name of the VM whose daemon
            received the request.
        """
        ingress_name = id.partition('-')[0]
        ingresses = [
            node for node in self._cluster.nodes if node.name == ingress_name
        ]
        involved_nodes = (owner, *ingresses)
        is_fault_free = all(
            self._cluster.is_fault_free(involved, at - _BLOCK_LIMIT_S)
            for involved in involved_nodes
        )
        self._executions.append(_Execution(id, at, is_fault_free))

    def find_late_executions(self) -> list[str]:
        """Describe the executions that started after the time limit."""
        crash_times = sorted(self._crash_times())
        if len(crash_times) < _CRASH_THRESHOLD:
            return []
        limit_at = crash_times[_CRASH_THRESHOLD - 1] + _BLOCK_LIMIT_S
        return [
            f'{execution.id} {execution.at - limit_at:.2f} s late'
            for execution in self._executions
            if execution.is_fault_free and execution.at > limit_at
        ]

    def _crash_times(self) -> Iterator[float]:
        for node in self._cluster.nodes:
            for upstream in node.upstreams:
                yield from upstream.deadly_crash_times
