"""Reports and errors, as text for people or JSON for programs."""

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
    """What a command found.

    :param data: the same as a message, for ``--json``.
    :param lines: text for people.
    """

    data: Any
    lines: tuple[str, ...]
    code: ExitCode = ExitCode.OK


def finish(answer: Result[Report, CliError], *, as_json: bool) -> NoReturn:
    """Print what a command found and end with its exit code."""
    match answer:
        case Success(Report() as report):
            print_report(report, as_json=as_json)
            raise typer.Exit(report.code)
        case Failure(CliError() as error):
            print_error(error, as_json=as_json)
            raise typer.Exit(error.code)
    raise AssertionError('a result is a success or a failure')


def print_report(report: Report, *, as_json: bool) -> None:
    """Print one report; JSON takes one line."""
    if as_json:
        print(to_json(report.data))
    else:
        print('\n'.join(map(printable, report.lines)))
    # A reader at the other end of a pipe follows line by line.
    sys.stdout.flush()


def print_error(error: CliError, *, as_json: bool) -> None:
    """Print an error to the error output."""
    if as_json:
        print(to_json({'error': error}), file=sys.stderr)
        return
    faults = (f'  - {printable(fault)}' for fault in error.faults)
    lines = (f'error: {printable(error.message)}', *faults)
    print('\n'.join((*lines, f'what to do: {error.action}')), file=sys.stderr)


def to_json(value: Any) -> str:
    """One line of JSON."""
    return msgspec.json.encode(as_plain(value)).decode()


def printable(text: str) -> str:
    """Text without characters that could steer a terminal.

    Authors and notes come from other people's tickets.
    """
    return ''.join(
        symbol if symbol.isprintable() else repr(symbol)[1:-1]
        for symbol in text
    )


def show_time(moment: datetime) -> str:
    """Time to the second, in UTC."""
    return moment.astimezone(UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def table(
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> tuple[str, ...]:
    """Align rows under a header; the last column runs free."""
    cells = [[printable(str(cell)) for cell in row] for row in rows]
    cells.insert(0, list(header))
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    widths[-1] = 0
    return tuple(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
