"""The retry budget stays within its ratio for any sequence of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.budget import MAX_TOKENS, RetryBudget


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(['request', 'refused', 'run']), max_size=300),
    st.sampled_from([0, 0.02, 0.1, 0.2, 1]),
)
def test_retries_stay_within_the_ratio(steps, ratio):
    budget = RetryBudget(allowed_ratio=ratio)
    requests = 0
    retries = 0
    reruns = 0
    for step in steps:
        if step == 'request':
            requests += 1
            budget.earn()
        elif step == 'refused':
            retries += budget.take(has_run=False)
        else:
            rerun = budget.take(has_run=True)
            reruns += rerun
            retries += rerun
        assert retries <= requests * 0.75 * ratio + MAX_TOKENS + 1e-6
        assert reruns <= requests * ratio / 2 + 3


def spend(*, has_run):
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.take(has_run=has_run)
    return retries


def test_refused_requests_get_more_retries_than_failed_ones():
    # The upstreams of a service refuse half of all requests although slots are
    # free. A caller retries once, so about a quarter of the requests would get
    # no answer. A second upstream accepts every other request that may still
    # be sent to it. Operators allow 200 retries for these 1,000 requests.
    assert 130 <= spend(has_run=False) <= 160
    assert 90 <= spend(has_run=True) <= 105
