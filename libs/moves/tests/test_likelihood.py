"""Error rate and power of the test that judges versions."""

from random import Random

from verbenamill_moves.likelihood import LikelihoodTest, PairedCounts

EXCESSES = (0.02, 0.07, 0.2, 0.5, 0.95)
STEP = 0.5


def judge(random, *, steps, new, old, new_rate, old_rate):
    """Highest weight over some steps, and the step that reached 8."""
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


def test_good_versions_seldom_reach_the_limit():
    """400 good versions at a usual rate of 1 %: the limit of e^4.6 is for
    at most one in a hundred."""
    random = Random(1)
    passed = [
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
    assert sum(weight >= 4.6 for weight in passed) <= 4


def test_fault_of_both_versions_moves_nothing():
    """The platform's store fails and both versions fail half their calls,
    while the new one has most of the traffic."""

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
    """A version that was good for ten minutes fails from then on; all that
    it did well before must not weigh against what it does now."""

    def late(step):
        return 0.3 if step >= 1200 else 0

    _, reached = judge(
        Random(3),
        steps=1300,
        new=10,
        old=10,
        new_rate=late,
        old_rate=lambda step: 0,
    )
    assert 1200 <= reached <= 1206
