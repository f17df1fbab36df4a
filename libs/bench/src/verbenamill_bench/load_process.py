"""Load generators as processes of their own.

A caller in the bench's own process would wait behind the bench's other
work, and its latencies would show the bench instead of the mesh.
"""

from pathlib import Path

import msgspec
import trio
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_made import CallMade
from verbenamill_bench.fleet import Fleet
from verbenamill_bench.load import Load, LoadSpec
from verbenamill_bench.process import Process

#: Time for a caller to start, and for its last calls to end, in seconds.
CALLER_GRACE = 40.0


def run_caller(spec_path: Path, calls_path: Path) -> None:
    """Body of the hidden command ``verbenamill-bench caller``."""
    spec = msgspec.json.decode(spec_path.read_bytes(), type=LoadSpec)
    calls = trio.run(Load(spec).run)
    calls_path.write_bytes(msgspec.json.encode(calls))


async def run_callers(
    fleet: Fleet,
    specs: list[LoadSpec],
) -> Result[list[CallMade], str]:
    """Run load generators at the same time; all their calls together."""
    paths = [fleet.directory / f'{spec.name}.calls' for spec in specs]
    running = [
        _start(fleet, spec, path)
        for spec, path in zip(specs, paths, strict=True)
    ]
    calls: list[CallMade] = []
    for spec, path, process in zip(specs, paths, running, strict=True):
        code = await process.wait(spec.seconds + CALLER_GRACE)
        if code != 0:
            process.kill()
            return Failure(
                f'{process.name} ended with {code}:\n{process.tail()}',
            )
        calls += msgspec.json.decode(path.read_bytes(), type=list[CallMade])
    return Success(calls)


def _start(fleet: Fleet, spec: LoadSpec, calls_path: Path) -> Process:
    spec_path = fleet.directory / f'{spec.name}.spec'
    spec_path.write_bytes(msgspec.json.encode(spec))
    command = ['verbenamill-bench', 'caller', str(spec_path), str(calls_path)]
    process = Process(
        f'caller-{spec.name}',
        command,
        fleet.directory / f'{spec.name}.out',
    )
    fleet.callers.append(process)
    return process
