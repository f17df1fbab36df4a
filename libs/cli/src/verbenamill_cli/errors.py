"""Errors of the command line and exit codes of the commands."""

from enum import IntEnum, unique

from msgspec import Struct


@unique
class ExitCode(IntEnum):
    """Outcome of a command, for scripts.

    ``UNKNOWN`` is the only failure after which a ticket may be on the log.
    Running the same command again is safe.
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
    :param action: next step for the operator.
    :param faults: the individual faults, when there are several.
    """

    code: ExitCode
    message: str
    action: str
    faults: tuple[str, ...] = ()
