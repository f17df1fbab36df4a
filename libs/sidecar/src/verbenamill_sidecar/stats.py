"""Counters of calls and histograms of their latencies."""

from bisect import bisect_left
from collections import Counter

from verbenamill_model.typing import ServiceName

#: Upper bounds of the latency buckets, in seconds.
LATENCY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
#: Most services with labels of their own, so that metric labels stay bounded.
MAX_SERVICES = 200


class Latencies:
    """Latency histogram of each service."""

    def __init__(self) -> None:
        self.counts: dict[ServiceName, list[int]] = {}
        self.sums: dict[ServiceName, float] = {}

    def add(self, service: ServiceName, seconds: float) -> None:
        """Add the latency of one call."""
        if service not in self.counts and len(self.counts) >= MAX_SERVICES:
            return
        buckets = self.counts.setdefault(
            service, [0, *(0 for _ in LATENCY_BOUNDS)]
        )
        buckets[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.sums[service] = self.sums.get(service, 0) + seconds


class CallStats:
    """Counters of the calls that a daemon gets from its callers.

    :ivar outcomes: calls that failed or were refused, by service and outcome.
    :ivar refused_keys: calls without a valid key, by reason.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.answered = 0
        self.late = 0
        self.retries = 0
        self.outcomes: dict[tuple[ServiceName, str], int] = {}
        self.refused_keys: Counter[str] = Counter()
        self.latencies = Latencies()

    def count(self, service: ServiceName, outcome: str) -> None:
        """Count a call that failed, was refused or was rejected."""
        key = (service, outcome)
        if key in self.outcomes or len(self.outcomes) < 4 * MAX_SERVICES:
            self.outcomes[key] = self.outcomes.get(key, 0) + 1
