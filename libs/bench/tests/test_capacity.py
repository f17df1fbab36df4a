"""The capacity page from reports, with the arithmetic shown."""

from datetime import UTC, datetime

import msgspec
import pytest
from returns.result import Failure

from verbenamill_bench.capacity import render_capacity
from verbenamill_bench.control_cost import Cost
from verbenamill_bench.convergence import (
    Convergence,
    ConvergenceReport,
    FleetFigures,
)
from verbenamill_bench.estimates import estimate_control
from verbenamill_bench.figures import Latencies, Machine, summarize
from verbenamill_bench.measured import Measured, read_reports
from verbenamill_bench.slopes import fit
from verbenamill_bench.state_cost import (
    MembersFigures,
    StateFigures,
    StateReport,
)

MACHINE = Machine(
    command='x', at=datetime(2026, 12, 2, tzinfo=UTC), cores=1, load=0
)
NONE = Latencies(count=0, p50=0, p99=0, p999=0, max=0)
NO_CHANGE = Convergence(changes=0, proxies=NONE, everywhere=NONE)


def fleet(daemons, *, idle_bytes, cpu=0.01):
    cost = Cost(
        seconds=10,
        bytes_sent=idle_bytes,
        messages=3,
        cpu=cpu,
        rss_max=70_000_000,
        log_requests=1,
    )
    return FleetFigures(
        daemons=daemons,
        zones=2,
        start=1,
        idle=cost,
        changing=cost,
        change_bytes=300,
        bytes_per_change=350,
        steady=NO_CHANGE,
        outage=NO_CHANGE,
        returned=NONE,
        returned_bytes=0,
        store_bytes=160,
        baseline=NO_CHANGE,
        baseline_log_requests=8,
    )


def measured(*fleets, accept_ms=1.0):
    state = StateFigures(
        services=1200, state_bytes=600_000, accept_ms=accept_ms
    )
    members = MembersFigures(
        members=25_000,
        value_bytes=5_000_000,
        memory=30_000_000,
        learn_ms=0.05,
        alive_ms=1,
    )
    return Measured(
        convergence=[ConvergenceReport(machine=MACHINE, fleets=list(fleets))],
        states=[
            StateReport(machine=MACHINE, states=[state], members=[members])
        ],
    )


def test_line_through_points():
    line = fit([(10, 30.0), (20, 50.0)])
    assert (line.fixed, line.slope) == (10, 2)
    assert line.at(100) == 210
    assert fit([(10, 30.0)]).at(100) == 30


def test_latencies_are_quantiles_in_milliseconds():
    latencies = summarize([0.001] * 98 + [0.1, 0.2])
    assert latencies.p50 == pytest.approx(1, rel=0.01)
    assert latencies.p99 == pytest.approx(100, rel=0.01)
    assert latencies.max == pytest.approx(200, rel=0.01)


def test_idle_bytes_grow_with_the_zone_alone():
    """4 and 16 daemons a zone send 100 and 112 bytes a second when idle.

    At 1,190 a zone the line gives 96 + 1,190 bytes, however many zones.
    """
    control = estimate_control(
        measured(fleet(8, idle_bytes=100), fleet(32, idle_bytes=112))
    )
    assert control.bytes_idle == pytest.approx(96 + 25_000 / 21)


def test_a_figure_that_falls_is_not_extended_below_what_was_measured():
    control = estimate_control(
        measured(fleet(8, idle_bytes=150), fleet(32, idle_bytes=110))
    )
    assert control.bytes_idle == 150


def test_a_target_that_is_not_met_is_said_plainly():
    good = render_capacity(measured(fleet(8, idle_bytes=100)))
    assert 'CPU: met' in good
    bad = render_capacity(measured(fleet(8, idle_bytes=100), accept_ms=50))
    assert '* every daemon (control): CPU: NOT MET; memory: met' in bad


def test_reports_are_told_apart_and_some_are_needed(tmp_path):
    known = measured(fleet(8, idle_bytes=100))
    paths = []
    for name, report in (
        ('state', known.states[0]),
        ('convergence', known.convergence[0]),
    ):
        path = tmp_path / f'{name}.json'
        path.write_bytes(msgspec.json.encode(report))
        paths.append(path)
    read = read_reports(paths).unwrap()
    assert read.states == known.states
    assert read.convergence == known.convergence
    assert isinstance(read_reports(paths[:1]), Failure)


def test_report_that_is_cut_short_is_named(tmp_path):
    """The page is made while a bench still writes its report."""
    cut = tmp_path / 'faults.json'
    cut.write_text('{"runs": [')
    outcome = read_reports([cut])
    assert 'faults.json is no whole report' in outcome.failure()
