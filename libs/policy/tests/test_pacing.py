"""Rates, bursts, changes and waits of a token bucket, on a simulated clock."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.pacing import MIN_RATE, TokenBucket

#: Tolerance of the platform beyond a limit, over spans of some seconds.
FACTOR = 1.5
SLACK = 5
SPAN = 4.0


def start_all(bucket, moments):
    """Start a request at each of the moments at which one may start."""
    started = []
    for now in moments:
        if bucket.wait(0, now) <= 0:
            bucket.take(now)
            started.append(now)
    return started


def most_in_span(times):
    return max(
        (sum(at <= one <= at + SPAN for one in times) for at in times),
        default=0,
    )


def steps(seconds, start=0.0):
    return [start + step / 100 for step in range(int(seconds * 100))]


@pytest.mark.parametrize('rate', [0.5, 2.3, 25.8, 100])
def test_a_rate_is_respected_and_fully_used(rate):
    started = start_all(TokenBucket(rate, 0), steps(20))
    assert most_in_span(started) <= FACTOR * rate * SPAN + SLACK
    assert len(started) >= 0.95 * rate * 20 - 1


def test_idle_time_does_not_accumulate_a_burst():
    """Guards against a burst after idle time or after a stalled process."""
    bucket = TokenBucket(2.3, 0)
    started = start_all(bucket, steps(SPAN, start=3600))
    assert len(started) <= FACTOR * 2.3 * SPAN + SLACK


def test_a_lower_limit_removes_accumulated_tokens():
    """Guards against a burst at the old rate after a change from 30 to 3."""
    bucket = TokenBucket(30, 0)
    bucket.wait(0, 10)
    bucket.set_rate(3, 10)
    started = start_all(bucket, steps(SPAN, start=10))
    assert len(started) <= FACTOR * 3 * SPAN + SLACK


def test_a_limit_of_zero_still_lets_some_requests_start():
    """Guards against an upstream that never gets a request again."""
    started = start_all(TokenBucket(0, 0), steps(60))
    assert len(started) == pytest.approx(60 * MIN_RATE, abs=1)
    assert most_in_span(started) <= SLACK


def test_a_second_send_may_take_a_token_in_advance():
    bucket = TokenBucket(10, 0)
    start_all(bucket, [1])
    for _ in range(10):
        bucket.take(1)
    assert bucket.wait(0, 1) > 0.5


def test_an_unused_token_can_be_given_back():
    bucket = TokenBucket(2, 0)
    bucket.take(1)
    before = bucket.wait(0, 1)
    bucket.take(1)
    bucket.give_back(1)
    assert bucket.wait(0, 1) == before


@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.7),
            st.sampled_from([None, 0.0, 0.3, 2.3, 25.8, 90.0]),
        ),
        max_size=200,
    ),
)
@settings(max_examples=200)
def test_no_span_exceeds_its_largest_limit(changes):
    """Guards against bursts from a combination of changes and idle times."""
    bucket = TokenBucket(2.3, 0)
    now = 0.0
    largest = 2.3
    started = []
    for pause, rate in changes:
        now += pause
        if rate is not None:
            bucket.set_rate(rate, now)
            largest = max(largest, rate)
        while bucket.wait(0, now) <= 0:
            bucket.take(now)
            started.append(now)
    assert most_in_span(started) <= FACTOR * largest * SPAN + SLACK
