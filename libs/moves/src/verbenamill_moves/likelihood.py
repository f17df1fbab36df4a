"""Sequential likelihood-ratio test of a new version against the old one.

Two models of the calls of both versions compete, step by step:

* good: bad calls come at the usual rate, which the old version has shown.
  Now and then a fault hits both versions for some seconds; they have one
  higher rate then, and the one that fits the calls best is taken.
* bad: the same, but from some moment on (the first call or later) calls of
  the new version alone go bad, at one of several higher rates or at the rate
  that its own last calls had; it may recover, too.

Both are hidden Markov models of a few states, so their likelihoods are kept
by the forward algorithm in constant memory. While the good model holds, the
mean of their ratio is at most 1 at all times, so it ever passes
``1 / alpha`` with a probability of at most ``alpha``, however often it is
looked at (Ville's inequality). A version that turns bad late costs the
logarithm of one improbable transition, not a walk back from all the good
that was seen before.
"""

from collections.abc import Sequence
from math import exp, log

from msgspec import Struct

#: Rates of the hidden transitions, per second.
_FAULT_BEGINS = 1 / 1000
_FAULT_ENDS = 1 / 10
_RECOVERS = 1 / 60
#: Prior probability that the version is bad from its first call.
_BAD_AT_ONCE = 0.5

#: Calls of the old version that its usual rate is taken from.
_MEMORY_CALLS = 2000
#: Calls that steady an estimate from few calls, at this many times the
#: lowest rate: an unknown old version is not presumed to be perfect.
_PRIOR_CALLS = 30
_PRIOR_FACTOR = 3
#: Calls of the new version that its own rates are taken from; the few
#: follow a change, the many are exact enough for a busy service.
_OWN_CALLS = (60, 400)
#: Calls of earlier steps that the common rate is taken from.
_COMMON_CALLS = 60
#: What a sudden change of the common rate costs its model (logarithm).
_CHANGE_COSTS = 2.0
_HIGHEST = 0.98
#: Below it a probability counts as 0; keeps logarithms finite.
_TINY = 1e-290


class PairedCounts(Struct, frozen=True):
    """Calls and bad calls of both versions in the same interval."""

    new: float = 0
    new_bad: float = 0
    old: float = 0
    old_bad: float = 0

    def plus(self, other: 'PairedCounts') -> 'PairedCounts':
        """Sum of two pairs."""
        return PairedCounts(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )

    def scaled(self, factor: float) -> 'PairedCounts':
        """All counts times a factor."""
        return PairedCounts(
            self.new * factor,
            self.new_bad * factor,
            self.old * factor,
            self.old_bad * factor,
        )


class LikelihoodTest:
    """Evidence against a new version.

    :param floor: usual rate of bad calls below which differences do not
        matter.
    :param excesses: shares of the otherwise good calls that go bad with a
        bad version; one model of badness for each.
    :param length: seconds that the test is expected to last.
    """

    def __init__(
        self,
        *,
        floor: float,
        excesses: Sequence[float],
        length: float,
    ) -> None:
        self._floor = floor
        self._excesses = excesses
        self._turns_bad = 1 / max(length, 1)
        self._old = PairedCounts()
        self._own = [PairedCounts() for _ in _OWN_CALLS]
        self._common = PairedCounts()
        # Calm: no fault of both versions; the first place of each list is a
        # good version, the others are the models of badness.
        models = len(excesses) + len(_OWN_CALLS)
        at_once = (_BAD_AT_ONCE / models for _ in range(models))
        self._calm = [1 - _BAD_AT_ONCE, *at_once]
        self._fault = [float(0) for _ in self._calm]
        self._good_calm = float(1)
        self._good_fault = float(0)
        self._weight = float(0)

    @property
    def weight(self) -> float:
        """Natural logarithm of the likelihood ratio, above 0 against."""
        return self._weight

    def update(self, pair: PairedCounts, *, elapsed: float) -> None:
        """Take in the calls of one step.

        :param elapsed: seconds since the last update.
        """
        self._transit(elapsed)
        usual = self._usual_rate()
        calm = [
            _log_likelihood(pair.new, pair.new_bad, rate)
            + _log_likelihood(pair.old, pair.old_bad, usual)
            for rate in self._new_rates(usual)
        ]
        fault = self._common_likelihood(pair, usual)
        self._weigh(calm, fault)
        self._learn(pair)

    def _usual_rate(self) -> float:
        """Rate before this step, so that the step cannot move its measure."""
        bad = self._old.old_bad + self._floor * _PRIOR_FACTOR * _PRIOR_CALLS
        rate = bad / (self._old.old + _PRIOR_CALLS)
        return min(max(rate, self._floor), _HIGHEST)

    def _new_rates(self, usual: float) -> list[float]:
        excesses = (0, *self._excesses)
        rates = [usual + (1 - usual) * excess for excess in excesses]
        least = rates[1]
        own = (max(_rate_of_new(known, least), least) for known in self._own)
        return [*rates, *own]

    def _common_likelihood(self, pair: PairedCounts, usual: float) -> float:
        """Likelihood of the step at one rate of both versions.

        The rate of the last steps or a fresh one, whichever makes the good
        model's case better. Were every step's own rate free of cost, no
        evidence could gather at all while the old version has few calls.
        """
        calls = pair.new + pair.old
        bad = pair.new_bad + pair.old_bad
        steady = max(_rate_of(self._common, usual), usual)
        fresh = max(_rate_of(pair, usual), usual)
        steadily = _log_likelihood(calls, bad, steady)
        changed = _log_likelihood(calls, bad, fresh) - _CHANGE_COSTS
        if changed > steadily:
            self._common = PairedCounts()
        self._common = self._common.plus(pair)
        known = self._common.new + self._common.old
        if known > _COMMON_CALLS:
            self._common = self._common.scaled(_COMMON_CALLS / known)
        return max(steadily, changed)

    def _learn(self, pair: PairedCounts) -> None:
        self._old = self._old.plus(pair)
        if self._old.old > _MEMORY_CALLS:
            self._old = self._old.scaled(1 / 2)
        for place, limit in enumerate(_OWN_CALLS):
            known = self._own[place].plus(pair)
            if known.new > limit:
                known = known.scaled(limit / known.new)
            self._own[place] = known

    def _transit(self, elapsed: float) -> None:
        """Let the hidden states change for a while."""
        begins = 1 - exp(-elapsed * _FAULT_BEGINS)
        ends = 1 - exp(-elapsed * _FAULT_ENDS)
        good_calm = self._good_calm * (1 - begins) + self._good_fault * ends
        self._good_fault = 1 - good_calm
        self._good_calm = good_calm
        pairs = list(zip(self._calm, self._fault, strict=True))
        calm = [one * (1 - begins) + other * ends for one, other in pairs]
        fault = [other * (1 - ends) + one * begins for one, other in pairs]
        self._calm = self._turn(calm, elapsed)
        self._fault = self._turn(fault, elapsed)

    def _turn(self, weights: list[float], elapsed: float) -> list[float]:
        """Good versions may turn bad, bad ones may recover."""
        turns = 1 - exp(-elapsed * self._turns_bad)
        recovers = 1 - exp(-elapsed * _RECOVERS)
        good, *bad = weights
        each = good * turns / len(bad)
        return [
            good * (1 - turns) + sum(bad) * recovers,
            *(known * (1 - recovers) + each for known in bad),
        ]

    def _weigh(self, calm: list[float], fault: float) -> None:
        """Multiply each state by the likelihood of the step's calls."""
        highest = max(*calm, fault)
        factors = [exp(value - highest) for value in calm]
        shared = exp(fault - highest)
        self._calm = [
            known * factor
            for known, factor in zip(self._calm, factors, strict=True)
        ]
        self._fault = [known * shared for known in self._fault]
        self._good_calm *= factors[0]
        self._good_fault *= shared
        bad_total = max(sum(self._calm) + sum(self._fault), _TINY)
        good_total = max(self._good_calm + self._good_fault, _TINY)
        self._weight += log(bad_total) - log(good_total)
        self._calm = [known / bad_total for known in self._calm]
        self._fault = [known / bad_total for known in self._fault]
        self._good_calm /= good_total
        self._good_fault /= good_total


def _rate_of(pair: PairedCounts, usual: float) -> float:
    rate = (pair.new_bad + pair.old_bad + usual) / (pair.new + pair.old + 1)
    return min(rate, _HIGHEST)


def _rate_of_new(pair: PairedCounts, usual: float) -> float:
    return min((pair.new_bad + usual) / (pair.new + 1), _HIGHEST)


def _log_likelihood(calls: float, bad: float, rate: float) -> float:
    return bad * log(rate) + (calls - bad) * log(1 - rate)
