"""Reading the newest records of a stream."""

from returns.result import Failure, Result, Success

from verbenamill_model import Entry
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogPage


async def read_newest_records(
    log: Log,
    stream: str,
    count: int,
) -> Result[tuple[Entry, ...], LogError]:
    """Read the last records of a stream, even if older ones expired."""
    match await _read_available_page(log, stream):
        case Success(LogPage() as page):
            start = max(page.oldest, page.end - count)
            newest = await log.read(stream, Offset(start), limit=count)
            return newest.map(_entries_of)
        case Failure(LogError() as error):
            return Failure(error)
    raise AssertionError('a result is a success or a failure')


async def _read_available_page(
    log: Log, stream: str
) -> Result[LogPage, LogError]:
    first = await log.read(stream, Offset(0), limit=1)
    if isinstance(first, Failure):
        oldest = first.failure().oldest
        if oldest is not None:
            return await log.read(stream, oldest, limit=1)
    return first


def _entries_of(page: LogPage) -> tuple[Entry, ...]:
    return page.entries
