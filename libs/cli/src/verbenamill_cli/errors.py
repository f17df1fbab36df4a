"""Errors of the command line, and the exit codes they end in."""

from enum import IntEnum, unique

from msgspec import Struct


@unique
class ExitCode(IntEnum):
    """How a command ended, for scripts.

    ``UNKNOWN`` is the only one after which a ticket may be on the log
    although the command failed; the same command may be run again.
    """

    OK = 0
    FAULTY = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
    NOT_FOUND = 5
    LAGGING = 6
    REFUSED = 7


class CliError(Struct, frozen=True, kw_only=True):
    """Why a command failed.

    :param message: what was found and what was expected.
    :param action: what the operator does next.
    :param faults: single faults, when there are several.
    """

    code: ExitCode
    message: str
    action: str
    faults: tuple[str, ...] = ()
