"""The faults that ``verbenamill-bench faults`` brings about, two at a time.

Each takes its times and victims from a random generator with a seed, and
mends what it broke before it returns.
"""

from collections.abc import Callable
from random import Random

import trio
from returns.result import Failure, Result, Success

from verbenamill_bench.experiments import Trouble
from verbenamill_bench.fleet import Daemon, Fleet
from verbenamill_bench.setup import NEW_VERSION, change_ticket, publish
from verbenamill_bench.troubles import (
    OK,
    STOP_LIMIT,
    set_behaviour,
    silence_links,
)

#: A fault with its victims and times drawn from a generator.
FaultKind = Callable[[Random], Trouble]
#: Number of a ticket that both operators take.
RACING_TICKET = 5000
SPREAD = 1000
BAD_SHARE = 0.5


def herd_dies(random: Random) -> Trouble:
    """Half of the daemons die at once and return together."""
    away = random.uniform(1, 4)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        herd = random.sample(fleet.daemons, len(fleet.daemons) // 2)
        for daemon in herd:
            daemon.process.kill()
        for daemon in herd:
            await daemon.process.wait(STOP_LIMIT)
        await trio.sleep(away)
        for daemon in herd:
            daemon.process.restart()
        return OK

    return trouble


def daemon_stops(random: Random) -> Trouble:
    """One daemon is stopped gracefully and started again."""

    async def trouble(fleet: Fleet) -> Result[None, str]:
        daemon = random.choice(fleet.daemons)
        daemon.process.terminate()
        code = await daemon.process.wait(STOP_LIMIT)
        daemon.process.kill()
        await daemon.process.wait(STOP_LIMIT)
        daemon.process.restart()
        if code in {0, -9}:
            return OK
        return Failure(
            f'{daemon.id} stopped with {code}:\n{daemon.process.tail()}',
        )

    return trouble


def upstream_dies(random: Random) -> Trouble:
    """One upstream dies and is started again."""
    away = random.uniform(1, 4)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        upstream = random.choice(fleet.upstreams)
        upstream.process.kill()
        await upstream.process.wait(STOP_LIMIT)
        await trio.sleep(away)
        upstream.process.restart()
        # One that is asked to stop before it runs ends by the signal.
        return await fleet.wait_answers(
            upstream.process,
            f'http://{upstream.address}/control',
        )

    return trouble


def daemon_pauses(random: Random) -> Trouble:
    """One daemon is paused and wakes up late."""
    seconds = random.uniform(3, 7)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        process = random.choice(fleet.daemons).process
        process.pause()
        await trio.sleep(seconds)
        process.resume()
        return OK

    return trouble


def links_fall_silent(random: Random) -> Trouble:
    """Open connections for calls between daemons go silent, twice."""
    return silence_links(times=2, every=random.uniform(1, 3))


def zone_is_cut_off(random: Random) -> Trouble:
    """One availability zone and the others lose each other."""
    seconds = random.uniform(3, 7)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        zones = sorted({daemon.availability_zone for daemon in fleet.daemons})
        lost = random.choice(zones)
        for daemon in fleet.daemons:
            inside = daemon.availability_zone == lost
            cut = [zone for zone in zones if zone != lost] if inside else [lost]
            await _cut(fleet, daemon, cut)
        await trio.sleep(seconds)
        for daemon in fleet.daemons:
            await _cut(fleet, daemon, [])
        return OK

    return trouble


def log_is_down(random: Random) -> Trouble:
    """The log refuses everything for a while."""
    return _log_fault({'outage': True}, random.uniform(3, 8))


def log_is_slow(random: Random) -> Trouble:
    """The log answers late."""
    return _log_fault({'delay_ms': 1500}, random.uniform(4, 8))


def log_loses_answers(random: Random) -> Trouble:
    """Appends take effect and their answers are lost."""
    silently = random.choice((True, False))
    return _log_fault({'lose_answers': 4, 'lose_silently': silently}, 6)


def operators_race(random: Random) -> Trouble:
    """Two operators publish different tickets under the same number."""
    number = RACING_TICKET + random.randrange(SPREAD)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        async with trio.open_nursery() as nursery:
            for author in ('ann', 'bob'):
                nursery.start_soon(_race, fleet, number, author)
        return OK

    return trouble


def version_is_bad(random: Random) -> Trouble:
    """The new version fails half its calls from some moment on."""
    delay = random.uniform(0, 4)

    async def trouble(fleet: Fleet) -> Result[None, str]:
        await trio.sleep(delay)
        for upstream in fleet.upstreams:
            if upstream.version == NEW_VERSION:
                changed = await set_behaviour(
                    fleet,
                    upstream,
                    {'fail_share': BAD_SHARE},
                )
                if isinstance(changed, Failure) and upstream.process.alive:
                    return changed
        return OK

    return trouble


KINDS: dict[str, FaultKind] = {
    'herd-dies': herd_dies,
    'daemon-stops': daemon_stops,
    'upstream-dies': upstream_dies,
    'daemon-pauses': daemon_pauses,
    'links-fall-silent': links_fall_silent,
    'zone-is-cut-off': zone_is_cut_off,
    'log-is-down': log_is_down,
    'log-is-slow': log_is_slow,
    'log-loses-answers': log_loses_answers,
    'operators-race': operators_race,
    'version-is-bad': version_is_bad,
}
#: Faults in which an upstream or a daemon ends in the middle of calls.
DEADLY = frozenset(('herd-dies', 'upstream-dies'))


def _log_fault(faults: dict[str, object], seconds: float) -> Trouble:
    async def trouble(fleet: Fleet) -> Result[None, str]:
        control = f'{fleet.log_url}/control'
        await fleet.put(control, faults)
        await trio.sleep(seconds)
        mended = await fleet.put(control, {})
        return mended.map(lambda _: None)

    return trouble


async def _cut(fleet: Fleet, daemon: Daemon, zones: list[str]) -> None:
    # A daemon that another fault has killed cannot be told, and starts
    # without a cut.
    with trio.move_on_after(1):
        await fleet.post(f'{daemon.admin_url}/cut', {'zones': zones})


async def _race(fleet: Fleet, number: int, author: str) -> None:
    ticket = change_ticket(number, author=author)
    while not isinstance(await publish(fleet, ticket), Success):
        await trio.sleep(0.5)
