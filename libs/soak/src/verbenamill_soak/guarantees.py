"""Checks guarantees from the records of callers and upstreams."""

from collections import defaultdict

import trio
from msgspec import Struct

from verbenamill_platform_standins.operators import (
    COMPLETE,
    ROLLED_BACK,
    RolloutStatus,
    read_statuses,
)
from verbenamill_platform_standins.upstream import Execution
from verbenamill_soak.abandoned import AbandonedRequests
from verbenamill_soak.callers import Caller, Outcome, RequestRecord
from verbenamill_soak.cluster import ROUTE_VERSIONS_KEPT, SERVICE, Cluster
from verbenamill_soak.deadly_request import (
    MAX_LATE_EXECUTIONS,
    DeadlyRequestMonitor,
)
from verbenamill_soak.in_band_signals import InBandSignalChecker
from verbenamill_soak.keys import KeyChecker
from verbenamill_soak.nodes import Node
from verbenamill_soak.upstreams import DEADLY_PATH, DRAIN_TIME_S, Upstream

#: Time between two checks of new records.
_CHECK_PERIOD_S = 0.2
#: Statuses which guarantee that a request was not and will not be executed.
_NOT_EXECUTED = frozenset((408, 421, 429, 503))
_NOT_FOUND = 404
#: Reason in the body of a response to a blocked request.
_BLOCKED_REASON = b'upstreams crashed under this request'
_OK = 200
#: Time in which a published configuration has to be in force.
APPLY_LIMIT_S = 2.0
#: Time after a fault in which a VM may exceed that limit.
_SETTLING_TIME_S = 3.0
#: Time from the rollback of a version until it must get no more requests.
ROLLBACK_LIMIT_S = 5.0
#: Maximum length of a traceback in a report.
_MAX_TRACEBACK_CHARS = 900
_FINAL_STATES = (COMPLETE, ROLLED_BACK)


class _ObservedConfiguration(Struct):
    """The newest configuration seen at a daemon since its start."""

    newest_version: int = 0
    seen_at: float = 0


class GuaranteeChecker:
    """Checks all records periodically during a run and once at its end."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._checked_records: dict[Caller, int] = defaultdict(int)
        self._checked_executions: dict[str, int] = defaultdict(int)
        self._instances_by_request: dict[str, list[str]] = defaultdict(list)
        self._abandoned_requests = AbandonedRequests()
        self._deadly_request = DeadlyRequestMonitor(cluster)
        self._in_band_signals = InBandSignalChecker(cluster)
        self._keys = KeyChecker(cluster)
        self._fees: dict[str, RequestRecord] = {}
        self._refused: dict[str, RequestRecord] = {}
        self._observed_configurations: dict[
            tuple[str, int], _ObservedConfiguration
        ] = defaultdict(_ObservedConfiguration)
        self._ended: set[tuple[str, int]] = set()
        self._reported: set[str] = set()
        self._rolled_back_at: dict[str, float] = {}

    async def watch(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await trio.sleep(_CHECK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Check the records added since the last call."""
        self._check_executions()
        self._in_band_signals.collect_arrivals()
        for id, text in self._keys.check_arrivals():
            self._report_violation('upstreams get no key', id, text)
        for caller in self._cluster.callers:
            ended = [
                finished for finished in caller.records if finished.ended_at
            ]
            for record in ended[self._checked_records[caller] :]:
                self._check_record(record)
            self._checked_records[caller] = len(ended)
        for node in self._cluster.nodes:
            self._check_process(node)
        self._check_statuses()
        self._check_deadly_request()
        for name, text in self._in_band_signals.find_exceeded_limits():
            self._report_violation('a named limit is kept', name, text)

    def _report_violation(self, promise: str, key: str, text: str) -> None:
        if f'{promise}/{key}' not in self._reported:
            self._reported.add(f'{promise}/{key}')
            self._cluster.timeline.add_violation(promise, text)

    def _check_executions(self) -> None:
        for node in self._cluster.nodes:
            for upstream in node.upstreams:
                first = self._checked_executions[upstream.name]
                for execution in upstream.executions[first:]:
                    self._check_execution(node, upstream, execution)
                self._checked_executions[upstream.name] = len(
                    upstream.executions
                )

    def _check_execution(
        self, node: Node, upstream: Upstream, execution: Execution
    ) -> None:
        self._instances_by_request[execution.id].append(upstream.instance)
        self._abandoned_requests.add_execution(
            execution.id, node, upstream, execution.at
        )
        if execution.path == DEADLY_PATH:
            self._deadly_request.add_execution(execution.id, node, execution.at)
        self._check_repetition(execution.id)
        acknowledged_at = upstream.leave_acknowledged_at
        if (
            acknowledged_at is not None
            and execution.at > acknowledged_at + DRAIN_TIME_S
        ):
            self._report_violation(
                'who leaves gets no work',
                execution.id,
                f'{execution.id} ran at {upstream.instance} '
                f'{execution.at - acknowledged_at:.2f} s after the word',
            )
        rolled_back_at = self._rolled_back_at.get(upstream.version)
        if (
            rolled_back_at is not None
            and execution.at > rolled_back_at + ROLLBACK_LIMIT_S
        ):
            if self._cluster.is_fault_free(
                node, execution.at - ROLLBACK_LIMIT_S
            ):
                self._report_violation(
                    'a version taken back gets nothing',
                    execution.id,
                    f'{execution.id} ran at {upstream.instance} '
                    f'{execution.at - rolled_back_at:.2f} s after the verdict',
                )

    def _check_repetition(self, id: str) -> None:
        instances = self._instances_by_request[id]
        if id in self._fees and len(instances) > 1:
            self._report_violation(
                'at most once', id, f'{id} ran at {instances}'
            )
        if id in self._refused:
            self._report_violation(
                'not run is true', id, f'{id} ran at {instances}'
            )

    def _check_record(self, record: RequestRecord) -> None:
        if record.is_fee:
            self._fees[record.id] = record
            if record.status in _NOT_EXECUTED:
                self._refused[record.id] = record
            if record.id in self._instances_by_request:
                self._check_repetition(record.id)
        match record.outcome:
            case Outcome.CUT:
                self._check_lost_connection(record)
            case Outcome.NO_ANSWER:
                if not self._was_disrupted(record):
                    self._report_violation(
                        'an answer in time', record.id, str(record)
                    )
            case Outcome.ANSWERED if record.status == _OK:
                if record.body != f'answer to {record.id}'.encode():
                    self._report_violation(
                        'the own whole answer', record.id, str(record)
                    )
                if not record.seal:
                    self._report_violation(
                        'the own whole answer', record.id, str(record)
                    )
        if _BLOCKED_REASON in record.body and record.target != DEADLY_PATH:
            self._report_violation(
                'only a deadly request is blocked', record.id, str(record)
            )
        abandoned = self._abandoned_requests.find_abandoned(
            record, self._get_node(record)
        )
        if abandoned:
            self._report_violation('no work is given up', record.id, abandoned)
        self._check_configuration(record)
        self._check_key(record)
        for text in self._in_band_signals.check_request(
            record, self._get_node(record)
        ):
            self._report_violation(
                'who leaves in band gets no work', record.id, text
            )

    def _check_key(self, record: RequestRecord) -> None:
        """Check that a request was served or refused as its key demands."""
        ingress = self._get_node(record)
        refused = self._keys.find_refused(record, ingress)
        if refused:
            self._report_violation('a known key is good', record.id, refused)
        accepted = self._keys.find_accepted(record, ingress)
        if accepted:
            self._report_violation(
                'a revoked key is refused', record.id, accepted
            )

    def _check_lost_connection(self, record: RequestRecord) -> None:
        """Check that each executed request was answered, also at planned stops.

        A request sent while the daemon closed the connection was not
        forwarded.
        """
        if record.id in self._instances_by_request and not self._was_disrupted(
            record
        ):
            self._report_violation('nothing is cut', record.id, str(record))

    def _check_deadly_request(self) -> None:
        """Check that the deadly request is blocked after three crashes."""
        late_executions = self._deadly_request.find_late_executions()
        if len(late_executions) > MAX_LATE_EXECUTIONS:
            self._report_violation(
                'a deadly request is stopped',
                'deadly',
                ', '.join(late_executions),
            )

    def _was_disrupted(self, record: RequestRecord) -> bool:
        node = self._get_node(record)
        return node.is_paused or node.last_disrupted_at >= record.sent_at

    def _get_node(self, record: RequestRecord) -> Node:
        return next(n for n in self._cluster.nodes if n.name == record.vm)

    def _check_configuration(self, record: RequestRecord) -> None:
        name = record.path.strip('/')
        is_probe = name.startswith('v')
        if not is_probe:
            if record.status == _NOT_FOUND:
                self._report_violation('no false 404', record.id, str(record))
            return
        version = int(name[1:])
        observed = self._observed_configurations[record.vm, record.daemon_start]
        if record.status == _OK and version > observed.newest_version:
            observed.newest_version = version
            observed.seen_at = record.ended_at
        if record.status != _NOT_FOUND or self._is_route_removed(
            version, record
        ):
            return
        if (
            observed.newest_version >= version
            and record.sent_at > observed.seen_at
        ):
            self._report_violation(
                'never back', record.id, f'{record} after {observed}'
            )
        due = self._cluster.published[version] + APPLY_LIMIT_S
        since = record.sent_at - _SETTLING_TIME_S
        if record.sent_at > due and self._cluster.is_fault_free(
            self._get_node(record),
            min(since, due - APPLY_LIMIT_S),
        ):
            self._report_violation('in force in time', record.id, str(record))

    def _is_route_removed(self, version: int, record: RequestRecord) -> bool:
        """Return whether a newer published version no longer has the route."""
        newest_version = max(
            number
            for number, at in self._cluster.published.items()
            if at <= record.ended_at
        )
        return version <= newest_version - ROUTE_VERSIONS_KEPT

    def _check_process(self, node: Node) -> None:
        if node.has_ended and not node.is_expected_to_end:
            self._report_violation(
                'a daemon ends only when told',
                f'{node.name}/{node.daemon_starts}',
                f'{node.name} ended by itself',
            )

    def _check_statuses(self) -> None:
        """Check that orders have one verdict and bad versions fail."""
        states: dict[int, str] = {}
        for status in read_statuses(self._cluster.store, SERVICE):
            previous_state = states.get(status.order)
            if (
                previous_state in _FINAL_STATES
                and status.state != previous_state
            ):
                self._report_violation(
                    'one verdict',
                    str(status.order),
                    f'{previous_state}, then {status}',
                )
            states[status.order] = status.state
            self._check_status(status)

    def _check_status(self, status: RolloutStatus) -> None:
        order = self._cluster.orders.get(status.order)
        if order is None:
            return
        if status.state == COMPLETE and order.is_bad:
            self._report_violation(
                'bad is not done', str(status.order), str(order)
            )
        if status.state == ROLLED_BACK:
            now = trio.current_time()
            self._rolled_back_at.setdefault(order.version, now)

    def check_logs(self) -> None:
        """Check that no daemon logged a traceback of a violated invariant."""
        for node in self._cluster.nodes:
            text = node.log.read_text(errors='replace')
            offset = text.find('Traceback (most recent call last)')
            if offset >= 0:
                self._report_violation(
                    'no invariant breaks',
                    node.name,
                    text[max(offset, len(text) - _MAX_TRACEBACK_CHARS) :],
                )
