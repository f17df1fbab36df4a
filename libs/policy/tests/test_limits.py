"""Limits that an upstream names: which are believed, and when they end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenamill_policy.limits import RateLimitTracker, read_rate


@pytest.mark.parametrize(
    ('value', 'rate'),
    [(b'5', 5), (b'2.3', 2.3), (b'0', 0), (b'.5', 0.5), (b'7.', 7)],
)
def test_a_decimal_number_names_a_limit(value, rate):
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
def test_what_is_no_decimal_number_names_no_limit(value):
    """Guards against a limit of nobody's making that stops all requests."""
    assert read_rate([value]) is None


def test_of_two_headers_the_smaller_one_holds():
    assert read_rate([b'5', b'nonsense', b'3']) == 3


@given(st.binary(max_size=30))
def test_any_value_is_read_or_left(value):
    rate = read_rate([value])
    assert rate is None or 0 <= rate < 1e21


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against a burst between two answers that name a limit."""
    belief = RateLimitTracker()
    belief.record_limit(5, now=10)
    assert not belief.record_no_limit(asked_at=9.9)
    assert belief.rate == 5
    assert belief.record_no_limit(asked_at=10.1)
    assert belief.rate is None


def test_a_limit_that_is_remembered_does_not_replace_one_that_was_heard():
    """Guards against an old limit on an upstream that has said since."""
    belief = RateLimitTracker()
    belief.record_no_limit(asked_at=1)
    assert not belief.restore(3)
    assert belief.rate is None


def test_a_limit_that_is_remembered_ends_with_the_first_answer_without_one():
    belief = RateLimitTracker()
    assert belief.restore(3)
    assert belief.record_no_limit(asked_at=1)


def test_others_are_told_of_a_change_once_a_second_at_most():
    """Guards against news with each answer of an upstream in need."""
    belief = RateLimitTracker()
    announced = 0
    for step in range(1000):
        now = step / 100
        belief.record_limit(1 + step % 20, now)
        announced += belief.take_update(now)
    assert announced <= 11


def test_small_changes_are_not_told():
    belief = RateLimitTracker()
    belief.record_limit(10, 0)
    assert belief.take_update(0)
    belief.record_limit(11, 5)
    assert not belief.take_update(5)
    belief.record_limit(0, 6)
    assert belief.take_update(6)


def test_a_belief_is_known_once_there_is_something_to_go_by():
    """Guards against 'no limit' from a daemon that has heard nothing."""
    belief = RateLimitTracker()
    assert not belief.is_known
    assert belief.restore(3)
    assert belief.is_known
    heard = RateLimitTracker()
    heard.record_no_limit(asked_at=1)
    assert heard.is_known
