"""Executes one run and builds its report."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import trio
from msgspec import Struct

from verbenamill_soak.callers import Caller, Outcome, RequestRecord
from verbenamill_soak.cluster import Cluster
from verbenamill_soak.fault_injection import FaultInjector
from verbenamill_soak.guarantees import GuaranteeChecker
from verbenamill_soak.lag import EventLoopLag
from verbenamill_soak.nodes import USUAL_GRACE_S, Node
from verbenamill_soak.plan import generate_plan
from verbenamill_soak.relays import LinkMode
from verbenamill_soak.timeline import Timeline, TimelineEvent, Violation

#: Time after the last fault until all VMs have to serve requests again.
RECOVERY_TIMEOUT_S = 15.0
#: Callers on each VM.
CALLERS_PER_VM = 2


class RunOptions(Struct, frozen=True, kw_only=True):
    """Options of a run.

    :param seconds: duration of the faults; the recovery comes in addition.
    :param grace: time that daemons have for a planned stop, in seconds.
    """

    seed: int
    vms: int
    seconds: float
    grace: int = USUAL_GRACE_S


class Report(Struct, kw_only=True):
    """The result of a run.

    :param requests: number of requests by outcome or response status.
    :param worst_lag: longest lag of the soak process, in seconds.
    :param lag: sum of all lags of the soak process, in seconds.
    """

    wanted: RunOptions
    broken: list[Violation]
    requests: dict[str, int]
    moments: list[TimelineEvent]
    worst_lag: float
    lag: float

    @property
    def verdict(self) -> str:
        """The first violated guarantee, or ``kept`` if there is none."""
        if not self.broken:
            return 'kept'
        first = self.broken[0]
        return f'broken: {first.promise}'


async def run(options: RunOptions, folder: Path | None = None) -> Report:
    """Execute a run.

    :param folder: directory for settings and logs; ``None`` uses a temporary
        directory that is deleted after the run.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return await _run(options, folder)
    with TemporaryDirectory(prefix='verbenamill-soak-') as temporary_folder:
        return await _run(options, Path(temporary_folder))


async def _run(options: RunOptions, folder: Path) -> Report:
    timeline = Timeline()
    lag = EventLoopLag(timeline)
    async with trio.open_nursery() as nursery:
        cluster = Cluster(
            nursery, timeline, Random(options.seed), grace=options.grace
        )
        checker = GuaranteeChecker(cluster)
        try:
            await cluster.open(options.vms, folder)
            cluster.start_callers(CALLERS_PER_VM)
            nursery.start_soon(checker.watch)
            nursery.start_soon(lag.watch)
            await _inject_faults(cluster, options)
            await _check_recovery(cluster)
            checker.check()
        finally:
            await _kill_daemons(cluster)
        checker.check_logs()
        nursery.cancel_scope.cancel()
    return Report(
        wanted=options,
        broken=timeline.violations,
        requests=_count_outcomes(cluster.callers),
        moments=timeline.events,
        worst_lag=round(lag.worst, 3),
        lag=round(lag.total, 3),
    )


async def _inject_faults(cluster: Cluster, options: RunOptions) -> None:
    plan = generate_plan(options.seed, vms=options.vms, seconds=options.seconds)
    injector = FaultInjector(cluster)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in plan:
            await trio.sleep_until(started_at + fault.at)
            nursery.start_soon(injector.inject, fault)


async def _check_recovery(cluster: Cluster) -> None:
    """Check that all VMs serve the newest configuration after the faults."""
    cluster.publish()
    newest = cluster.get_versions()[-1]
    for node in cluster.nodes:
        for link in (node.peer_link, node.store_link, node.upstream_link):
            link.set_mode(LinkMode.OPEN)
    problems: dict[str, str] = {}

    async def check_node(node: Node) -> None:
        problem = await _find_recovery_problem(node, newest)
        problems.pop(node.name, None)
        if problem:
            problems[node.name] = f'{node.name}: {problem}'

    async def have_all_recovered() -> bool:
        # Checking many daemons sequentially would exceed the time limit.
        async with trio.open_nursery() as nursery:
            for node in cluster.nodes:
                nursery.start_soon(check_node, node)
        return not problems

    if not await cluster.wait_until(have_all_recovered, RECOVERY_TIMEOUT_S):
        cluster.timeline.add_violation('recovers', '; '.join(problems.values()))


async def _find_recovery_problem(node: Node, newest: int) -> str:
    caller = Caller(node, node.next_caller_index(), Random(0))
    for path, is_fee in ((f'/v{newest}/', False), ('/fee/', True)):
        record: RequestRecord = await caller.call(path, is_fee=is_fee)
        if record.status != 200:
            return f'{path} {record.outcome.value} {record.status}'
    return ''


async def _kill_daemons(cluster: Cluster) -> None:
    """Kill the daemons that this run has started, and no other processes."""
    with trio.CancelScope(shield=True):
        for node in cluster.nodes:
            await node.kill()


def _count_outcomes(callers: list[Caller]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for caller in callers:
        for record in caller.records:
            key = record.outcome.value
            if record.outcome is Outcome.ANSWERED:
                key = str(record.status)
            counts[key] = counts.get(key, 0) + 1
    return dict(sorted(counts.items()))
