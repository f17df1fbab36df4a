"""The command ``verbenamill-standin``."""

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
    help='Small stand-ins for what surrounds the mesh; for tests only.',
    no_args_is_help=True,
)

Listen = Annotated[str, typer.Option(help='host:port to serve on.')]


@app.command('log')
def log_command(
    listen: Listen,
    retention_records: Annotated[
        int | None,
        typer.Option(
            min=1,
            help='Records kept a stream; all when left out.',
        ),
    ] = None,
    appends_per_second: Annotated[
        float,
        typer.Option(help='Appends beyond it are answered 429.'),
    ] = 300,
) -> None:
    """Serve the platform's log from memory."""
    trio.run(_serve_log, listen, retention_records, appends_per_second)


@app.command('upstream')
def upstream_command(
    listen: Listen,
    service: Annotated[str, typer.Option(help='Service it belongs to.')],
    version: Annotated[str, typer.Option(help='Version of the service.')],
    admin: Annotated[
        str,
        typer.Option(help="Base URL of its daemon's admin API."),
    ] = '',
    slots: Annotated[int, typer.Option(help='Calls at a time.')] = 16,
    connections: Annotated[int, typer.Option(help='Connections.')] = 130,
    starting_s: Annotated[float, typer.Option(help='Time to readiness.')] = 0,
    latency_ms: Annotated[float, typer.Option(help='Time of a call.')] = 0,
    shed: Annotated[bool, typer.Option(help='503 above its slots.')] = False,
    cold_start_s: Annotated[float, typer.Option()] = 0,
    cold_start_ms: Annotated[float, typer.Option()] = 0,
    fail_share: Annotated[float, typer.Option(help='Answered 500.')] = 0,
    extra_ms: Annotated[float, typer.Option(help='Added latency.')] = 0,
    stall_share: Annotated[float, typer.Option(help='Never answered.')] = 0,
    cut_share: Annotated[float, typer.Option(help='Cut short.')] = 0,
    prefix: Annotated[str, typer.Option(help='Faults only there.')] = '/',
    after_s: Annotated[float, typer.Option(help='Faults only then.')] = 0,
    above_running: Annotated[
        int,
        typer.Option(help='Faults only while more calls run.'),
    ] = 0,
    seed: Annotated[int, typer.Option(help='Seed of the shares.')] = 0,
    journal: Annotated[
        Path | None,
        typer.Option(help='File for the id of each call that runs.'),
    ] = None,
) -> None:
    """Serve calls as an upstream that announces itself to its daemon."""
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
    """Entry point."""
    logging.basicConfig(level=logging.WARNING)
    app()
