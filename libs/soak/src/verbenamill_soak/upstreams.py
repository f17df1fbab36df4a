"""The upstreams that run on the VMs of a run."""

from dataclasses import dataclass, field

import trio

from verbenamill_platform_standins import UpstreamStandIn
from verbenamill_platform_standins.callers import SEAL_HEADER
from verbenamill_platform_standins.http_server import HttpRequest, HttpResponse

#: Path of the request that crashes every upstream that executes it.
DEADLY_PATH = '/lookup/deadly'
#: Time for which an upstream still serves after its leave was acknowledged.
DRAIN_TIME_S = 2.0
#: Usual service time of an upstream.
SERVICE_TIME_S = 0.02
#: Service time that exceeds the time after which a silent daemon is suspected.
LONG_SERVICE_TIME_S = 0.8


@dataclass
class Upstream(UpstreamStandIn):
    """An upstream that a run controls.

    :ivar leave_acknowledged_at: when its leave was acknowledged.
    :ivar terminated_at: when it ended without an acknowledged leave.
    :ivar is_leaving: whether it has ended or has begun to announce its leave.
    :ivar fails_requests: whether it answers half of its requests with 500.
    :ivar name: instance name of the first start; each restart after a crash
        has a new instance name.
    :ivar deadly_crash_times: when the deadly request crashed it.
    :ivar limit_history: announced limits and their start times.
    """

    leave_acknowledged_at: float | None = None
    terminated_at: float = float('-inf')
    is_leaving: bool = False
    fails_requests: bool = False
    name: str = ''
    deadly_crash_times: list[float] = field(default_factory=list)
    limit_history: list[tuple[float, float | None]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        """Store the instance name of the first start."""
        self.name = self.instance

    def announce_limit(self, rate: float | None) -> None:
        """Announce another limit from now on, or none."""
        self.limit = rate
        self.limit_history.append((trio.current_time(), rate))

    def max_limit_during(self, since: float, until: float) -> float | None:
        """Return the highest limit of an interval.

        The result is ``None`` if there was no limit for part of the interval.
        """
        rates: list[float | None] = [None]
        for at, rate in self.limit_history:
            if at <= since:
                rates = [rate]
            elif at <= until:
                rates.append(rate)
        limits = [limit for limit in rates if limit is not None]
        return max(limits) if len(limits) == len(rates) else None

    def crashes_on_request(self, request: HttpRequest) -> bool:
        """Return whether a request crashes the upstream."""
        if request.path != DEADLY_PATH:
            return False
        self.deadly_crash_times.append(trio.current_time())
        return True

    def crash(self) -> None:
        """Crash, and restart after the down time."""
        self.terminated_at = trio.current_time()
        super().crash()

    def script_response(self, request: HttpRequest) -> HttpResponse | None:
        """Return an error for every second request to a bad version."""
        if self.fails_requests and len(self.executions) % 2:
            return HttpResponse(500, {SEAL_HEADER: 'bad'}, b'bad version')
        return None
