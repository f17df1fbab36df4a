"""The retry budget stays within its ratio in any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.budget import BURST, RATIO, RetryBudget


@settings(derandomize=True, deadline=None)
@given(st.lists(st.booleans(), max_size=300))
def test_repeats_stay_within_the_ratio(steps):
    budget = RetryBudget()
    requests = 0
    repeats = 0
    for is_request in steps:
        if is_request:
            requests += 1
            budget.earn()
        else:
            repeats += budget.take()
        assert repeats <= requests * RATIO + BURST
