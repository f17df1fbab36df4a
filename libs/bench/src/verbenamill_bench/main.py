"""The command ``verbenamill-bench``."""

import trio
import typer
from returns.result import Failure

from verbenamill_bench.demo import run_demo

app = typer.Typer(
    help='Demo and measurements of verbenamill on real processes.',
    no_args_is_help=True,
)


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


def main() -> None:
    """Entry point."""
    app()
