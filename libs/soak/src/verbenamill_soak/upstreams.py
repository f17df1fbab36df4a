"""The upstream of one VM of a run."""

from dataclasses import dataclass, field

import trio

from verbenamill_platform_standins import UpstreamStandIn
from verbenamill_platform_standins.callers import SEAL_HEADER
from verbenamill_platform_standins.http_server import HttpRequest, HttpResponse

#: Path of the request that crashes each upstream that runs it.
DEADLY = '/lookup/deadly'
#: How long an upstream serves after its draining was acknowledged, in s.
DRAIN_TIME = 2.0
#: Service time of an upstream, and of one that works for longer than a silent
#: daemon is trusted, in seconds.
WORK = 0.02
LONG_WORK = 0.8


@dataclass
class Upstream(UpstreamStandIn):
    """One upstream of a run.

    :ivar acked_at: when its leaving was acknowledged.
    :ivar died_at: when it ended without that.
    :ivar is_leaving: whether it ends, or waits for somebody to know that.
    :ivar fails: whether it answers half of its requests with 500.
    :ivar name: that of its first start; it has another one after a crash.
    :ivar killed_at: when the deadly request crashed it.
    :ivar limits: limits that it has named, and since when.
    """

    acked_at: float | None = None
    died_at: float = float('-inf')
    is_leaving: bool = False
    fails: bool = False
    name: str = ''
    killed_at: list[float] = field(default_factory=list)
    limits: list[tuple[float, float | None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Remember its first name."""
        self.name = self.instance

    def name_limit(self, rate: float | None) -> None:
        """Name another limit from now on, or none."""
        self.limit = rate
        self.limits.append((trio.current_time(), rate))

    def most_allowed(self, since: float, until: float) -> float | None:
        """The largest limit of a time; ``None`` if it named none in it."""
        found: list[float | None] = [None]
        for at, rate in self.limits:
            if at <= since:
                found = [rate]
            elif at <= until:
                found.append(rate)
        named = [one for one in found if one is not None]
        return max(named) if len(named) == len(found) else None

    def dies_of(self, asked: HttpRequest) -> bool:
        """Whether a request crashes it."""
        if asked.path != DEADLY:
            return False
        self.killed_at.append(trio.current_time())
        return True

    def crash(self) -> None:
        """End at once, and start again after a while."""
        self.died_at = trio.current_time()
        super().crash()

    def judge(self, asked: HttpRequest) -> HttpResponse | None:
        """Fail every second request of a bad version."""
        if self.fails and len(self.executions) % 2:
            return HttpResponse(500, {SEAL_HEADER: 'bad'}, b'bad version')
        return None
