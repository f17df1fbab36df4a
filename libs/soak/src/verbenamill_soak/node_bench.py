"""``verbenamill-node-bench``: processor time and latency of the daemon."""

import os
import re
import subprocess
import sys
import time
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import trio
import typer
from msgspec import Struct

from verbenamill_bench.figures import (
    Latencies,
    Machine,
    describe_machine,
    summarize,
)
from verbenamill_bench.printing import print_report
from verbenamill_platform_standins.ports import find_ports
from verbenamill_soak.daemon_fleet import (
    HOST,
    Fleet,
    SendRequest,
    make_sender,
    open_fleet,
    process_cpu,
    write_settings,
)

_CONCURRENCY = 16
#: Slots of an upstream. With fewer than there are callers, requests would be
#: refused, which costs less than to answer them.
_DEFAULT_SLOTS = 64
#: Part of the highest rate at which latency is measured.
_LATENCY_SHARE = 0.1
#: Time in which a fleet without requests settles after its start.
_SETTLE_TIME_S = 15.0
#: Time between two tries to connect to a starting daemon.
_POLL_INTERVAL_S = 0.002
_START_TIMEOUT_S = 60.0
_IMPORT_LINE = re.compile(r'import time:\s+(\d+) \|\s+\d+ \|\s+(\S+)')
_LISTED_IMPORTS = 25

app = typer.Typer(no_args_is_help=True)


class RequestFigures(Struct, kw_only=True):
    """Requests of one kind; times in milliseconds.

    :param rate: highest rate of the daemons, in requests per second.
    :param cpu: processor time of all daemons per request, at this rate.
    :param cpu_at_share: the same at a tenth of the rate, of which a large part
        is spent on tasks that do not depend on requests.
    :param stand_ins_cpu: processor time of callers and stand-ins per request.
    :param latency: at a tenth of the rate.
    """

    kind: str
    rate: float
    cpu: float
    cpu_at_share: float
    stand_ins_cpu: float
    latency: Latencies


class IdleFigures(Struct, kw_only=True):
    """Processor time of one daemon in a fleet without requests.

    :param settling: in the first seconds after the start, in milliseconds.
    :param idle: milliseconds per second after that.
    """

    daemons: int
    settling: float
    idle: float


class RequestReport(Struct, kw_only=True):
    """Result of ``request``."""

    machine: Machine
    requests: list[RequestFigures] = []
    idle: list[IdleFigures] = []


class StartReport(Struct, kw_only=True):
    """Result of ``start``; times in milliseconds.

    :param listening: median time from the start until it listens.
    :param cpu: median of its processor time until then.
    :param imports: of the slowest modules, without what they import.
    """

    machine: Machine
    listening: float
    cpu: float
    import_total: float
    imports: dict[str, float]


async def _load(
    send: SendRequest, path: str, *, seconds: float, rate: float
) -> list[float]:
    """Send requests; return their latencies in seconds.

    :param rate: requests per second; 0 for as many as are answered.
    """
    latencies: list[float] = []
    began = trio.current_time()

    async def work(number: int) -> None:
        while trio.current_time() < began + seconds:
            if rate:
                await trio.sleep_until(began + number / rate)
            sent = trio.current_time()
            await send(path, f'{began:.4f}-{number}')
            latencies.append(trio.current_time() - sent)
            number += _CONCURRENCY

    async with trio.open_nursery() as nursery:
        for index in range(_CONCURRENCY):
            nursery.start_soon(work, index)
    return latencies


async def _measure_kind(
    fleet: Fleet, kind: str, target: tuple[int, str], seconds: float
) -> RequestFigures:
    load = partial(_load, make_sender(target[0]), target[1])
    await load(seconds=1, rate=0)
    before = fleet.cpu
    own = time.process_time()
    full = len(await load(seconds=seconds, rate=0))
    own = time.process_time() - own
    middle = fleet.cpu
    rate = full / seconds
    latencies = await load(seconds=seconds, rate=_LATENCY_SHARE * rate)
    return RequestFigures(
        kind=kind,
        rate=round(rate, 1),
        cpu=round((middle - before) / full, 3),
        cpu_at_share=round((fleet.cpu - middle) / len(latencies), 3),
        stand_ins_cpu=round(1000 * own / full, 3),
        latency=summarize(latencies),
    )


async def _measure_requests(
    seconds: float, *, daemons: int, slots: int, fleets: list[int]
) -> RequestReport:
    report = RequestReport(machine=describe_machine())
    async with open_fleet(daemons, slots=slots) as fleet:
        upstream_port = int(fleet.upstreams[0].address.rpartition(':')[2])
        caller_port = fleet.ports[2][0]
        for kind, port, path in (
            ('no daemon', upstream_port, '/lookup/1'),
            ('own upstream', caller_port, '/photo/1'),
            ('another upstream', caller_port, '/lookup/1'),
            ('with a nested call', caller_port, '/nesting/1'),
        ):
            report.requests.append(
                await _measure_kind(fleet, kind, (port, path), seconds)
            )
    for daemons in fleets:
        report.idle.append(await _measure_idle(daemons, seconds))
    return report


async def _measure_idle(daemons: int, seconds: float) -> IdleFigures:
    async with open_fleet(daemons, slots=0) as fleet:
        await trio.sleep(_SETTLE_TIME_S)
        before = fleet.cpu
        await trio.sleep(seconds)
        return IdleFigures(
            daemons=daemons,
            settling=round(before / daemons, 1),
            idle=round((fleet.cpu - before) / daemons / seconds, 3),
        )


async def _measure_start(runs: int, installation: Path | None) -> StartReport:
    python = sys.executable
    environment = dict(os.environ)
    if installation is not None:
        python = f'{sys.base_prefix}/bin/python3'
        environment['PYTHONPATH'] = str(installation.absolute())
    with TemporaryDirectory() as folder:
        ports = find_ports(5)
        address = f'{HOST}:9'
        path = write_settings(
            Path(folder), 0, ports, upstream=address, store=address
        )
        command = [python, '-m', 'verbenamill_node', str(path)]
        times = [
            await _start_once(command, environment, ports[4])
            for _ in range(runs)
        ]
    ran = subprocess.run(
        [python, '-X', 'importtime', '-c', 'import verbenamill_node.startup'],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    imports = {
        name: int(own) / 1000 for own, name in _IMPORT_LINE.findall(ran.stderr)
    }
    slowest = sorted(imports.items(), key=lambda found: -found[1])
    return StartReport(
        machine=describe_machine(),
        listening=round(sorted(one[0] for one in times)[runs // 2], 1),
        cpu=round(sorted(one[1] for one in times)[runs // 2], 1),
        import_total=round(sum(imports.values()), 1),
        imports=dict(slowest[:_LISTED_IMPORTS]),
    )


async def _start_once(
    command: list[str], environment: dict[str, str], port: int
) -> tuple[float, float]:
    """Start a daemon; return time and processor time until it listens."""
    began = time.perf_counter()
    process = await trio.lowlevel.open_process(
        command, stdout=subprocess.DEVNULL, env=environment
    )
    try:
        with trio.fail_after(_START_TIMEOUT_S):
            while not await _is_listening(port):
                await trio.sleep(_POLL_INTERVAL_S)
        elapsed = 1000 * (time.perf_counter() - began)
        return elapsed, process_cpu(process.pid)
    finally:
        process.kill()
        await process.wait()


async def _is_listening(port: int) -> bool:
    try:
        stream = await trio.open_tcp_stream(HOST, port)
    except OSError:
        return False
    await stream.aclose()
    return True


AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@app.command('request')
def request_command(
    seconds: Annotated[float, typer.Option(help='Length of each load.')] = 5,
    daemons: Annotated[int, typer.Option(min=3, help='Daemons.')] = 12,
    slots: Annotated[
        int, typer.Option(min=_CONCURRENCY, help='Of an upstream.')
    ] = _DEFAULT_SLOTS,
    fleet: Annotated[
        list[int] | None,
        typer.Option(help='Daemons of an idle fleet; may be given again.'),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Measure requests, and idle fleets."""
    report = trio.run(
        partial(
            _measure_requests,
            seconds,
            daemons=daemons,
            slots=slots,
            fleets=fleet or [],
        )
    )
    print_report(report, as_json=as_json)


@app.command('start')
def start_command(
    runs: Annotated[int, typer.Option(min=1, help='Number of starts.')] = 9,
    installation: Annotated[
        Path | None,
        typer.Option(
            help='Directory that deploy/build.sh has made. Otherwise this '
            'environment is measured, which may have no compiled modules.',
        ),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Measure the time from the start of a process until it listens."""
    report = trio.run(_measure_start, runs, installation)
    print_report(report, as_json=as_json)


if __name__ == '__main__':
    app()
