"""Metrics of the daemon, read from its parts when they are asked for."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

Read = Callable[[], Mapping[str, float]]


class _Parts(Collector):
    """Turns the figures of each part into metric families."""

    def __init__(self, gauges: Read, counters: Read) -> None:
        self._gauges = gauges
        self._counters = counters

    def collect(self) -> Iterable[Metric]:
        """Read every figure once."""
        for name, value in self._gauges().items():
            gauge = GaugeMetricFamily(f'verbenamill_{name}', name)
            gauge.add_metric([], value)
            yield gauge
        for name, value in self._counters().items():
            counter = CounterMetricFamily(f'verbenamill_{name}', name)
            counter.add_metric([], value)
            yield counter


def build_registry(*, gauges: Read, counters: Read) -> CollectorRegistry:
    """Registry with the daemon's figures and those of its process.

    :param gauges: figures that rise and fall, by metric name.
    :param counters: figures that only grow, by metric name.
    """
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    registry.register(_Parts(gauges, counters))
    return registry
