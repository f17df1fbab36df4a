"""What must hold after faults, checked from outside the daemons."""

from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from msgspec import Struct
from returns.result import Failure

from verbenamill_bench.applied import read_version
from verbenamill_bench.calls_made import (
    CallMade,
    Ending,
    find_broken,
    read_journals,
)
from verbenamill_bench.fleet import Fleet, poll

#: After the last fault is mended, time for everything to be in force.
HEAL_LIMIT = 20.0
#: After a bad version's verdict, time until nothing reaches it any more.
TAKE_BACK_LIMIT = timedelta(seconds=3)
#: Characters of a traceback that are shown.
SHOWN = 600
_STARTED = ' VM1001 '


class Move(Struct):
    """The move that a verdict settles."""

    ticket: int


class Verdict(Struct):
    """What a bench reads of a verdict."""

    move: Move
    kind: str
    at: datetime
    reason: str


class Settled(Struct):
    """A verdict in words, and the promises that it broke."""

    text: str = ''
    broken: list[str] = []


def check_calls(
    calls: list[CallMade],
    fleet: Fleet,
    *,
    may_cut: bool,
) -> list[str]:
    """Promises to callers.

    :param may_cut: whether a process that held calls was killed.
    """
    runs = read_journals(fleet.journals)
    broken = find_broken(calls, runs)
    faults = []
    if broken.total:
        examples = [
            call.id for call in calls if find_broken([call], runs).total
        ]
        faults.append(f'promises to callers broken: {broken} {examples[:5]}')
    cut = [
        call.id for call in calls if call.ending in {Ending.LOST, Ending.BROKEN}
    ]
    if cut and not may_cut:
        faults.append(f'{len(cut)} calls were cut, such as {cut[:3]}')
    return faults


async def check_limits(fleet: Fleet) -> list[str]:
    """No upstream had more calls or connections than it allows."""
    faults = []
    for upstream in fleet.upstreams:
        told = await fleet.get(f'http://{upstream.address}/control')
        if isinstance(told, Failure):
            continue
        counters = told.unwrap()['counters']
        if counters['most_running'] > upstream.slots:
            faults.append(f'{upstream.process.name} had {counters}')
    return faults


async def check_convergence(fleet: Fleet) -> list[str]:
    """All daemons run the log's last record, and the same state."""
    behind: list[str] = []

    async def none_behind() -> bool:
        told = await fleet.get(
            f'{fleet.log_url}/streams/config/records?from=0&limit=1',
        )
        end = told.map(_end_of).value_or(-1)
        behind.clear()
        digests = set()
        for daemon in fleet.daemons:
            status = await fleet.status(daemon)
            if isinstance(status, Failure):
                behind.append(f'{daemon.id}: {status.failure()}')
                continue
            known = status.unwrap()
            digests.add(known.digest)
            if known.offset + 1 != end or not known.ready:
                behind.append(f'{daemon.id}: {known}, the log ends at {end}')
        if len(digests) > 1:
            behind.append(f'digests differ: {sorted(digests)}')
        return not behind

    if await poll(none_behind, seconds=HEAL_LIMIT, every=0.2):
        return []
    return [f'not in force {HEAL_LIMIT:g} s after the faults: {behind}']


def check_processes(fleet: Fleet) -> list[str]:
    """No daemon ended by itself, and no version ever fell."""
    faults = [
        f'{daemon.id} ended with {daemon.process.exit_code}: '
        f'{daemon.process.tail()}'
        for daemon in fleet.daemons
        if not daemon.process.alive
    ]
    for daemon in fleet.daemons:
        faults += check_versions(daemon.process.log)
        faults += check_crashes(daemon.process.log)
    return faults


def check_versions(log: Path) -> list[str]:
    """Versions only grow in each life of a daemon."""
    last = -1
    faults = []
    for line in log.read_text(errors='replace').splitlines():
        if _STARTED in line:
            last = -1
        event = read_version(line)
        if event is not None:
            if event[0] <= last:
                faults.append(f'{log.stem} went from {last} to {event[0]}')
            last = event[0]
    return faults


def check_crashes(log: Path) -> list[str]:
    """No traceback, which a failed assertion would leave."""
    text = log.read_text(errors='replace')
    where = text.find('Traceback (most recent call last)')
    if where < 0:
        return []
    trace = text[where:]
    return [f'{log.stem} crashed: ...{trace[-SHOWN:]}']


async def check_verdict(
    fleet: Fleet,
    ticket: int,
    calls: Callable[[], list[CallMade]],
    *,
    is_bad: bool,
    version: str,
    seconds: float,
) -> Settled:
    """The move has one verdict, and a bad version none of the traffic.

    :param calls: read once the verdict is there.
    """

    async def is_settled() -> bool:
        return bool(await _read_verdicts(fleet, ticket))

    if not await poll(is_settled, seconds=seconds, every=0.3):
        return Settled(broken=[f'ticket {ticket} has no verdict'])
    found = await _read_verdicts(fleet, ticket)
    verdict = found[0]
    told = f'{verdict.kind}: {verdict.reason}'
    faults: list[str] = []
    if len(found) > 1:
        faults.append(f'ticket {ticket} has {len(found)} verdicts')
    if is_bad and verdict.kind != 'taken-back':
        faults.append(f'a bad version was {told}')
    if verdict.kind == 'taken-back':
        limit = (verdict.at + TAKE_BACK_LIMIT).timestamp()
        late = [
            call
            for call in calls()
            if call.version == version and call.at > limit
        ]
        if late:
            faults.append(f'{len(late)} calls reached {version} after {told}')
    return Settled(text=told, broken=faults)


async def _read_verdicts(fleet: Fleet, ticket: int) -> list[Verdict]:
    told = await fleet.get(f'{fleet.daemons[0].admin_url}/verdicts')
    verdicts = msgspec.convert(told.value_or([]), list[Verdict])
    return [one for one in verdicts if one.move.ticket == ticket]


def _end_of(plain: dict[str, int]) -> int:
    return plain['end']
