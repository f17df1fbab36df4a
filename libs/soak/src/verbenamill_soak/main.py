"""``verbenamill-soak``: runs daemons under random faults."""

import sys
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import msgspec
import trio
import typer

from verbenamill_soak.nodes import USUAL_GRACE_S
from verbenamill_soak.plan import draw_grace
from verbenamill_soak.run import Report, RunOptions, run

#: Maximum number of events printed before the first violation.
_MAX_EVENTS_SHOWN = 25
_MAX_RANDOM_SEED = 1 << 32


def _soak(
    seed: Annotated[
        int,
        typer.Option(help='Seed of the first run; 0 chooses a random seed.'),
    ] = 0,
    runs: Annotated[
        int,
        typer.Option(min=1, help='Number of runs; each uses the next seed.'),
    ] = 1,
    minutes: Annotated[
        float,
        typer.Option(min=0.05, help='Duration of the faults in each run.'),
    ] = 0.5,
    processes: Annotated[
        int,
        typer.Option(min=2, max=200, help='Number of daemons.'),
    ] = 5,
    grace: Annotated[
        int,
        typer.Option(
            min=0,
            max=600,
            help='Seconds for a planned stop; 0 draws them from the seed.',
        ),
    ] = USUAL_GRACE_S,
    report: Annotated[
        Path | None,
        typer.Option(help='Directory for the reports and logs of the runs.'),
    ] = None,
) -> None:
    """Run daemons under random faults and check their guarantees."""
    first_seed = seed or SystemRandom().randrange(1, _MAX_RANDOM_SEED)
    failed = 0
    for seed_number in range(first_seed, first_seed + runs):
        options = RunOptions(
            seed=seed_number,
            vms=processes,
            seconds=minutes * 60,
            grace=grace or draw_grace(seed_number),
        )
        folder = None if report is None else report / str(seed_number)
        result = trio.run(run, options, folder)
        failed += bool(result.broken)
        _print_report(result)
        if folder is not None:
            data = msgspec.json.format(msgspec.json.encode(result))
            (folder / 'report.json').write_bytes(data)
    sys.exit(1 if failed else 0)


def _print_report(result: Report) -> None:
    options = result.wanted
    print(
        f'seed {options.seed}, {options.vms} daemons, {options.seconds:g} s, '
        f'grace {options.grace} s: '
        f'{result.verdict}; {result.requests}; '
        f'the soak itself was up to {result.worst_lag:.2f} s late, '
        f'{result.lag:.2f} s in all',
        flush=True,
    )
    if not result.broken:
        return
    first = result.broken[0]
    before = [one for one in result.moments if one.at <= first.at]
    for event in before[-_MAX_EVENTS_SHOWN:]:
        print(f'  {event.at:8.3f} s  {event.text}')
    for violation in result.broken[1:]:
        print(f'  then, at {violation.at:.3f} s: {violation.promise}')


def main() -> None:
    """Run the ``verbenamill-soak`` command."""
    typer.run(_soak)
