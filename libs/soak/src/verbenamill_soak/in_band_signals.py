"""Checks that daemons obey the limits and leaves announced in responses."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from verbenamill_platform_standins.upstream import Arrival
from verbenamill_soak.callers import Outcome, RequestRecord
from verbenamill_soak.cluster import Cluster
from verbenamill_soak.nodes import Node
from verbenamill_soak.upstreams import DRAIN_TIME_S, Upstream

#: Tolerance above the limit of an upstream: a factor and a number of requests.
_TOLERANCE_FACTOR = 1.5
_EXTRA_REQUESTS = 5
#: Length of the sliding window in which requests are counted.
_WINDOW_S = 4.0
#: Time from the first announcement of a limit until requests are counted.
_LIMIT_GRACE_S = 3.0
#: Time in which a daemon has to apply a limit that it has received.
_LIMIT_DELAY_S = 0.5

#: Name and start number of an upstream, and of a daemon; a signal is recorded
#: for each pair of them.
_UpstreamStart = tuple[str, int]
_DaemonStart = tuple[str, int]


class _Delivery(NamedTuple):
    """A request that reached an upstream."""

    upstream: Upstream
    arrival: Arrival

    @property
    def start(self) -> _UpstreamStart:
        """The start of the upstream that the request reached."""
        return self.upstream.name, self.arrival.born


class InBandSignalChecker:
    """Checks the requests of daemons that have received an in-band signal.

    A limit or leave binds each daemon from the first response with it that the
    daemon forwarded, until the daemon itself is disrupted. Killing the daemon
    on the VM of the upstream does not lift it.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._checked: dict[str, int] = defaultdict(int)
        self._deliveries: dict[str, list[_Delivery]] = defaultdict(list)
        self._limit_named_at: dict[_UpstreamStart, float] = {}
        self._limit_seen_at: dict[
            tuple[_UpstreamStart, _DaemonStart], float
        ] = {}
        self._leave_seen_at: dict[
            tuple[_UpstreamStart, _DaemonStart], float
        ] = {}
        self._arrival_times: dict[_UpstreamStart, list[float]] = defaultdict(
            list
        )
        self._upstreams: dict[str, Upstream] = {}

    def collect_arrivals(self) -> None:
        """Collect the requests that reached upstreams since the last call."""
        for node in self._cluster.nodes:
            for upstream in node.upstreams:
                first = self._checked[upstream.name]
                for arrival in upstream.arrivals[first:]:
                    delivery = _Delivery(upstream, arrival)
                    self._deliveries[arrival.id].append(delivery)
                self._checked[upstream.name] = len(upstream.arrivals)
                self._upstreams[upstream.name] = upstream

    def check_request(
        self, record: RequestRecord, ingress: Node
    ) -> Iterator[str]:
        """Process a finished request and yield the leaves that it violated."""
        daemon_start = (record.vm, record.daemon_start)
        for delivery in self._deliveries.pop(record.id, ()):
            key = (delivery.start, daemon_start)
            seen_at = self._leave_seen_at.get(key)
            is_bound = seen_at is not None and _is_bound(ingress, seen_at)
            if is_bound and record.sent_at > (seen_at or 0) + DRAIN_TIME_S:
                yield (
                    f'{record.id} reached {delivery.upstream.instance}, sent '
                    f'{record.sent_at - (seen_at or 0):.2f} s after '
                    f'{record.vm} had passed its word on'
                )
            self._count_delivery(delivery, key, ingress)
            self._record_signals(delivery, key, record, ingress)

    def find_exceeded_limits(self) -> Iterator[tuple[str, str]]:
        """Yield upstreams that received more than their limit, with details."""
        for start, times in self._arrival_times.items():
            first = (
                self._limit_named_at.get(start, float('inf')) + _LIMIT_GRACE_S
            )
            times.sort()
            window_start = 0
            for index, at in enumerate(times):
                since = max(at - _WINDOW_S, first)
                while window_start < index and times[window_start] < since:
                    window_start += 1
                count = index - window_start + 1
                rate = self._upstreams[start[0]].max_limit_during(since, at)
                if rate is None or at < first:
                    continue
                if (
                    count
                    > _TOLERANCE_FACTOR * rate * _WINDOW_S + _EXTRA_REQUESTS
                ):
                    text = (
                        f'{count} in {_WINDOW_S:g} s where {rate:.3g} a second'
                    )
                    yield start[0], f'{start[0]}: {text} were named'

    def _count_delivery(
        self,
        delivery: _Delivery,
        key: tuple[_UpstreamStart, _DaemonStart],
        ingress: Node,
    ) -> None:
        seen_at = self._limit_seen_at.get(key)
        at = delivery.arrival.at
        if (
            seen_at is not None
            and _is_bound(ingress, seen_at)
            and at >= seen_at + _LIMIT_DELAY_S
        ):
            self._arrival_times[delivery.start].append(at)

    def _record_signals(
        self,
        delivery: _Delivery,
        key: tuple[_UpstreamStart, _DaemonStart],
        record: RequestRecord,
        ingress: Node,
    ) -> None:
        """Record the signals in the response that the ingress daemon forwarded.

        A daemon that was disrupted since the last signal is bound again from
        now on.
        """
        if record.outcome is not Outcome.ANSWERED or not record.seal:
            return
        arrival = delivery.arrival
        if arrival.limit is not None:
            _record_signal(self._limit_seen_at, key, record, ingress)
            self._limit_named_at.setdefault(delivery.start, arrival.at)
        if arrival.signals_leaving:
            _record_signal(self._leave_seen_at, key, record, ingress)


def _record_signal(
    seen_at: dict[tuple[_UpstreamStart, _DaemonStart], float],
    key: tuple[_UpstreamStart, _DaemonStart],
    record: RequestRecord,
    ingress: Node,
) -> None:
    previous_at = seen_at.get(key)
    if previous_at is None or not _is_bound(ingress, previous_at):
        seen_at[key] = record.ended_at


def _is_bound(node: Node, since: float) -> bool:
    """Return whether the daemon has not been disrupted since a time."""
    return not (
        node.is_paused
        or node.last_disrupted_at >= since
        or not node.peer_link.is_intact(since)
    )
