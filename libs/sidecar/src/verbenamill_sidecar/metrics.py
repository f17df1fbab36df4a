"""Metrics in the text format of Prometheus."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import trio
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from verbenamill_sidecar.membership.traffic import Traffic
from verbenamill_sidecar.protocol import StorePurpose
from verbenamill_sidecar.quotas.verdicts import VerdictCounts
from verbenamill_sidecar.stats import LATENCY_BOUNDS, CallStats

#: Help text and value of each gauge, by name.
GaugeValues = dict[str, tuple[str, float]]


class Gauges:
    """Reads the current values of all gauges."""

    def __init__(self, read: Callable[[], GaugeValues]) -> None:
        self.read = read


class CoordinationCounters(NamedTuple):
    """Calls to the store and datagrams that coordination has cost."""

    store_calls: Counter[StorePurpose]
    traffic: Traffic


class _Collector(Collector):
    def __init__(
        self,
        stats: CallStats,
        gauges: Gauges,
        coordination: CoordinationCounters,
        quota_verdicts: VerdictCounts,
    ) -> None:
        self._quota_verdicts = quota_verdicts
        self._stats = stats
        self._gauges = gauges
        self._coordination = coordination

    def collect(self) -> Iterable[Metric]:
        yield from self._counters()
        yield self._store_calls()
        yield from self._datagrams()
        yield self._outcomes()
        yield self._refused_keys()
        yield self._latencies()
        if self._quota_verdicts:
            yield self._quota_counts()
        for name, (help_text, value) in self._gauges.read().items():
            yield GaugeMetricFamily(
                f'verbenamill_{name}', help_text, value=value
            )

    def _counters(self) -> Iterator[Metric]:
        stats = self._stats
        for name, help_text, value in (
            ('requests', 'Requests taken from callers.', stats.requests),
            ('answered', 'Requests answered by an upstream.', stats.answered),
            ('late', 'Answers after the objective.', stats.late),
            ('retries', 'Requests sent to another upstream.', stats.retries),
        ):
            yield CounterMetricFamily(
                f'verbenamill_calls_{name}',
                help_text,
                value=value,
            )

    def _store_calls(self) -> Metric:
        family = CounterMetricFamily(
            'verbenamill_store_calls',
            'Calls to the store, by what they are for.',
            labels=['purpose'],
        )
        for purpose, count in self._coordination.store_calls.items():
            family.add_metric([purpose.value], count)
        return family

    def _datagrams(self) -> Iterator[Metric]:
        traffic = self._coordination.traffic
        for name, help_text, counts in (
            ('datagrams', 'Datagrams sent to daemons.', traffic.datagrams),
            ('bytes', 'Their payload in bytes.', traffic.bytes),
        ):
            family = CounterMetricFamily(
                f'verbenamill_gossip_{name}',
                help_text,
                labels=['message', 'zone'],
            )
            for kind, count in counts.items():
                zone = 'other' if kind.crosses_zones else 'own'
                family.add_metric([kind.message, zone], count)
            yield family

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

    def _refused_keys(self) -> Metric:
        family = CounterMetricFamily(
            'verbenamill_calls_refused_keys',
            'Requests refused for their key, by reason.',
            labels=['reason'],
        )
        for reason, count in self._stats.refused_keys.items():
            family.add_metric([reason], count)
        return family

    def _quota_counts(self) -> Metric:
        family = CounterMetricFamily(
            'verbenamill_quota_requests',
            'Requests of organisations with a quota, by how it decided them.',
            labels=['organisation', 'verdict'],
        )
        for (organisation, verdict), count in self._quota_verdicts.items():
            family.add_metric([organisation, verdict.value], count)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            'verbenamill_call_seconds',
            'Time from a request to its answer.',
            labels=['service'],
        )
        latencies = self._stats.latencies
        for service, counts in latencies.counts.items():
            cumulative = 0
            buckets: list[tuple[str, float]] = []
            for bound, count in zip(
                (*LATENCY_BOUNDS, None), counts, strict=True
            ):
                cumulative += count
                buckets.append(
                    ('+Inf' if bound is None else str(bound), cumulative)
                )
            family.add_metric([service], buckets, latencies.sums[service])
        return family


def render_metrics(
    stats: CallStats,
    gauges: Gauges,
    coordination: CoordinationCounters,
    quota_verdicts: VerdictCounts,
) -> bytes:
    """Render all metrics as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(stats, gauges, coordination, quota_verdicts))
    return generate_latest(registry)


def age_of(moment: float) -> float:
    """Seconds since a moment on trio's clock; -1 if it has not occurred."""
    if moment == float('-inf'):
        return -1
    return trio.current_time() - moment
