"""Metrics can be read, have the right kinds, and are all on the page."""

from pathlib import Path

from msgspec.structs import fields
from prometheus_client import generate_latest

from verbenamill_calls import CallStats
from verbenamill_daemon.metrics import (
    DEFINITIONS,
    Figures,
    Health,
    Sources,
    build_registry,
    render_page,
)
from verbenamill_mesh import MeshStats

PAGE = Path(__file__).parents[3] / 'docs/operators/metrics.md'
HEALTH = Health(offset=7, version=5, ready=True, moves=1)


def test_traffic_by_kind_can_be_read():
    """The first daemon that heard of another answered 500 to a scrape.

    Its counters by kind were messages, not numbers, and one of them broke
    the whole page.
    """
    mesh = MeshStats(links=3)
    mesh.count_sent('push', 120)
    mesh.count_received('ping', 8)
    mesh.count_log_request('config')
    sources = Sources(
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


def test_every_figure_of_the_parts_is_exposed():
    """A counter added to a part is seen by operators, or this fails."""
    numbers = iter(range(1, 1000))
    calls = CallStats(**{f.name: next(numbers) for f in fields(CallStats)})
    plain = [f.name for f in fields(MeshStats) if f.type in {int, bool}]
    mesh = MeshStats(**{name: next(numbers) for name in plain})
    figures = Figures(health=HEALTH, calls=calls, mesh=mesh)
    exposed = {
        sample
        for definition in DEFINITIONS
        for sample in definition.read(figures).values()
    }
    for part in (calls, mesh):
        for field in fields(part):
            value = getattr(part, field.name)
            if isinstance(value, int) and field.name != 'ready':
                assert value in exposed, f'{field.name} is not exposed'


def test_page_matches_the_code():
    assert PAGE.read_text() == render_page(), (
        'docs/operators/metrics.md is out of date; run '
        'python -m verbenamill_daemon.metrics > docs/operators/metrics.md'
    )
