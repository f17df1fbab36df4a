"""Tests of the metrics: values, types and the documentation page."""

from pathlib import Path

from msgspec.structs import fields
from prometheus_client import generate_latest

from verbenamill_calls import CallStats
from verbenamill_daemon.metrics import (
    DEFINITIONS,
    MetricReadings,
    Health,
    MetricSources,
    build_registry,
    render_page,
)
from verbenamill_mesh import MeshStats

PAGE = Path(__file__).parents[3] / 'docs/operators/metrics.md'
HEALTH = Health(offset=7, version=5, ready=True, moves=1)


def test_counters_by_kind_are_exposed():
    """A daemon that had discovered a peer answered 500 to a scrape.

    Its counters by kind held messages instead of numbers, and a single one
    made the whole scrape fail.
    """
    mesh = MeshStats(links=3)
    mesh.count_sent('push', 120)
    mesh.count_received('ping', 8)
    mesh.count_log_request('config')
    sources = MetricSources(
        health=lambda: HEALTH,
        calls=lambda: CallStats(calls=9, running=2),
        mesh=lambda: mesh,
    )
    text = generate_latest(build_registry(sources)).decode()
    lines = text.splitlines()
    assert (
        'verbenamill_mesh_bytes_total{direction="sent",kind="push"} 120.0'
        in lines
    )
    assert 'verbenamill_log_requests_total{stream="config"} 1.0' in lines
    assert 'verbenamill_calls_total 9.0' in lines
    assert '# TYPE verbenamill_upstream_running gauge' in lines
    assert 'verbenamill_ready 1.0' in lines


def test_every_statistic_of_the_components_is_exposed():
    """A counter that is added to a component needs a metric."""
    distinct_values = iter(range(1, 1000))
    calls = CallStats(
        **{stat.name: next(distinct_values) for stat in fields(CallStats)}
    )
    scalar_names = [
        stat.name for stat in fields(MeshStats) if stat.type in {int, bool}
    ]
    mesh = MeshStats(**{name: next(distinct_values) for name in scalar_names})
    readings = MetricReadings(health=HEALTH, calls=calls, mesh=mesh)
    exposed = {
        sample
        for definition in DEFINITIONS
        for sample in definition.read(readings).values()
    }
    for component in (calls, mesh):
        for field in fields(component):
            value = getattr(component, field.name)
            if isinstance(value, int) and field.name != 'ready':
                assert value in exposed, f'{field.name} is not exposed'


def test_page_matches_the_code():
    assert PAGE.read_text() == render_page(), (
        'docs/operators/metrics.md is out of date; run '
        'python -m verbenamill_daemon.metrics > docs/operators/metrics.md'
    )
