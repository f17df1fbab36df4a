"""Callers that are refused together come back one after the other."""

import pytest

from verbenamill_policy.returns import LONGEST, Returns


def test_a_crowd_that_is_refused_comes_back_as_places_come_free():
    # A surge finds the queue full; thirty callers are refused within some
    # milliseconds. Told the same time, they would return as a surge.
    returns = Returns()
    told = [returns.assign(0, wait=0.2, turn=0.01) for _ in range(30)]
    assert told[0] == 0.2
    assert 0.45 < told[-1] < 0.55
    assert len(set(told)) == len(told)


def test_after_a_pause_nobody_waits_for_those_who_have_returned():
    returns = Returns()
    for _ in range(30):
        returns.assign(0, wait=0.2, turn=0.01)
    assert returns.assign(1, wait=0.05, turn=0.01) == pytest.approx(0.05)


def test_nobody_is_sent_away_for_longer_than_the_bound():
    returns = Returns()
    told = [returns.assign(0, wait=0.2, turn=0.05) for _ in range(500)]
    assert max(told) <= LONGEST
    assert returns.assign(3, wait=0.2, turn=0.05) <= 0.5
