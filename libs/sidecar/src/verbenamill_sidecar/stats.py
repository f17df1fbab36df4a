"""Counters of calls, and their latencies in buckets."""

from bisect import bisect_left

from verbenamill_model.typing import ServiceName

#: Upper bounds of latency buckets, in seconds.
LATENCY_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
#: Services told apart; labels of metrics have to stay bounded.
MAX_SERVICES = 200


class Latencies:
    """Histogram of each service."""

    def __init__(self) -> None:
        self.counts: dict[ServiceName, list[int]] = {}
        self.sums: dict[ServiceName, float] = {}

    def add(self, service: ServiceName, seconds: float) -> None:
        """Count one call."""
        if service not in self.counts and len(self.counts) >= MAX_SERVICES:
            return
        buckets = self.counts.setdefault(
            service, [0, *(0 for _ in LATENCY_BOUNDS)]
        )
        buckets[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.sums[service] = self.sums.get(service, 0) + seconds


class CallStats:
    """What a daemon counts of the calls it takes.

    :ivar outcomes: of calls that were not answered in time, by service.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.answered = 0
        self.late = 0
        self.retries = 0
        self.outcomes: dict[tuple[ServiceName, str], int] = {}
        self.latencies = Latencies()

    def count(self, service: ServiceName, outcome: str) -> None:
        """Count a call that failed or was refused."""
        key = (service, outcome)
        if key in self.outcomes or len(self.outcomes) < 4 * MAX_SERVICES:
            self.outcomes[key] = self.outcomes.get(key, 0) + 1
