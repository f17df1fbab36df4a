"""The retry budget stays within its ratio in any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.budget import MAX_TOKENS, RETRY_RATIO, RetryBudget


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(['request', 'unrun', 'run']), max_size=300))
def test_repeats_stay_within_the_ratio(steps):
    budget = RetryBudget()
    requests = 0
    repeats = 0
    reruns = 0
    for step in steps:
        if step == 'request':
            requests += 1
            budget.earn()
        elif step == 'unrun':
            repeats += budget.take(has_run=False)
        else:
            rerun = budget.take(has_run=True)
            reruns += rerun
            repeats += rerun
        assert repeats <= requests * RETRY_RATIO + MAX_TOKENS
        assert reruns <= requests * 0.1 + 3


def spend(*, has_run):
    budget = RetryBudget()
    repeats = 0
    for _ in range(1000):
        budget.earn()
        repeats += budget.take(has_run=has_run)
    return repeats


def test_who_was_refused_unrun_gets_more_repeats_than_who_failed():
    # The upstreams of a service refuse half of all requests with slots free.
    # A caller comes back once, so about a quarter of them would get nothing;
    # a second upstream takes every other one of those that may still go
    # there. Operators allow 200 repeats for these 1,000 requests.
    assert 130 <= spend(has_run=False) <= 160
    assert 90 <= spend(has_run=True) <= 105
