"""Interface to the platform's log service.

Failures are returned as values. An append whose outcome is unknown is
reported as such, because the caller has to read the log before a retry.
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
    """Kinds of failures of the log service.

    After ``NOT_APPENDED`` the log certainly lacks the record; after
    ``UNKNOWN`` the record may have been appended.
    """

    NOT_APPENDED = 'not-taken'
    THROTTLED = 'throttled'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'
    EXPIRED = 'expired'


class LogError(Struct, frozen=True, kw_only=True):
    """A failed read or append.

    :param oldest: first offset that the log still has, with ``EXPIRED``.
    """

    fault: LogFault
    detail: str
    oldest: Offset | None = None


class LogPage(Struct, frozen=True, kw_only=True):
    """Consecutive records that start at the requested offset.

    :param oldest: first offset that the log still has.
    :param end: offset that the next appended record will get.
    """

    entries: tuple[Entry, ...]
    oldest: Offset
    end: Offset


class Log(Protocol):
    """Client of the log service."""

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset."""

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one if there is none yet."""
