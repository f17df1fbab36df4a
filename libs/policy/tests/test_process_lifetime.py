"""What may begin in the time that a stopping process has left."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.process_lifetime import ProcessLifetime

STOPPED_AT = 100.0
#: Share of the grace time after which work may be given up.
WORK_SHARE = 5 / 6
graces = st.floats(min_value=0.1, max_value=3600)


def stop(grace):
    lifetime = ProcessLifetime(timedelta(seconds=grace))
    lifetime.begin_stop(STOPPED_AT)
    return lifetime


def test_everything_may_begin_before_a_stop():
    lifetime = ProcessLifetime(timedelta(seconds=6))
    assert not lifetime.is_stopping
    assert lifetime.may_begin(1e9, STOPPED_AT, chance_within=lambda _: 0)


@settings(derandomize=True, deadline=None)
@given(graces)
def test_a_stop_keeps_its_order_within_each_grace_time(grace):
    """Guards against a schedule that only fits one grace time."""
    lifetime = stop(grace)
    work_time = lifetime.work_ends_at - STOPPED_AT
    assert STOPPED_AT < lifetime.notice_ends_at < lifetime.work_ends_at
    assert lifetime.work_ends_at < lifetime.answers_end_at < STOPPED_AT + grace
    assert work_time >= grace * WORK_SHARE - 1e-6


@settings(derandomize=True, deadline=None)
@given(
    graces,
    st.floats(min_value=0, max_value=700),
    st.floats(min_value=0, max_value=700),
)
def test_nothing_that_may_outlast_the_process_begins_after_the_notice(
    grace, sent_after, allowed
):
    """Guards against late requests that are cut at work."""
    lifetime = stop(grace)
    now = STOPPED_AT + sent_after
    deadline = now + allowed
    may_begin = lifetime.may_begin(deadline, now, chance_within=lambda _: 1)
    if now > lifetime.notice_ends_at:
        assert may_begin == (deadline <= lifetime.work_ends_at)


@pytest.mark.parametrize(('chance', 'expected'), [(0.95, False), (1.0, True)])
def test_likely_requests_begin_during_the_notice(chance, expected):
    """Guards against refusals while callers cannot know of the stop."""
    lifetime = stop(4)
    asked = []

    def chance_within(seconds):
        asked.append(seconds)
        return chance

    deadline = STOPPED_AT + 60
    may_begin = lifetime.may_begin(
        deadline, STOPPED_AT + 1, chance_within=chance_within
    )
    assert may_begin is expected
    assert asked == [2.5]
