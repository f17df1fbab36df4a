"""Figures of the daemon's parts as Prometheus reads them."""

from prometheus_client import generate_latest

from verbenamill_daemon.daemon import _numbers
from verbenamill_daemon.metrics import build_registry
from verbenamill_mesh.stats import MeshStats


def test_traffic_by_kind_is_among_the_metrics():
    """A daemon has exchanged messages with another one.

    The counters by kind are Structs within a dict; taken for numbers, they
    made every later read of the metrics fail.
    """
    stats = MeshStats(members=2)
    stats.count_sent('probe-mates', 120)
    registry = build_registry(
        gauges=dict,
        counters=lambda: dict(_numbers(stats, 'mesh')),
    )
    text = generate_latest(registry).decode()
    assert 'verbenamill_mesh_sent_probe_mates_size_total 120.0' in text
    assert 'verbenamill_mesh_sent_probe_mates_messages_total 1.0' in text
    assert 'verbenamill_mesh_members_total 2.0' in text
