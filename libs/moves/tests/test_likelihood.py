"""Tests the error rate and the power of the likelihood-ratio test."""

from random import Random

from verbenamill_moves.likelihood import LikelihoodTest, PairedCounts

EXCESSES = (0.02, 0.07, 0.2, 0.5, 0.95)
STEP = 0.5


def judge(random, *, steps, new, old, new_rate, old_rate):
    """Return the highest weight, and the first step with a weight of 8."""
    test = LikelihoodTest(
        floor=0.005, added_shares=EXCESSES, duration=steps * STEP
    )
    highest = 0
    reached = None
    for step in range(steps):
        counts = [
            (calls, sum(random.random() < rate(step) for _ in range(calls)))
            for calls, rate in ((new, new_rate), (old, old_rate))
        ]
        test.update(PairedCounts(*counts[0], *counts[1]), elapsed=STEP)
        highest = max(highest, test.weight)
        if test.weight >= 8 and reached is None:
            reached = step
    return highest, reached


def test_good_versions_rarely_reach_the_limit():
    """Of 400 good versions that fail 1 % of their calls, few are found bad.

    At most one in a hundred may reach the limit of e^4.6.
    """
    random = Random(1)
    highest_weights = [
        judge(
            random,
            steps=120,
            new=5,
            old=20,
            new_rate=lambda step: 0.01,
            old_rate=lambda step: 0.01,
        )[0]
        for _ in range(400)
    ]
    assert sum(weight >= 4.6 for weight in highest_weights) <= 4


def test_fault_of_both_versions_is_no_evidence():
    """The store of the platform fails while the new version has most calls.

    Both versions then fail half of their calls.
    """

    def rate(step):
        return 0.5 if 40 <= step < 60 else 0.001

    for seed in range(20):
        highest, _ = judge(
            Random(seed),
            steps=100,
            new=90,
            old=10,
            new_rate=rate,
            old_rate=rate,
        )
        assert highest < 6


def test_late_fault_is_found_as_soon_as_an_early_one():
    """A version that was good for ten minutes fails from then on.

    Its earlier successful calls must not outweigh the current failures.
    """

    def late_failures(step):
        return 0.3 if step >= 1200 else 0

    _, reached = judge(
        Random(3),
        steps=1300,
        new=10,
        old=10,
        new_rate=late_failures,
        old_rate=lambda step: 0,
    )
    assert 1200 <= reached <= 1206
