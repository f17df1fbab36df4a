"""Expected service times of a route, and their deviation."""

from random import Random

import pytest

from verbenamill_policy.service_times import ServiceTimes, probability_within


def test_the_time_of_an_unknown_route_is_estimated_from_its_objective():
    # All daemons were killed at once, and each one restarts without known
    # service times. Callers reconnect at once with requests of 160 to 640 ms.
    # With an assumed time of 50 ms, several times too many requests would be
    # admitted and be late.
    times = ServiceTimes()
    times.add('short', 0.04, 0)
    assert 0.4 <= times.expect('long', objective=2) <= 0.8
    assert times.expect('short', objective=2) == 0.04


def test_the_expected_time_is_positive_after_the_objective_has_passed():
    # A caller retries late at a daemon that has just started, and the
    # remaining time to its objective is negative. A negative expected time
    # would make the queue appear shorter than it is.
    assert ServiceTimes().expect('r', objective=-1) > 0


def test_measured_times_replace_the_objective():
    times = ServiceTimes()
    for _ in range(50):
        times.add('r', 0.2, 0)
    assert times.expect('r', objective=9) == pytest.approx(0.2)


@pytest.mark.parametrize('sigma', [0.3, 0.5, 0.8])
def test_the_probability_matches_the_share_of_times_below_the_limit(sigma):
    random = Random(5)
    drawn = [random.lognormvariate(-2, sigma) for _ in range(4000)]
    times = ServiceTimes()
    for took in drawn[:2000]:
        times.add('r', took, 0)
    mean = sum(drawn) / len(drawn)
    for left in (0.1, 0.2, 0.4):
        below = sum(took <= left for took in drawn) / len(drawn)
        assert abs(probability_within(mean, sigma, left) - below) < 0.05
        # The moving average of the deviation is only accurate to some tenths.
        assert (
            abs(
                probability_within(mean, times.log_deviation('r'), left) - below
            )
            < 0.15
        )


def test_the_probability_is_zero_without_time_left():
    assert probability_within(0.1, 0.5, 0) == 0
    assert probability_within(0.1, 0.5, -1) == 0


def test_a_recovered_upstream_is_detected_after_few_requests():
    # An upstream is twelve times slower for some seconds, so most requests are
    # sent to others. After its recovery only an occasional request can show
    # it.
    times = ServiceTimes()
    for number in range(60):
        times.add('r', 1.9, number / 20)
    for second in (4, 5, 6):
        times.add('r', 0.15, second)
    assert times.expect('r') < 0.45


def test_a_single_long_time_among_many_has_little_effect():
    times = ServiceTimes()
    for number in range(200):
        times.add('r', 0.15, number / 20)
    times.add('r', 0.9, 10)
    assert times.expect('r') < 0.25
