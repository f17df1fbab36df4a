"""Rate limits of an upstream: parsing, validity and announcement."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenamill_policy.limits import RateLimitTracker, read_rate


@pytest.mark.parametrize(
    ('value', 'rate'),
    [(b'5', 5), (b'2.3', 2.3), (b'0', 0), (b'.5', 0.5), (b'7.', 7)],
)
def test_a_decimal_number_is_a_limit(value, rate):
    assert read_rate([value]) == rate


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'-1',
        b'+1',
        b'nan',
        b'inf',
        b'1e400',
        b'1e2',
        b'0x10',
        b'9' * 400,
        b'5, 3',
        b'1 2',
        b'5\n',
        '٣'.encode(),
        b'.',
    ],
)
def test_other_values_are_not_limits(value):
    """Guards against a malformed value that stops all requests."""
    assert read_rate([value]) is None


def test_the_smallest_of_several_limits_applies():
    assert read_rate([b'5', b'nonsense', b'3']) == 3


@given(st.binary(max_size=30))
def test_any_value_is_parsed_or_ignored(value):
    rate = read_rate([value])
    assert rate is None or 0 <= rate < 1e21


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against a burst between two answers that announce a limit."""
    tracker = RateLimitTracker()
    tracker.record_limit(5, now=10)
    assert not tracker.record_no_limit(asked_at=9.9)
    assert tracker.rate == 5
    assert tracker.record_no_limit(asked_at=10.1)
    assert tracker.rate is None


def test_a_restored_limit_does_not_override_an_answer():
    """Guards against an old limit on an upstream that has answered since."""
    tracker = RateLimitTracker()
    tracker.record_no_limit(asked_at=1)
    assert not tracker.restore(3)
    assert tracker.rate is None


def test_a_restored_limit_ends_with_the_first_answer_without_one():
    tracker = RateLimitTracker()
    assert tracker.restore(3)
    assert tracker.record_no_limit(asked_at=1)


def test_changes_are_announced_at_most_once_a_second():
    """Guards against an announcement for each answer with a new limit."""
    tracker = RateLimitTracker()
    announced = 0
    for step in range(1000):
        now = step / 100
        tracker.record_limit(1 + step % 20, now)
        announced += tracker.take_update(tracker.rate, now)
    assert announced <= 11


def test_small_changes_are_not_announced():
    tracker = RateLimitTracker()
    tracker.record_limit(10, 0)
    assert tracker.take_update(tracker.rate, 0)
    tracker.record_limit(11, 5)
    assert not tracker.take_update(tracker.rate, 5)
    tracker.record_limit(0, 6)
    assert tracker.take_update(tracker.rate, 6)


def test_the_limit_is_known_after_an_answer_or_a_restored_value():
    """Guards against 'no limit' from a daemon that has seen no answer."""
    tracker = RateLimitTracker()
    assert not tracker.is_known
    assert tracker.restore(3)
    assert tracker.is_known
    answered = RateLimitTracker()
    answered.record_no_limit(asked_at=1)
    assert answered.is_known
