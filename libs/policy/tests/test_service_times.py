"""Service times of a route: what is expected, and how far they spread."""

from random import Random

import pytest

from verbenamill_policy.service_times import ServiceTimes, probability_within


def test_a_route_that_was_never_seen_is_judged_by_its_objective():
    # After all daemons were killed at once, each one starts without having
    # seen a request. Callers come back at once, with work of 160 to 640 ms;
    # taken for 50 ms, several times too many would be admitted, and come
    # late.
    times = ServiceTimes()
    times.add('short', 0.04, 0)
    assert 0.4 <= times.expect('long', objective=2) <= 0.8
    assert times.expect('short', objective=2) == 0.04


def test_a_request_whose_objective_has_passed_takes_time_as_well():
    # A caller comes back late to a daemon that was just started. What is
    # left of its objective is below zero; taken for work of less than no
    # time, it would make room in the queue that is not there.
    assert ServiceTimes().expect('r', objective=-1) > 0


def test_what_was_measured_counts_more_than_the_objective():
    times = ServiceTimes()
    for _ in range(50):
        times.add('r', 0.2, 0)
    assert times.expect('r', objective=9) == pytest.approx(0.2)


@pytest.mark.parametrize('sigma', [0.3, 0.5, 0.8])
def test_the_chance_to_be_in_time_is_the_part_of_times_below(sigma):
    random = Random(5)
    drawn = [random.lognormvariate(-2, sigma) for _ in range(4000)]
    times = ServiceTimes()
    for took in drawn[:2000]:
        times.add('r', took, 0)
    mean = sum(drawn) / len(drawn)
    for left in (0.1, 0.2, 0.4):
        below = sum(took <= left for took in drawn) / len(drawn)
        assert abs(probability_within(mean, sigma, left) - below) < 0.05
        # The running average knows the spread to some tenths only.
        assert (
            abs(
                probability_within(mean, times.log_deviation('r'), left) - below
            )
            < 0.15
        )


def test_no_time_left_is_no_chance():
    assert probability_within(0.1, 0.5, 0) == 0
    assert probability_within(0.1, 0.5, -1) == 0


def test_an_upstream_that_recovered_is_known_after_few_requests():
    # An upstream works twelve times slower for some seconds. Its callers are
    # sent elsewhere; once it has recovered, only now and then a request
    # comes by that can show it.
    times = ServiceTimes()
    for place in range(60):
        times.add('r', 1.9, place / 20)
    for second in (4, 5, 6):
        times.add('r', 0.15, second)
    assert times.expect('r') < 0.45


def test_a_single_long_time_among_many_changes_little():
    times = ServiceTimes()
    for place in range(200):
        times.add('r', 0.15, place / 20)
    times.add('r', 0.9, 10)
    assert times.expect('r') < 0.25
