"""Tests the counts of an owner and the size of its reports."""

from datetime import timedelta

import pytest

from verbenamill_model.traffic import Observation, Outcome
from verbenamill_moves import EvidenceCollector
from verbenamill_moves.evidence import (
    COLD_CALLS,
    MAX_ROUTES,
    OTHER_ROUTES,
    decode_report,
)
from verbenamill_moves.histogram import BUCKET_COUNT, bucket_of

FAST = timedelta(milliseconds=20)


def observe(evidence, count, *, outcome=Outcome.OK, route='r', version='v2'):
    for _ in range(count):
        evidence.observe(
            Observation(
                service='entries',
                version=version,
                route=route,
                outcome=outcome,
                latency=FAST,
            ),
        )


class FakeClock:
    def __init__(self):
        self.time = timedelta(0)

    def monotonic(self):
        return self.time


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def evidence(clock):
    return EvidenceCollector(incarnation=1, clock=clock)


def routes_of(evidence):
    return decode_report(evidence.report()).versions[0].routes


def test_shed_and_cancelled_calls_are_not_failures(evidence):
    observe(evidence, 3, outcome=Outcome.SHED)
    observe(evidence, 2, outcome=Outcome.CANCELLED)
    observe(evidence, 1, outcome=Outcome.FAILED)
    (counts,) = routes_of(evidence)
    assert (counts.answered, counts.failed, counts.shed) == (1, 1, 3)


def test_latencies_of_a_cold_start_are_left_out(evidence, clock):
    """A new upstream is slow at first, whatever its version.

    Slow calls of the cold start end after fast calls that began later, so a
    latency counts only if the call began after the first calls had ended.
    """
    observe(evidence, COLD_CALLS + 1)
    clock.time += FAST / 2
    observe(evidence, 1)
    clock.time += FAST
    observe(evidence, 2)
    (counts,) = routes_of(evidence)
    assert counts.answered == COLD_CALLS + 4
    assert counts.latencies == {bucket_of(FAST): 2}


def test_reports_are_cumulative(evidence):
    """The loss of a report loses no evidence."""
    observe(evidence, 3)
    assert evidence.report()
    observe(evidence, 4)
    (counts,) = routes_of(evidence)
    assert counts.answered == 7


def test_memory_is_bounded_for_any_routes_and_versions(evidence):
    for number in range(3 * MAX_ROUTES):
        observe(evidence, 1, route=f'r{number}')
    for number in range(10):
        observe(evidence, 1, version=f'v{number}')
    report = decode_report(evidence.report())
    assert len(report.versions) <= 4
    assert bucket_of(timedelta(hours=1)) == BUCKET_COUNT - 1


def test_routes_beyond_the_limit_are_counted_together(evidence):
    for number in range(MAX_ROUTES + 5):
        observe(evidence, 1, route=f'r{number}')
    counts = {route.route: route.answered for route in routes_of(evidence)}
    assert len(counts) == MAX_ROUTES + 1
    assert counts[OTHER_ROUTES] == 5


def test_report_of_two_routes_stays_small(evidence, clock):
    observe(evidence, COLD_CALLS + 1, route='class-lists')
    clock.time += FAST
    for route in ('class-lists', 'entry-fees'):
        observe(evidence, 10000, route=route)
    assert len(evidence.report()) <= 200


def test_no_report_before_the_first_call(evidence):
    assert evidence.report() is None
