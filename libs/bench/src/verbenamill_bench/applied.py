"""When each daemon put a version in force, read from its own events.

Asking a hundred daemons again and again would cost more processor time
than what is measured; the events carry the time to a millisecond.
"""

import re
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.fleet import Fleet

Samples = list[list[float]]
#: The event of a version that was put in force. A killed daemon leaves half
#: a line, on which its next life goes on; that half does not match.
_EVENT = re.compile(r'(\S{29}) INFO VM2003 running version (\d+)(?: \[|$)')


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
    lines = log.read_text(errors='replace').splitlines()
    read = (read_version(line) for line in lines)
    return [event for event in read if event is not None]


def read_version(line: str) -> tuple[int, datetime] | None:
    """The version in force that a line tells of, and since when."""
    found = _EVENT.search(line)
    if found is None:
        return None
    return int(found[2]), datetime.fromisoformat(found[1])


def last_applied(log: Path) -> datetime:
    """When a daemon last put a version in force."""
    return read_versions(log)[-1][1]


def _first_at(
    applied: list[tuple[int, datetime]],
    offset: int,
) -> datetime | None:
    return next((at for version, at in applied if version >= offset), None)
