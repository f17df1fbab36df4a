"""``verbenamill-soak``: real daemons under random faults."""

import sys
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import msgspec
import trio
import typer

from verbenamill_soak.run import Report, Wanted, run

#: Moments shown before the first broken promise.
_SHOWN = 25
_FRESH = 1 << 32


def _soak(
    seed: Annotated[
        int,
        typer.Option(help='Seed of the first run; 0 draws one.'),
    ] = 0,
    runs: Annotated[
        int,
        typer.Option(min=1, help='Runs; each has the next seed.'),
    ] = 1,
    minutes: Annotated[
        float,
        typer.Option(min=0.05, help='Time with troubles, for each run.'),
    ] = 0.5,
    processes: Annotated[
        int,
        typer.Option(min=2, max=200, help='Daemons.'),
    ] = 5,
    report: Annotated[
        Path | None,
        typer.Option(help='Folder for reports and for logs of broken runs.'),
    ] = None,
) -> None:
    """Run daemons under random faults and check what they promise."""
    first = seed or SystemRandom().randrange(1, _FRESH)
    failed = 0
    for number in range(first, first + runs):
        wanted = Wanted(seed=number, vms=processes, seconds=minutes * 60)
        folder = None if report is None else report / str(number)
        found = trio.run(run, wanted, folder)
        failed += bool(found.broken)
        _tell(found)
        if folder is not None:
            data = msgspec.json.format(msgspec.json.encode(found))
            (folder / 'report.json').write_bytes(data)
    sys.exit(1 if failed else 0)


def _tell(found: Report) -> None:
    wanted = found.wanted
    print(
        f'seed {wanted.seed}, {wanted.vms} daemons, {wanted.seconds:g} s: '
        f'{found.verdict}; {found.requests}; '
        f'the soak itself was up to {found.worst_lag:.2f} s late, '
        f'{found.lag:.2f} s in all',
        flush=True,
    )
    if not found.broken:
        return
    first = found.broken[0]
    before = [one for one in found.moments if one.at <= first.at]
    for moment in before[-_SHOWN:]:
        print(f'  {moment.at:8.3f} s  {moment.text}')
    for broken in found.broken[1:]:
        print(f'  then, at {broken.at:.3f} s: {broken.promise}')


def main() -> None:
    """Entry point of ``verbenamill-soak``."""
    typer.run(_soak)
