"""Sequential comparison of two versions with a bounded error rate.

Within one interval the calls of both versions meet the same conditions. If
the new version is no worse, its part of the bad calls is what its part of
all calls makes likely: with a part ``w`` of the calls, a tolerated odds
ratio ``t`` and an assumed ratio ``r``, the likelihood ratio of one interval
is ``(r / t) ** bad_new * ((1 - w + w * t) / (1 - w + w * r)) ** bad``.
Its expectation is at most 1 while the true ratio is at most ``t``, whatever
the rate of bad calls in that interval, since drawing without replacement
spreads less than drawing with it (Hoeffding). So the product over intervals
passes ``1 / alpha`` with a probability of at most ``alpha``, however often
it is looked at (Ville), and a fault that hits both versions moves nothing.
"""

from math import exp, log

from msgspec import Struct

#: Assumed ratios; the test takes the mean over them.
_RATIOS = (3.0, 8.0, 30.0, 150.0)


class Pair(Struct, frozen=True):
    """Calls and bad calls of both versions in one interval."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def plus(self, other: 'Pair') -> 'Pair':
        """Sum of two pairs."""
        return Pair(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )


class Test:
    """Evidence against a new version over many intervals.

    :param tolerated: odds ratio of bad calls that is put up with.
    """

    def __init__(self, *, tolerated: float) -> None:
        self._tolerated = tolerated
        self._sums = dict.fromkeys(_RATIOS, float(0))

    def add(self, pair: Pair) -> None:
        """Add a finished interval."""
        for ratio in self._sums:
            self._sums[ratio] += _log_likelihood(pair, ratio, self._tolerated)

    def weigh(self, pair: Pair) -> float:
        """Logarithm of the evidence, with an interval still open."""
        logs = [
            known + _log_likelihood(pair, ratio, self._tolerated)
            for ratio, known in self._sums.items()
        ]
        highest = max(logs)
        spread = sum(exp(value - highest) for value in logs)
        return highest + log(spread / len(logs))


def _log_likelihood(pair: Pair, ratio: float, tolerated: float) -> float:
    calls = pair.new + pair.old
    if not calls:
        return 0
    part = pair.new / calls
    bad = pair.new_bad + pair.old_bad
    expected = (1 - part + part * tolerated) / (1 - part + part * ratio)
    return pair.new_bad * log(ratio / tolerated) + bad * log(expected)
