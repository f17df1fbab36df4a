"""Reads the benches' JSON, whichever files are given."""

from pathlib import Path

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
        plain = msgspec.json.decode(path.read_bytes())
        if 'experiments' in plain:
            measured.calls.append(msgspec.convert(plain, CallsReport))
        elif 'fleets' in plain:
            measured.convergence.append(
                msgspec.convert(plain, ConvergenceReport),
            )
        elif 'states' in plain:
            measured.states.append(msgspec.convert(plain, StateReport))
        elif 'runs' in plain:
            measured.faults.append(msgspec.convert(plain, FaultsReport))
        else:
            return Failure(f'{path} is no report of a bench')
    if measured.states and any(r.fleets for r in measured.convergence):
        return Success(measured)
    return Failure('give at least one report of state and of convergence')
