"""One run from its seed to its report."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import trio
from msgspec import Struct

from verbenamill_soak.callers import Asked, Caller, Ending
from verbenamill_soak.lag import Lag
from verbenamill_soak.nodes import Node
from verbenamill_soak.plan import draw_plan
from verbenamill_soak.guarantees import Promises
from verbenamill_soak.relays import Way
from verbenamill_soak.cluster import Site
from verbenamill_soak.timeline import Broken, Moment, Timeline
from verbenamill_soak.fault_injection import Troubles

#: After the last trouble is lifted, time until all is served again, in s.
RECOVERY_LIMIT = 15.0
#: Callers on each VM.
CALLERS = 2


class Wanted(Struct, frozen=True, kw_only=True):
    """What to run.

    :param seconds: time with troubles; the recovery comes on top.
    """

    seed: int
    vms: int
    seconds: float


class Report(Struct, kw_only=True):
    """What became of a run.

    :param requests: by how they ended and their status.
    :param worst_lag: of the soak's own process, in seconds.
    :param lag: the sum of all its lags, in seconds.
    """

    wanted: Wanted
    broken: list[Broken]
    requests: dict[str, int]
    moments: list[Moment]
    worst_lag: float
    lag: float

    @property
    def verdict(self) -> str:
        """The first promise that did not hold, or that all were kept."""
        if not self.broken:
            return 'kept'
        first = self.broken[0]
        return f'broken: {first.promise}'


async def run(wanted: Wanted, folder: Path | None = None) -> Report:
    """Play a run.

    :param folder: where settings and logs go; none keeps them for the run.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await _run(wanted, folder)
    with TemporaryDirectory(prefix='verbenamill-soak-') as made:
        return await _run(wanted, Path(made))


async def _run(wanted: Wanted, folder: Path) -> Report:
    timeline = Timeline()
    lag = Lag(timeline)
    async with trio.open_nursery() as nursery:
        site = Site(nursery, timeline, Random(wanted.seed))
        promises = Promises(site)
        try:
            await site.open(wanted.vms, folder)
            site.begin_traffic(CALLERS)
            nursery.start_soon(promises.watch)
            nursery.start_soon(lag.watch)
            await _play(site, wanted)
            await _check_recovery(site)
            promises.look()
        finally:
            await _end(site)
        promises.check_logs()
        nursery.cancel_scope.cancel()
    return Report(
        wanted=wanted,
        broken=timeline.broken,
        requests=_count(site.callers),
        moments=timeline.moments,
        worst_lag=round(lag.worst, 3),
        lag=round(lag.total, 3),
    )


async def _play(site: Site, wanted: Wanted) -> None:
    plan = draw_plan(wanted.seed, vms=wanted.vms, seconds=wanted.seconds)
    troubles = Troubles(site)
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for trouble in plan:
            await trio.sleep_until(began + trouble.at)
            nursery.start_soon(troubles.play, trouble)


async def _check_recovery(site: Site) -> None:
    """Everything serves the newest configuration once all is lifted."""
    site.publish()
    newest = site.get_versions()[-1]
    for node in site.nodes:
        for switch in (node.peers, node.to_store, node.to_upstream):
            switch.set(Way.OPEN)
    behind: dict[str, str] = {}

    async def look(node: Node) -> None:
        fault = await _find_fault(node, newest)
        behind.pop(node.name, None)
        if fault:
            behind[node.name] = f'{node.name}: {fault}'

    async def is_well() -> bool:
        # One after the other, many daemons would take all of the time.
        async with trio.open_nursery() as nursery:
            for node in site.nodes:
                nursery.start_soon(look, node)
        return not behind

    if not await site.until(is_well, RECOVERY_LIMIT):
        site.timeline.break_promise('recovers', '; '.join(behind.values()))


async def _find_fault(node: Node, newest: int) -> str:
    caller = Caller(node, node.next_place(), Random(0))
    for path, is_fee in ((f'/v{newest}/', False), ('/fee/', True)):
        asked: Asked = await caller.call(path, is_fee=is_fee)
        if asked.status != 200:
            return f'{path} {asked.ending.value} {asked.status}'
    return ''


async def _end(site: Site) -> None:
    """End the processes that this run has started, and no others."""
    with trio.CancelScope(shield=True):
        for node in site.nodes:
            await node.end()


def _count(callers: list[Caller]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for caller in callers:
        for asked in caller.asked:
            told = asked.ending.value
            if asked.ending is Ending.ANSWERED:
                told = str(asked.status)
            counts[told] = counts.get(told, 0) + 1
    return dict(sorted(counts.items()))
