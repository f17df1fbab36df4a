"""Metrics of the daemon, read from its components on each scrape.

``python -m verbenamill_daemon.metrics`` prints the page
``docs/operators/metrics.md``; a test fails when the two differ.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from msgspec import Struct
from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from verbenamill_calls import CallStats
from verbenamill_mesh import MeshStats

#: Samples of one metric, keyed by the values of its labels.
Samples = Mapping[tuple[str, ...], float]


class Health(Struct, frozen=True, kw_only=True):
    """Values that describe the daemon as a whole."""

    offset: int
    version: int
    ready: bool
    moves: int


@dataclass(frozen=True, kw_only=True)
class MetricSources:
    """Functions that read the current values of the components."""

    health: Callable[[], Health]
    calls: Callable[[], CallStats]
    mesh: Callable[[], MeshStats]


class MetricReadings(Struct, frozen=True, kw_only=True):
    """Values of all components, read during one scrape."""

    health: Health
    calls: CallStats
    mesh: MeshStats


@dataclass(frozen=True)
class MetricDefinition:
    """Definition of one metric.

    :param is_counter: whether the metric is a counter instead of a gauge.
    :param read: reads the samples of the metric.
    :param labels: names of the labels.
    """

    name: str
    is_counter: bool
    help: str
    read: Callable[[MetricReadings], Samples]
    labels: tuple[str, ...] = ()

    @property
    def exposed_name(self) -> str:
        """Name of the metric in queries."""
        return f'verbenamill_{self.name}{"_total" if self.is_counter else ""}'


def _read_field(
    component: str, field: str
) -> Callable[[MetricReadings], Samples]:
    def read(readings: MetricReadings) -> Samples:
        return {(): getattr(getattr(readings, component), field)}

    return read


def _gauge(
    name: str, component: str, field: str, help_text: str
) -> MetricDefinition:
    return MetricDefinition(
        name, False, help_text, _read_field(component, field)
    )


def _counter(
    name: str, component: str, field: str, help_text: str
) -> MetricDefinition:
    return MetricDefinition(
        name, True, help_text, _read_field(component, field)
    )


def _read_messages(readings: MetricReadings) -> Samples:
    return _label_directions(readings.mesh.sent, readings.mesh.received)


def _read_bytes(readings: MetricReadings) -> Samples:
    return _label_directions(
        readings.mesh.sent_bytes, readings.mesh.received_bytes
    )


def _label_directions(
    sent: Mapping[str, int],
    received: Mapping[str, int],
) -> Samples:
    directions = {'sent': sent, 'received': received}
    return {
        (direction, kind): number
        for direction, counts_by_kind in directions.items()
        for kind, number in counts_by_kind.items()
    }


def _read_counts_by_key(field: str) -> Callable[[MetricReadings], Samples]:
    def read(readings: MetricReadings) -> Samples:
        counts: dict[str, int] = getattr(readings.mesh, field)
        return {(key,): number for key, number in counts.items()}

    return read


DEFINITIONS = (
    _gauge('config_offset', 'health', 'offset', 'Last record folded in.'),
    _gauge(
        'config_version',
        'health',
        'version',
        'Version in force; equal on all daemons within seconds of a change.',
    ),
    _gauge(
        'ready',
        'health',
        'ready',
        '1 when the configuration is known to be caught up.',
    ),
    _gauge('moves_running', 'health', 'moves', 'Moves without a verdict.'),
    _counter('calls', 'calls', 'calls', 'Calls from callers.'),
    _counter('hops', 'calls', 'hops', 'Calls from other daemons.'),
    _counter(
        'calls_answered',
        'calls',
        'answered',
        'Answers of upstreams that callers got whole.',
    ),
    _counter(
        'calls_broken',
        'calls',
        'broken',
        'Answers that broke off on their way to a caller.',
    ),
    _counter(
        'calls_not_run',
        'calls',
        'not_run',
        'Refusals of calls that did not run; overload when it lasts.',
    ),
    _counter(
        'calls_unknown',
        'calls',
        'unknown',
        'Calls of which it is not known whether they ran.',
    ),
    _counter(
        'calls_rejected',
        'calls',
        'rejected',
        'Requests at fault themselves, as bad or too long.',
    ),
    _counter('call_retries', 'calls', 'retries', 'Tries after the first.'),
    _counter(
        'call_hedges',
        'calls',
        'hedges',
        'Second tries while the first was still waited for.',
    ),
    _counter(
        'calls_asked',
        'calls',
        'asked',
        'Questions to an owner after a lost connection.',
    ),
    _counter(
        'calls_recovered',
        'calls',
        'recovered',
        'Answers that such a question brought.',
    ),
    _gauge('calls_in_hand', 'calls', 'in_hand', 'Requests being served now.'),
    _gauge(
        'call_connections',
        'calls',
        'connections',
        'Open connections from callers and daemons.',
    ),
    _gauge(
        'upstream_running',
        'calls',
        'running',
        'Calls in slots of the upstream of this daemon.',
    ),
    _gauge(
        'upstream_queued',
        'calls',
        'queued',
        'Calls that wait for a slot.',
    ),
    _gauge(
        'calls_remembered',
        'calls',
        'remembered',
        'Calls known that may not be repeated.',
    ),
    MetricDefinition(
        'mesh_messages',
        True,
        'Messages to and from other daemons.',
        _read_messages,
        ('direction', 'kind'),
    ),
    MetricDefinition(
        'mesh_bytes',
        True,
        'Bytes of these messages, without those of TCP.',
        _read_bytes,
        ('direction', 'kind'),
    ),
    MetricDefinition(
        'log_requests',
        True,
        'Reads and appends at the log; none on most daemons.',
        _read_counts_by_key('log_requests'),
        ('stream',),
    ),
    MetricDefinition(
        'config_records',
        True,
        'Records taken, by where each came from first: log, push or pull.',
        _read_counts_by_key('entries_first_from'),
        ('origin',),
    ),
    _gauge('mesh_links', 'mesh', 'links', 'Open links to other daemons.'),
    _counter(
        'mesh_links_replaced',
        'mesh',
        'links_replaced',
        'Links closed because no answer came; silent connections.',
    ),
    _counter(
        'mesh_requests_dropped',
        'mesh',
        'requests_dropped',
        "Requests given up because a peer's queue was full.",
    ),
    _counter(
        'mesh_transfers',
        'mesh',
        'transfers',
        'Whole states, record pages and values served.',
    ),
    _counter(
        'mesh_transfers_refused',
        'mesh',
        'transfers_refused',
        'Those answered with the address of another daemon to try.',
    ),
    _counter(
        'mesh_gaps',
        'mesh',
        'gaps',
        'Pushes and pages that left out a record; mended by asking.',
    ),
    _counter(
        'mesh_digest_clashes',
        'mesh',
        'digest_clashes',
        'Peers with another state at the same offset; must stay 0.',
    ),
    _gauge('members', 'mesh', 'members', 'Daemons alive, this one included.'),
    _gauge('members_dead', 'mesh', 'tombstones', 'Dead ones remembered.'),
    _gauge(
        'mesh_store_bytes',
        'mesh',
        'store_bytes',
        'Bytes of what daemons tell each other.',
    ),
)


class _DaemonCollector(Collector):
    """Prometheus collector for the metrics in ``DEFINITIONS``."""

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources

    def collect(self) -> Iterable[Metric]:
        """Read every component once and build the metric families."""
        readings = MetricReadings(
            health=self._sources.health(),
            calls=self._sources.calls(),
            mesh=self._sources.mesh(),
        )
        for definition in DEFINITIONS:
            yield _build_family(definition, definition.read(readings))


def _build_family(definition: MetricDefinition, samples: Samples) -> Metric:
    family_type: Any = GaugeMetricFamily
    if definition.is_counter:
        family_type = CounterMetricFamily
    metric_family = family_type(
        f'verbenamill_{definition.name}',
        definition.help,
        labels=definition.labels,
    )
    for labels, sample_value in samples.items():
        metric_family.add_metric(labels, float(sample_value))
    return cast(Metric, metric_family)


def build_registry(sources: MetricSources) -> CollectorRegistry:
    """Build a registry with the metrics of the daemon and its process."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    registry.register(_DaemonCollector(sources))
    return registry


_HEADER = """# Metrics

`GET /metrics` on a daemon's admin address answers in the Prometheus text
format. Besides the figures below there are those of the process, such as
`process_cpu_seconds_total` and `process_resident_memory_bytes`. The page is
printed by `python -m verbenamill_daemon.metrics`; do not edit it by hand.
What to alert on is in [README.md](README.md#alerts).

| Name | Kind | Labels | Meaning |
| --- | --- | --- | --- |
"""


def render_page() -> str:
    """Render the documentation page that lists all metrics."""
    rows = (
        f'| `{definition.exposed_name}` '
        f'| {"counter" if definition.is_counter else "gauge"} '
        f'| {", ".join(definition.labels)} '
        f'| {definition.help} |\n'
        for definition in DEFINITIONS
    )
    return _HEADER + ''.join(rows)


if __name__ == '__main__':
    print(render_page(), end='')
