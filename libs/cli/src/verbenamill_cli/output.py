"""Formatting of reports and errors, as plain text or JSON."""

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any, NoReturn

import msgspec
import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_model import as_plain


class Report(Struct, frozen=True, kw_only=True):
    """Result of a command.

    :param data: value that ``--json`` prints.
    :param lines: the same result as lines of plain text.
    """

    data: Any
    lines: tuple[str, ...]
    code: ExitCode = ExitCode.OK


def print_and_exit(
    result: Result[Report, CliError],
    *,
    as_json: bool,
) -> NoReturn:
    """Print the report or error and exit with its code."""
    match result:
        case Success(Report() as report):
            print_report(report, as_json=as_json)
            raise typer.Exit(report.code)
        case Failure(CliError() as error):
            print_error(error, as_json=as_json)
            raise typer.Exit(error.code)
    raise AssertionError('unreachable: neither Success nor Failure')


def print_report(report: Report, *, as_json: bool) -> None:
    """Print a report, in JSON as a single line."""
    if as_json:
        print(to_json(report.data))
    else:
        print('\n'.join(map(escape_unprintable, report.lines)))
    # Programs that read the output through a pipe need each line at once.
    sys.stdout.flush()


def print_error(error: CliError, *, as_json: bool) -> None:
    """Print an error to standard error."""
    if as_json:
        print(to_json({'error': error}), file=sys.stderr)
        return
    faults = (f'  - {escape_unprintable(fault)}' for fault in error.faults)
    lines = (f'error: {escape_unprintable(error.message)}', *faults)
    print('\n'.join((*lines, f'what to do: {error.action}')), file=sys.stderr)


def to_json(value: Any) -> str:
    """Encode a value as one line of JSON."""
    return msgspec.json.encode(as_plain(value)).decode()


def escape_unprintable(text: str) -> str:
    """Escape characters that could control the terminal.

    Authors and notes are untrusted text from the tickets of other people.
    """
    return ''.join(
        char if char.isprintable() else repr(char)[1:-1] for char in text
    )


def format_time(time: datetime) -> str:
    """Format a time in UTC, to the second."""
    return time.astimezone(UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def format_table(
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> tuple[str, ...]:
    """Align rows under a header; the last column is not padded."""
    cells = [[escape_unprintable(str(cell)) for cell in row] for row in rows]
    cells.insert(0, list(header))
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    widths[-1] = 0
    return tuple(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
