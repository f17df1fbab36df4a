"""A rate of requests: bursts, changes and waits, on a clock of its own."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.pacing import MIN_RATE, TokenBucket

#: What the platform allows beyond a limit, in spans of some seconds.
FACTOR = 1.5
SLACK = 5
SPAN = 4.0


def begin_all(bucket, moments):
    """Begin a request whenever one may, at some moments."""
    begun = []
    for now in moments:
        if bucket.wait(0, now) <= 0:
            bucket.take(now)
            begun.append(now)
    return begun


def most_in_span(times):
    return max(
        (sum(at <= one <= at + SPAN for one in times) for at in times),
        default=0,
    )


def steps(seconds, start=0.0):
    return [start + step / 100 for step in range(int(seconds * 100))]


@pytest.mark.parametrize('rate', [0.5, 2.3, 25.8, 100])
def test_a_rate_is_kept_and_used_up(rate):
    begun = begin_all(TokenBucket(rate, 0), steps(20))
    assert most_in_span(begun) <= FACTOR * rate * SPAN + SLACK
    assert len(begun) >= 0.95 * rate * 20 - 1


def test_no_burst_is_saved_up_in_idle_time():
    """Guards against a flood after idle time, or after a standstill."""
    bucket = TokenBucket(2.3, 0)
    begun = begin_all(bucket, steps(SPAN, start=3600))
    assert len(begun) <= FACTOR * 2.3 * SPAN + SLACK


def test_a_fall_of_the_limit_takes_saved_tokens():
    """Guards against a burst of the old rate after a fall from 30 to 3."""
    bucket = TokenBucket(30, 0)
    bucket.wait(0, 10)
    bucket.set_rate(3, 10)
    begun = begin_all(bucket, steps(SPAN, start=10))
    assert len(begun) <= FACTOR * 3 * SPAN + SLACK


def test_a_limit_of_none_is_asked_about_now_and_then():
    """Guards against an upstream that is throttled for good."""
    begun = begin_all(TokenBucket(0, 0), steps(60))
    assert len(begun) == pytest.approx(60 * MIN_RATE, abs=1)
    assert most_in_span(begun) <= SLACK


def test_a_second_send_takes_its_token_afterwards():
    bucket = TokenBucket(10, 0)
    begin_all(bucket, [1])
    for _ in range(10):
        bucket.take(1)
    assert bucket.wait(0, 1) > 0.5


def test_a_token_that_was_not_used_is_given_back():
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
def test_no_span_has_more_than_its_largest_limit_allows(moves):
    """Guards against sums of changes, idle times and bursts."""
    bucket = TokenBucket(2.3, 0)
    now = 0.0
    largest = 2.3
    begun = []
    for pause, rate in moves:
        now += pause
        if rate is not None:
            bucket.set_rate(rate, now)
            largest = max(largest, rate)
        while bucket.wait(0, now) <= 0:
            bucket.take(now)
            begun.append(now)
    assert most_in_span(begun) <= FACTOR * largest * SPAN + SLACK
