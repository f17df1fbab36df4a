"""The platform's log service behind a narrow interface.

Outcomes are values: an append that may or may not have taken effect says
so, since its caller has to look before it repeats it.
"""

from datetime import timedelta
from enum import Enum, unique
from typing import Protocol

from msgspec import Struct
from returns.result import Result

from verbenamill_model.entries import Entry
from verbenamill_model.typing import Offset


@unique
class LogFault(str, Enum):
    """What went wrong at the log.

    ``NOT_TAKEN`` is certain; after ``UNKNOWN`` the append may be there.
    """

    NOT_APPENDED = 'not-taken'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'
    EXPIRED = 'expired'


class LogError(Struct, frozen=True, kw_only=True):
    """A failed read or append.

    :param oldest: first offset still there, with ``EXPIRED``.
    """

    fault: LogFault
    detail: str
    oldest: Offset | None = None


class LogPage(Struct, frozen=True, kw_only=True):
    """Consecutive records from the offset that was asked for.

    :param oldest: first offset the log still has.
    :param end: offset that the next append will get.
    """

    entries: tuple[Entry, ...]
    oldest: Offset
    end: Offset


class Log(Protocol):
    """One client of the log service."""

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append one record and learn its offset."""

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one when there is none."""
