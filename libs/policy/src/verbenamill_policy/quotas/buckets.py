"""Tokens of one organisation at a pool, and averages that decay over time."""

import math

from verbenamill_model.typing import VmId
from verbenamill_policy.organisations import Quota

#: Time constant of the use of a bucket and of unmet demand, in seconds.
_DEMAND_MEMORY = 1.0
#: Time for which tokens from another pool may exceed the bucket, in seconds.
_SURPLUS_TIME = 2.0
#: Tokens that may be missing from a whole one, since messages round down.
_ROUNDING = 0.01


class Decaying:
    """A sum whose parts decay exponentially.

    :param memory: time constant, in seconds.
    """

    __slots__ = ('_memory', '_sum', '_at')

    def __init__(self, memory: float) -> None:
        self._memory = memory
        self._sum = float(0)
        self._at = float('-inf')

    def add(self, amount: float, now: float) -> None:
        """Add a part."""
        self._sum = self.read(now) + amount
        self._at = now

    def read(self, now: float) -> float:
        """Return the sum as decayed until now."""
        if not self._sum:
            return self._sum
        return self._sum * math.exp((self._at - now) / self._memory)

    def rate(self, now: float) -> float:
        """Return the average rate of the parts, per second."""
        return self.read(now) / self._memory


class Bucket:
    """Tokens of one organisation at a pool.

    :ivar level: tokens that are available.
    :ivar use: tokens that were granted.
    :ivar unmet: tokens that were wanted and not granted.
    :ivar ask_after: time from which on other pools are asked for tokens.
    """

    def __init__(self, quota: Quota, earned: float) -> None:
        self.quota = quota
        self.level = float(0)
        self.use = Decaying(_DEMAND_MEMORY)
        self.unmet = Decaying(_DEMAND_MEMORY)
        self.ask_after = float('-inf')
        self._earned = earned
        self._held: dict[VmId, float] = {}
        self._held_total = float(0)
        self._surplus_until = float('-inf')

    def refill(self, earned: float, limit: float) -> None:
        """Add what was earned since the last call.

        :param earned: integral of the shares; see ``Delegations.earned``.
        :param limit: most tokens that the shares may hold, here and at
            daemons. Tokens beyond it stay until :meth:`take_excess`.
        """
        new = self.quota.rate * (earned - self._earned)
        self._earned = earned
        room = limit - self._held_total - self.level
        if room > 0:
            self.level += min(new, room)

    def change(self, quota: Quota, limit: float) -> None:
        """Apply a changed quota from now on, and cut the tokens to it."""
        self.quota = quota
        self.level = min(self.level, limit)

    def record_held(self, vm: VmId, tokens: float) -> None:
        """Record the tokens that a daemon holds; they belong to the burst."""
        self._held_total += tokens - self._held.pop(vm, 0)
        if tokens:
            self._held[vm] = tokens
        if not self._held:
            # Without this, rounding errors would add up.
            self._held_total = float(0)

    def add(self, tokens: float, now: float) -> None:
        """Add tokens of another pool."""
        self.level += tokens
        self._surplus_until = now + _SURPLUS_TIME

    def take(self, tokens: float, now: float) -> float:
        """Take up to some whole tokens, and return how many."""
        taken = math.floor(max(min(tokens, self.level + _ROUNDING), 0))
        self.level -= taken
        if taken:
            self.use.add(taken, now)
        return taken

    def take_excess(self, limit: float, now: float) -> float:
        """Take the tokens beyond the limit, and return how many."""
        excess = self.level - max(limit - self._held_total, 0)
        if excess <= 0 or now < self._surplus_until:
            return 0
        self.level -= excess
        return excess

    def take_spare(self, tokens: float, horizon: float, now: float) -> float:
        """Take tokens for another pool, and return how many.

        At most half of what the own daemons will not need soon is given. What
        is less than one token is given whole, as it is of no use by itself.

        :param horizon: time for which the own use is kept, in seconds.
        """
        kept = min(self.use.rate(now) * horizon, self.level / 2)
        spare = self.level - kept
        if spare > 1:
            spare = max(spare / 2, 1)
        given = max(min(tokens, spare), 0)
        self.level -= given
        return given

    def expected_wait(self, now: float) -> float:
        """Time until a token for one more request is expected, in seconds."""
        if self.quota.rate <= 0:
            return float('inf')
        missing = self.unmet.read(now) + 1 - self.level
        return max(missing, 0) / self.quota.rate
