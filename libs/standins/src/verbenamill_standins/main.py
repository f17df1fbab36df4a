"""Command-line interface ``verbenamill-standin``."""

import logging
from pathlib import Path
from typing import Annotated

import trio
import typer

from verbenamill_standins.behaviour import Behaviour
from verbenamill_standins.log_server import LogService, make_log_app
from verbenamill_standins.run import run_app
from verbenamill_standins.upstream import UpstreamSettings, run_upstream

app = typer.Typer(
    help='Stand-ins for the external systems of the mesh; for tests only.',
    no_args_is_help=True,
)

Listen = Annotated[str, typer.Option(help='host:port to listen on.')]


@app.command('log')
def log_command(
    listen: Listen,
    retention_records: Annotated[
        int | None,
        typer.Option(
            min=1,
            help='Records retained per stream; all if omitted.',
        ),
    ] = None,
    appends_per_second: Annotated[
        float,
        typer.Option(help='Rate above which appends get 429.'),
    ] = 300,
) -> None:
    """Serve an in-memory stand-in for the log of the platform."""
    trio.run(_serve_log, listen, retention_records, appends_per_second)


@app.command('upstream')
def upstream_command(
    listen: Listen,
    service: Annotated[str, typer.Option(help='Name of the service.')],
    version: Annotated[str, typer.Option(help='Version of the service.')],
    admin: Annotated[
        str,
        typer.Option(help='Base URL of the admin API of the daemon.'),
    ] = '',
    slots: Annotated[
        int, typer.Option(help='Number of concurrent calls.')
    ] = 16,
    connections: Annotated[
        int, typer.Option(help='Announced connections.')
    ] = 130,
    starting_s: Annotated[
        float, typer.Option(help='Seconds until it is ready.')
    ] = 0,
    latency_ms: Annotated[float, typer.Option(help='Base latency.')] = 0,
    shed: Annotated[bool, typer.Option(help='503 if slots are full.')] = False,
    cold_start_s: Annotated[float, typer.Option()] = 0,
    cold_start_ms: Annotated[float, typer.Option()] = 0,
    fail_share: Annotated[float, typer.Option(help='Share of 500s.')] = 0,
    extra_ms: Annotated[float, typer.Option(help='Extra latency.')] = 0,
    stall_share: Annotated[float, typer.Option(help='Share unanswered.')] = 0,
    cut_share: Annotated[float, typer.Option(help='Share truncated.')] = 0,
    prefix: Annotated[str, typer.Option(help='Path prefix of faults.')] = '/',
    after_s: Annotated[float, typer.Option(help='Seconds before faults.')] = 0,
    above_running: Annotated[
        int,
        typer.Option(help='Running calls above which the faults apply.'),
    ] = 0,
    seed: Annotated[int, typer.Option(help='Seed of the random faults.')] = 0,
    journal: Annotated[
        Path | None,
        typer.Option(
            help='File to which the ID of each executed call is appended.'
        ),
    ] = None,
) -> None:
    """Run an upstream that announces itself to its daemon."""
    behaviour = Behaviour(
        latency_ms=latency_ms,
        shed=shed,
        cold_start_s=cold_start_s,
        cold_start_ms=cold_start_ms,
        fail_share=fail_share,
        extra_ms=extra_ms,
        stall_share=stall_share,
        cut_share=cut_share,
        prefix=prefix,
        after_s=after_s,
        above_running=above_running,
    )
    settings = UpstreamSettings(
        listen=listen,
        admin=admin,
        service=service,
        version=version,
        slots=slots,
        connections=connections,
        starting_s=starting_s,
        behaviour=behaviour,
        seed=seed,
        journal=journal,
    )
    trio.run(run_upstream, settings)


async def _serve_log(
    listen: str,
    retention: int | None,
    appends_per_second: float,
) -> None:
    service = LogService(
        retention=retention,
        appends_per_second=appends_per_second,
    )
    await run_app(make_log_app(service), listen)


def main() -> None:
    """Run the command-line interface."""
    logging.basicConfig(level=logging.WARNING)
    app()
