"""Reads the benches' JSON, whichever files are given."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_bench import CallsReport
from verbenamill_bench.convergence import ConvergenceReport
from verbenamill_bench.faults import FaultsReport
from verbenamill_bench.state_cost import StateReport


class Measured(Struct, kw_only=True):
    """All reports, by kind, in the order of the files."""

    calls: list[CallsReport] = []
    convergence: list[ConvergenceReport] = []
    states: list[StateReport] = []
    faults: list[FaultsReport] = []


def read_reports(paths: list[Path]) -> Result[Measured, str]:
    """Read the reports, told apart by their fields."""
    measured = Measured()
    for path in paths:
        try:
            _read_into(measured, path)
        except (OSError, ValueError) as error:
            return Failure(f'{path} is no whole report of a bench: {error}')
    if measured.states and any(r.fleets for r in measured.convergence):
        return Success(measured)
    return Failure('give at least one report of state and of convergence')


def _read_into(measured: Measured, path: Path) -> None:
    plain = msgspec.json.decode(path.read_bytes())
    for field, read in _READERS.items():
        if field in plain:
            read(measured, plain)
            return
    raise ValueError(f'it has none of the fields {", ".join(_READERS)}')


#: How a report is read, by a field that only its kind has.
_READERS: Mapping[str, Callable[[Measured, Any], None]] = {
    'experiments': lambda measured, plain: measured.calls.append(
        msgspec.convert(plain, CallsReport),
    ),
    'fleets': lambda measured, plain: measured.convergence.append(
        msgspec.convert(plain, ConvergenceReport),
    ),
    'states': lambda measured, plain: measured.states.append(
        msgspec.convert(plain, StateReport),
    ),
    'runs': lambda measured, plain: measured.faults.append(
        msgspec.convert(plain, FaultsReport),
    ),
}
