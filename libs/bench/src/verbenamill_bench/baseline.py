"""The baseline: every proxy reads the log itself."""

from datetime import UTC, datetime, timedelta

import trio
from msgspec import Struct
from returns.result import Success

from verbenamill_bench.fleet import Fleet
from verbenamill_bench.setup import change_ticket, publish
from verbenamill_model.typing import Offset
from verbenamill_runtime.http_log import HttpLog

CHANGES = 5
BETWEEN = 1.0
LONG_POLL = timedelta(seconds=5)
#: Above the numbers of the tickets before.
FIRST_TICKET = 100_000


class Baseline(Struct, kw_only=True):
    """Readers' samples by change, and their requests at the log."""

    samples: list[list[float]]
    requests_per_second: float


async def measure_baseline(url: str, readers: int, fleet: Fleet) -> Baseline:
    """Let many tasks read the log by long poll while changes are made.

    All readers share one process, so their times hold its own queueing; the
    requests at the log are what counts.
    """
    # Readers that still caught up would count old changes as late ones.
    start = await _find_end(fleet)
    seen: dict[int, list[float]] = {}
    requests = [0]
    async with trio.open_nursery() as nursery:
        for _ in range(readers):
            nursery.start_soon(_read, url, start, seen, requests)
        await trio.sleep(BETWEEN)
        requests[0] = 0
        began = trio.current_time()
        for number in range(CHANGES):
            await publish(fleet, change_ticket(FIRST_TICKET + number))
            await trio.sleep(BETWEEN)
        rate = requests[0] / (trio.current_time() - began)
        nursery.cancel_scope.cancel()
    return Baseline(
        samples=[sample for _, sample in sorted(seen.items())],
        requests_per_second=round(rate, 2),
    )


async def _find_end(fleet: Fleet) -> Offset:
    told = await fleet.get(
        f'{fleet.log_url}/streams/config/records?from=0&limit=1',
    )
    return Offset(told.unwrap()['end'])


async def _read(
    url: str,
    start: Offset,
    seen: dict[int, list[float]],
    requests: list[int],
) -> None:
    log = HttpLog(url)
    while True:
        requests[0] += 1
        outcome = await log.read('config', start, wait=LONG_POLL)
        if not isinstance(outcome, Success):
            await trio.sleep(1)
            continue
        now = datetime.now(UTC)
        for entry in outcome.unwrap().entries:
            passed = (now - entry.at) / timedelta(seconds=1)
            seen.setdefault(entry.offset, []).append(max(passed, 0))
            start = Offset(entry.offset + 1)
