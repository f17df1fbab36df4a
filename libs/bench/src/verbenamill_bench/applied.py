"""When each daemon put a version in force, read from its own events.

Asking a hundred daemons again and again would cost more processor time
than what is measured; the events carry the time to a millisecond.
"""

from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.fleet import Fleet

Samples = list[list[float]]
_EVENT = ' VM2003 '


class _Record(Struct):
    offset: int
    at: datetime


class _Page(Struct):
    records: list[_Record]


async def read_applied(
    fleet: Fleet,
    offsets: list[int],
) -> Result[Samples, str]:
    """Seconds from each change's time on the log, by change and daemon.

    A daemon that took several changes in one step has the later ones'
    time for the earlier ones too.
    """
    told = await fleet.get(
        f'{fleet.log_url}/streams/config/records?from={offsets[0]}',
    )
    if isinstance(told, Failure):
        return told
    page = msgspec.convert(told.unwrap(), _Page)
    accepted = {record.offset: record.at for record in page.records}
    samples: list[list[float]] = [[] for _ in offsets]
    for daemon in fleet.daemons:
        applied = read_versions(daemon.process.log)
        for place, offset in enumerate(offsets):
            moment = _first_at(applied, offset)
            if moment is None:
                return Failure(f'{daemon.id} has no event of {offset}')
            passed = (moment - accepted[offset]) / timedelta(seconds=1)
            # The event's time is cut to a millisecond, so it may lie just
            # before the log's.
            samples[place].append(max(passed, 0))
    return Success(samples)


def read_versions(log: Path) -> list[tuple[int, datetime]]:
    """Versions that a daemon put in force, with their times."""
    found = []
    for line in log.read_text(errors='replace').splitlines():
        if _EVENT in line:
            at = datetime.fromisoformat(line.split(' ', 1)[0])
            version = line.rsplit('version=', 1)[1].split(']')[0].split()[0]
            found.append((int(version), at))
    return found


def last_applied(log: Path) -> datetime:
    """When a daemon last put a version in force."""
    return read_versions(log)[-1][1]


def _first_at(
    applied: list[tuple[int, datetime]],
    offset: int,
) -> datetime | None:
    return next((at for version, at in applied if version >= offset), None)
