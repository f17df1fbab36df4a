"""Sequential likelihood-ratio test of a new version against the old one.

The test compares two models of the calls of both versions at each step:

* good: bad calls occur at the baseline rate, which is estimated from the old
  version. Occasionally a fault affects both versions for some seconds. Both
  then share one higher rate, which is chosen to fit the calls best.
* bad: as above, but from some time on (the first call or later) calls of the
  new version alone go bad, at one of several higher rates or at the rate of
  its own recent calls. The version may also recover.

Both are hidden Markov models with a few states, so the forward algorithm
computes their likelihoods in constant memory. While the good model holds,
the expected value of the likelihood ratio is at most 1 at all times. By
Ville's inequality, the ratio therefore exceeds ``1 / alpha`` at any time with
a probability of at most ``alpha``, however often it is evaluated. If a
version turns bad late, the evidence only has to overcome the logarithm of one
improbable transition, and not all the good calls seen before.
"""

from collections.abc import Sequence
from math import exp, log

from msgspec import Struct

#: Rates of the transitions between the hidden states, per second.
_FAULT_START_RATE = 1 / 1000
_FAULT_END_RATE = 1 / 10
_RECOVERY_RATE = 1 / 60
#: Prior probability that the new version is bad from its first call.
_BAD_FROM_START = 0.5

#: Calls of the old version from which the baseline rate is estimated.
_BASELINE_CALLS = 2000
#: Assumed calls that stabilise the estimate of the baseline rate, with a rate
#: of ``_PRIOR_FACTOR`` times the lowest one: an old version with few calls is
#: not assumed to be perfect.
_PRIOR_CALLS = 30
_PRIOR_FACTOR = 3
#: Numbers of recent calls of the new version from which its own rates are
#: estimated. The small number follows changes quickly, the large one is
#: accurate enough for a service with many calls.
_NEW_RATE_CALLS = (60, 400)
#: Calls of earlier steps from which the shared rate of both versions during a
#: fault is estimated.
_SHARED_RATE_CALLS = 60
#: Logarithm by which a sudden change of the shared rate reduces the likelihood
#: of a fault of both versions.
_CHANGE_PENALTY = 2.0
#: Highest rate of bad calls that is assumed.
_MAX_RATE = 0.98
#: Probabilities below this bound count as 0; it keeps the logarithms finite.
_MIN_PROBABILITY = 1e-290


class PairedCounts(Struct, frozen=True):
    """Calls and bad calls of both versions in the same interval."""

    new: float = 0
    new_bad: float = 0
    old: float = 0
    old_bad: float = 0

    def add(self, other: 'PairedCounts') -> 'PairedCounts':
        """Return the sum of these and other counts."""
        return PairedCounts(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )

    def scaled(self, factor: float) -> 'PairedCounts':
        """Return all counts multiplied by a factor."""
        return PairedCounts(
            self.new * factor,
            self.new_bad * factor,
            self.old * factor,
            self.old_bad * factor,
        )


class LikelihoodTest:
    """Weighs the evidence against a new version.

    :param floor: lowest baseline rate of bad calls; lower rates are not
        distinguished.
    :param added_shares: shares of the otherwise good calls that go bad with
        a bad version; each share gives one model of a bad version.
    :param duration: expected duration of the test in seconds.
    """

    def __init__(
        self,
        *,
        floor: float,
        added_shares: Sequence[float],
        duration: float,
    ) -> None:
        self._floor = floor
        self._added_shares = added_shares
        self._onset_rate = 1 / max(duration, 1)
        self._old_counts = PairedCounts()
        self._new_counts = [PairedCounts() for _ in _NEW_RATE_CALLS]
        self._shared_counts = PairedCounts()
        # Probabilities of the hidden states, without and with a fault of
        # both versions. The first item of each list stands for a good
        # version, the others for the models of a bad one.
        models = len(added_shares) + len(_NEW_RATE_CALLS)
        bad_from_start = (_BAD_FROM_START / models for _ in range(models))
        self._normal = [1 - _BAD_FROM_START, *bad_from_start]
        self._shared_fault = [float(0) for _ in self._normal]
        self._good_normal = float(1)
        self._good_shared_fault = float(0)
        self._weight = float(0)

    @property
    def weight(self) -> float:
        """Natural logarithm of the likelihood ratio; above 0 if bad."""
        return self._weight

    def update(self, counts: PairedCounts, *, elapsed: float) -> None:
        """Update the test with the calls of one step.

        :param elapsed: seconds since the last update.
        """
        self._apply_transitions(elapsed)
        baseline = self._baseline_rate()
        normal = [
            _log_likelihood(counts.new, counts.new_bad, rate)
            + _log_likelihood(counts.old, counts.old_bad, baseline)
            for rate in self._new_rates(baseline)
        ]
        fault = self._shared_log_likelihood(counts, baseline)
        self._apply_likelihoods(normal, fault)
        self._update_rates(counts)

    def _baseline_rate(self) -> float:
        """Estimate the rate from the steps before the one to be judged."""
        bad = (
            self._old_counts.old_bad
            + self._floor * _PRIOR_FACTOR * _PRIOR_CALLS
        )
        rate = bad / (self._old_counts.old + _PRIOR_CALLS)
        return min(max(rate, self._floor), _MAX_RATE)

    def _new_rates(self, baseline: float) -> list[float]:
        added_shares = (0, *self._added_shares)
        rates = [baseline + (1 - baseline) * added for added in added_shares]
        lowest = rates[1]
        recent_rates = (
            max(_estimate_new_rate(counts, lowest), lowest)
            for counts in self._new_counts
        )
        return [*rates, *recent_rates]

    def _shared_log_likelihood(
        self, counts: PairedCounts, baseline: float
    ) -> float:
        """Return the log likelihood of the step if both versions are faulty.

        Both versions then have the same rate: that of the last steps or a
        new one, whichever fits better. A new rate has a penalty. Without it,
        each step could have its own rate, and no evidence would accumulate
        while the old version has few calls.
        """
        calls = counts.new + counts.old
        bad = counts.new_bad + counts.old_bad
        steady_rate = max(
            _estimate_rate(self._shared_counts, baseline), baseline
        )
        new_rate = max(_estimate_rate(counts, baseline), baseline)
        unchanged = _log_likelihood(calls, bad, steady_rate)
        changed = _log_likelihood(calls, bad, new_rate) - _CHANGE_PENALTY
        if changed > unchanged:
            self._shared_counts = PairedCounts()
        self._shared_counts = self._shared_counts.add(counts)
        total = self._shared_counts.new + self._shared_counts.old
        if total > _SHARED_RATE_CALLS:
            self._shared_counts = self._shared_counts.scaled(
                _SHARED_RATE_CALLS / total
            )
        return max(unchanged, changed)

    def _update_rates(self, counts: PairedCounts) -> None:
        self._old_counts = self._old_counts.add(counts)
        if self._old_counts.old > _BASELINE_CALLS:
            self._old_counts = self._old_counts.scaled(1 / 2)
        for index, limit in enumerate(_NEW_RATE_CALLS):
            recent = self._new_counts[index].add(counts)
            if recent.new > limit:
                recent = recent.scaled(limit / recent.new)
            self._new_counts[index] = recent

    def _apply_transitions(self, elapsed: float) -> None:
        """Apply the transitions of the hidden states since the last step."""
        starts = 1 - exp(-elapsed * _FAULT_START_RATE)
        ends = 1 - exp(-elapsed * _FAULT_END_RATE)
        good_normal = (
            self._good_normal * (1 - starts) + self._good_shared_fault * ends
        )
        self._good_shared_fault = 1 - good_normal
        self._good_normal = good_normal
        states = list(zip(self._normal, self._shared_fault, strict=True))
        normal = [one * (1 - starts) + other * ends for one, other in states]
        fault = [other * (1 - ends) + one * starts for one, other in states]
        self._normal = self._change_version_state(normal, elapsed)
        self._shared_fault = self._change_version_state(fault, elapsed)

    def _change_version_state(
        self, weights: list[float], elapsed: float
    ) -> list[float]:
        """Let a good version turn bad and a bad one recover."""
        onset = 1 - exp(-elapsed * self._onset_rate)
        recovers = 1 - exp(-elapsed * _RECOVERY_RATE)
        good, *bad = weights
        each = good * onset / len(bad)
        return [
            good * (1 - onset) + sum(bad) * recovers,
            *(state * (1 - recovers) + each for state in bad),
        ]

    def _apply_likelihoods(self, normal: list[float], fault: float) -> None:
        """Multiply the states by the likelihoods of the calls of the step."""
        highest = max(*normal, fault)
        factors = [exp(value - highest) for value in normal]
        fault_factor = exp(fault - highest)
        self._normal = [
            probability * factor
            for probability, factor in zip(self._normal, factors, strict=True)
        ]
        self._shared_fault = [
            state * fault_factor for state in self._shared_fault
        ]
        self._good_normal *= factors[0]
        self._good_shared_fault *= fault_factor
        bad_total = max(
            sum(self._normal) + sum(self._shared_fault), _MIN_PROBABILITY
        )
        good_total = max(
            self._good_normal + self._good_shared_fault, _MIN_PROBABILITY
        )
        self._weight += log(bad_total) - log(good_total)
        self._normal = [state / bad_total for state in self._normal]
        self._shared_fault = [state / bad_total for state in self._shared_fault]
        self._good_normal /= good_total
        self._good_shared_fault /= good_total


def _estimate_rate(counts: PairedCounts, baseline: float) -> float:
    rate = (counts.new_bad + counts.old_bad + baseline) / (
        counts.new + counts.old + 1
    )
    return min(rate, _MAX_RATE)


def _estimate_new_rate(counts: PairedCounts, baseline: float) -> float:
    return min((counts.new_bad + baseline) / (counts.new + 1), _MAX_RATE)


def _log_likelihood(calls: float, bad: float, rate: float) -> float:
    return bad * log(rate) + (calls - bad) * log(1 - rate)
