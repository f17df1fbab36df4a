"""Metrics in the text format of Prometheus."""

from collections.abc import Callable, Iterable, Iterator

import trio
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from verbenamill_sidecar.stats import BOUNDS, CallStats


#: Help and value by name.
GaugeValues = dict[str, tuple[str, float]]


class Gauges:
    """Values of now, each with its name and help."""

    def __init__(self, read: Callable[[], GaugeValues]) -> None:
        self.read = read


class _Collector(Collector):
    def __init__(self, stats: CallStats, gauges: Gauges) -> None:
        self._stats = stats
        self._gauges = gauges

    def collect(self) -> Iterable[Metric]:
        yield from self._counters()
        yield self._outcomes()
        yield self._latencies()
        for name, (text, value) in self._gauges.read().items():
            yield GaugeMetricFamily(f'verbenamill_{name}', text, value=value)

    def _counters(self) -> Iterator[Metric]:
        stats = self._stats
        for name, text, value in (
            ('requests', 'Requests taken from callers.', stats.requests),
            ('answered', 'Requests answered by an upstream.', stats.answered),
            ('late', 'Answers after the objective.', stats.late),
            ('retries', 'Requests sent to another upstream.', stats.retries),
        ):
            yield CounterMetricFamily(
                f'verbenamill_calls_{name}',
                text,
                value=value,
            )

    def _outcomes(self) -> Metric:
        family = CounterMetricFamily(
            'verbenamill_calls_failed',
            'Requests that ended without an answer of an upstream, or with '
            'a failure.',
            labels=['service', 'outcome'],
        )
        for (service, outcome), count in self._stats.outcomes.items():
            family.add_metric([service, outcome], count)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            'verbenamill_call_seconds',
            'Time from a request to its answer.',
            labels=['service'],
        )
        latencies = self._stats.latencies
        for service, counts in latencies.counts.items():
            total = 0
            buckets: list[tuple[str, float]] = []
            for bound, count in zip((*BOUNDS, None), counts, strict=True):
                total += count
                buckets.append(('+Inf' if bound is None else str(bound), total))
            family.add_metric([service], buckets, latencies.sums[service])
        return family


def render(stats: CallStats, gauges: Gauges) -> bytes:
    """Text of all metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(stats, gauges))
    return generate_latest(registry)


def age_of(moment: float) -> float:
    """Time since a moment on trio's clock, in seconds; -1 if it never was."""
    if moment == float('-inf'):
        return -1
    return trio.current_time() - moment
