"""The command ``verbenamill-bench``."""

from functools import partial
from pathlib import Path
from typing import Annotated

import trio
import typer
from returns.result import Failure

from verbenamill_bench.calls_bench import measure_calls
from verbenamill_bench.capacity import render_capacity
from verbenamill_bench.convergence import measure_convergence
from verbenamill_bench.demo import run_demo
from verbenamill_bench.faults import find_faults
from verbenamill_bench.load_process import run_caller
from verbenamill_bench.measured import read_reports
from verbenamill_bench.moves import moves_command
from verbenamill_bench.printing import print_report
from verbenamill_bench.state_cost import measure_state

app = typer.Typer(
    help='Demo and measurements of verbenamill on real processes.',
    no_args_is_help=True,
)


#: Up to the two-year sizes.
STATE_SIZES = [100, 400, 1200]
MEMBER_SIZES = [1000, 5000, 25_000]


@app.callback()
def root() -> None:
    """Demo and measurements of verbenamill on real processes."""


@app.command('demo')
def demo_command() -> None:
    """Move a service on four daemons, and take a bad version back."""
    result = trio.run(run_demo)
    if isinstance(result, Failure):
        typer.echo(f'demo failed: {result.failure()}', err=True)
        raise typer.Exit(1)


AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@app.command('calls')
def calls_command(
    seconds: Annotated[
        float,
        typer.Option(min=5, help='Length of each load.'),
    ] = 8,
    only: Annotated[
        str,
        typer.Option(help='Only experiments with this text in the name.'),
    ] = '',
    as_json: AsJson = False,
) -> None:
    """Measure what the mesh adds to a call, and count broken promises."""
    report = trio.run(partial(measure_calls, seconds=seconds, only=only))
    print_report(report, as_json=as_json)
    is_broken = any(known.events for known in report.experiments)
    if report.failures or is_broken:
        raise typer.Exit(1)


@app.command('convergence')
def convergence_command(
    daemons: Annotated[
        list[int],
        typer.Option(min=4, help='Size of a fleet; may be given again.'),
    ],
    as_json: AsJson = False,
) -> None:
    """Measure how changes reach every proxy, and what control costs."""
    report = trio.run(measure_convergence, daemons)
    print_report(report, as_json=as_json)
    if report.failures:
        raise typer.Exit(1)


@app.command('faults')
def faults_command(
    seed: Annotated[int, typer.Option(help='Seed of the first run.')],
    runs: Annotated[int, typer.Option(min=1, help='Seeds to run.')] = 1,
    kind: Annotated[
        list[str] | None,
        typer.Option(help='These faults instead of two by chance.'),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Bring about two faults at once and check the promises."""
    report = trio.run(
        partial(
            find_faults,
            seed=seed,
            count=runs,
            kinds=tuple(kind or ()),
        ),
    )
    print_report(report, as_json=as_json)
    if any(run.broken for run in report.runs):
        raise typer.Exit(1)


@app.command('state')
def state_command(
    services: Annotated[
        list[int] | None,
        typer.Option(help='Services of a state; may be given again.'),
    ] = None,
    members: Annotated[
        list[int] | None,
        typer.Option(help='Members of a table; may be given again.'),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Measure what a daemon's state costs as it grows, in one process."""
    report = measure_state(
        services or STATE_SIZES,
        members or MEMBER_SIZES,
    )
    print_report(report, as_json=as_json)


@app.command('capacity')
def capacity_command(
    reports: Annotated[
        list[Path],
        typer.Argument(help='JSON of calls, convergence, state and faults.'),
    ],
    out: Annotated[Path, typer.Option(help='Page to write.')],
) -> None:
    """Write the capacity page from the benches' JSON."""
    measured = read_reports(reports)
    if isinstance(measured, Failure):
        typer.echo(measured.failure(), err=True)
        raise typer.Exit(1)
    out.write_text(render_capacity(measured.unwrap()))


app.command('moves')(moves_command)


@app.command('caller', hidden=True)
def caller_command(spec: Path, calls: Path) -> None:
    """Send the calls of a specification; the benches start it."""
    run_caller(spec, calls)


def main() -> None:
    """Entry point."""
    app()
