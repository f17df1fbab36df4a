"""Momentary pace of upstreams whose VMs are slow for less than a second."""

import pytest

from verbenamill_policy.pace import MomentaryPace, PaceReport, mean_pace
from verbenamill_policy.placement import (
    OwnerEstimate,
    PlacementRequest,
    forecast,
)


def make_pace(figure, now=10.0):
    pace = MomentaryPace()
    pace.record(figure, now)
    return pace


def test_a_figure_holds_for_a_tenth_of_a_second_and_then_decays():
    """Guards against an upstream that is avoided after its VM recovered."""
    pace = make_pace(250)
    assert pace.factor(10.1) == 2.5
    assert pace.factor(10.4) == pytest.approx(1.75)
    assert pace.factor(15) == pytest.approx(1, abs=0.001)


@pytest.mark.parametrize('figure', [0, -5, float('nan'), float('inf')])
def test_a_figure_that_is_no_positive_number_changes_nothing(figure):
    """Guards against service times divided by zero or by no number."""
    assert make_pace(figure).factor(10) == 1
    assert make_pace(figure).report(10) is None


@pytest.mark.parametrize(('figure', 'factor'), [(1, 0.25), (90_000, 10)])
def test_an_extreme_figure_is_clamped(figure, factor):
    """Guards against one figure that attracts or repels all requests."""
    assert make_pace(figure).factor(10) == factor


def test_a_delayed_report_does_not_replace_a_newer_one():
    """Guards against answers that overtake each other."""
    pace = make_pace(100)
    pace.record_report(PaceReport(250, 300), 10.1)
    assert pace.factor(10.1) == 1


def test_a_report_from_the_future_does_not_block_later_ones():
    """Guards against a negative age, which no daemon could outdate."""
    pace = MomentaryPace()
    pace.record_report(PaceReport(250, -60_000), 10)
    pace.record(100, 10.1)
    assert pace.factor(10.1) == 1


def test_a_report_carries_its_age():
    """Guards against a figure that each hop makes fresh again."""
    pace = make_pace(250)
    remote = MomentaryPace()
    remote.record_report(pace.report(10.5), 10.5)
    assert remote.factor(10.5) == pytest.approx(pace.factor(10.5))


def test_the_usual_pace_is_reported_for_a_second_after_another():
    """Guards against bytes for nothing, and against stale slow estimates."""
    pace = make_pace(100)
    assert pace.report(10) is None
    pace.record(250, 11)
    pace.record(100, 11.5)
    assert pace.report(11.9) == PaceReport(100, 400)
    assert pace.report(12.1) is None


def test_a_lasting_slowness_does_not_excuse_a_version():
    """Guards against a slow version that reports itself as slow."""
    pace = MomentaryPace()
    for step in range(25):
        pace.record(250, 10 + step / 10)
        excuse = pace.excuse(2.5, 10 + step / 10)
        assert excuse == (2.5 if step <= 20 else 1)
    pace.record(100, 13)
    assert pace.excuse(2.5, 13) == 2.5
    assert pace.excuse(0.5, 13) == 1


def test_the_pace_leaves_the_learned_service_time_as_it_is():
    """Guards against an upstream that appears slow after its VM recovered."""
    owner = OwnerEstimate(vm='one', availability_zone='a', slots=9)
    owner.record_load(0, 10)
    request = PlacementRequest(mean_time=0.26, time_to_objective=0.8)
    usual = forecast(owner, request, 10).service_time
    relative_time = owner.relative_time
    owner.pace.record_report(PaceReport(250), 10)
    assert forecast(owner, request, 10).service_time == usual * 2.5
    assert owner.relative_time == relative_time
    owner.record_load(0, 14)
    assert forecast(owner, request, 14).service_time < usual * 1.001


def test_a_request_runs_at_the_pace_between_its_start_and_its_end():
    assert mean_pace(1, 1) == 1
    assert mean_pace(2.5, 2.5) == pytest.approx(2.5)
    assert 1 < mean_pace(1, 2.5) < 2.5
