"""What the daemons of a fleet spend on control, from outside and inside."""

import trio
from msgspec import Struct
from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample

from verbenamill_bench.fleet import Daemon, Fleet

_BYTES = 'verbenamill_mesh_bytes_total'
_MESSAGES = 'verbenamill_mesh_messages_total'
_STORE = 'verbenamill_mesh_store_bytes'


class Reading(Struct, frozen=True, kw_only=True):
    """Sums over all living daemons at one moment.

    :param store_bytes: of the daemon with most.
    """

    at: float
    daemons: int
    bytes_sent: float
    messages: float
    cpu: float
    rss_max: int
    store_bytes: float
    log_requests: int


class Cost(Struct, frozen=True, kw_only=True):
    """Spent between two readings, a daemon and second.

    :param cpu: share of a core.
    :param rss_max: bytes of the largest daemon at the end.
    :param log_requests: at the log by the whole fleet, a second.
    """

    seconds: float
    bytes_sent: float
    messages: float
    cpu: float
    rss_max: int
    log_requests: float


class Meter:
    """Reads what a fleet has spent so far."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def read(self) -> Reading:
        """Sums over all living daemons, now."""
        alive = [known for known in self._fleet.daemons if known.process.alive]
        # Processor time first, so that reading the rest is not in it.
        usages = [daemon.process.usage() for daemon in alive]
        at = trio.current_time()
        metrics = [await self._metrics(daemon) for daemon in alive]
        told = await self._fleet.get(f'{self._fleet.log_url}/control')
        counters = told.unwrap()['counters']
        return Reading(
            at=at,
            daemons=len(alive),
            bytes_sent=sum(_sent(one, _BYTES) for one in metrics),
            messages=sum(_sent(one, _MESSAGES) for one in metrics),
            cpu=sum(usage.cpu for usage in usages),
            rss_max=max(usage.rss for usage in usages),
            store_bytes=max(_gauge(one, _STORE) for one in metrics),
            log_requests=counters['reads'] + counters['appends'],
        )

    async def _metrics(self, daemon: Daemon) -> list[Sample]:
        response = await self._fleet.client.get(f'{daemon.admin_url}/metrics')
        return [
            sample
            for family in text_string_to_metric_families(response.text)
            for sample in family.samples
        ]


def find_cost(before: Reading, after: Reading) -> Cost:
    """What was spent between two readings of the same daemons."""
    seconds = after.at - before.at
    each = seconds * after.daemons
    return Cost(
        seconds=round(seconds, 2),
        bytes_sent=round((after.bytes_sent - before.bytes_sent) / each, 1),
        messages=round((after.messages - before.messages) / each, 2),
        cpu=round((after.cpu - before.cpu) / each, 5),
        rss_max=after.rss_max,
        log_requests=round(
            (after.log_requests - before.log_requests) / seconds,
            2,
        ),
    )


def _sent(samples: list[Sample], name: str) -> float:
    return sum(
        sample.value
        for sample in samples
        if sample.name == name and sample.labels.get('direction') == 'sent'
    )


def _gauge(samples: list[Sample], name: str) -> float:
    return next(sample.value for sample in samples if sample.name == name)
