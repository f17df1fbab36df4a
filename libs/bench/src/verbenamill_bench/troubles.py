"""What can happen to a fleet while callers run.

Each function makes a :data:`~verbenamill_bench.experiments.Trouble`.
"""

import trio
from returns.result import Failure, Result, Success

from verbenamill_bench.experiments import Trouble
from verbenamill_bench.fleet import Daemon, Fleet, Upstream
from verbenamill_bench.process import Process
from verbenamill_standins import Behaviour

OK: Result[None, str] = Success(None)
STOP_LIMIT = 20.0


def change_upstream(index: int, **changes: object) -> Trouble:
    """One upstream changes its behaviour."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        return await set_behaviour(fleet, fleet.upstreams[index], changes)

    return trouble


def kill_upstream(index: int) -> Trouble:
    """One upstream dies without a word."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        fleet.upstreams[index].process.kill()
        return OK

    return trouble


def drain_upstream(index: int) -> Trouble:
    """One upstream is stopped gracefully."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        return await fleet.stop_upstream(fleet.upstreams[index])

    return trouble


def kill_daemon(index: int, *, away: float) -> Trouble:
    """One daemon dies and returns after some time."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        daemon = fleet.daemons[index]
        daemon.process.kill()
        await daemon.process.wait(STOP_LIMIT)
        await trio.sleep(away)
        daemon.process.restart()
        return await fleet.wait_ready([daemon])

    return trouble


def pause_daemon(index: int, *, seconds: float) -> Trouble:
    """One daemon is paused and wakes up late."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        process = fleet.daemons[index].process
        process.pause()
        await trio.sleep(seconds)
        process.resume()
        return OK

    return trouble


def silence_links(*, times: int, every: float) -> Trouble:
    """All open connections between daemons go silent; new ones work."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        silenced = 0
        for _ in range(times):
            for daemon in fleet.daemons:
                if daemon.relay is not None:
                    daemon.relay.blackhole_connections()
                    silenced += daemon.relay.blackholed_connections
            await trio.sleep(every)
        return OK if silenced else Failure('no connection was open')

    return trouble


def restart_rolling() -> Trouble:
    """Every daemon in turn is stopped gracefully and started again."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        for daemon in fleet.daemons:
            restarted = await _restart(fleet, daemon)
            if isinstance(restarted, Failure):
                return restarted
        return OK

    return trouble


async def set_behaviour(
    fleet: Fleet,
    upstream: Upstream,
    changes: dict[str, object],
) -> Result[None, str]:
    """Change an upstream's behaviour while it runs."""
    known = set(Behaviour.__struct_fields__)
    assert known >= set(changes), f'unknown behaviour in {changes}'
    told = await fleet.put(f'http://{upstream.address}/control', changes)
    return told.map(lambda _: None)


async def _restart(fleet: Fleet, daemon: Daemon) -> Result[None, str]:
    process: Process = daemon.process
    process.terminate()
    code = await process.wait(STOP_LIMIT)
    if code != 0:
        process.kill()
        return Failure(
            f'{daemon.id} stopped with {code}, expected 0:\n{process.tail()}',
        )
    process.restart()
    ready = await fleet.wait_ready([daemon])
    if isinstance(ready, Failure):
        return ready
    return await fleet.wait_upstreams()
