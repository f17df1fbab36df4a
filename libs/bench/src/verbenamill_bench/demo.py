"""The demo: two availability zones, a move that is done, one taken back."""

import json
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from functools import cached_property
from typing import Any

import msgspec
import trio
import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_made import (
    CallMade,
    CallPlan,
    Ending,
    find_broken,
    read_journals,
)
from verbenamill_bench.fleet import (
    Fleet,
    Upstream,
    keep_files,
    open_fleet,
    poll,
)
from verbenamill_model.status import Status
from verbenamill_bench.load import Load, LoadSpec
from verbenamill_bench.process import BIN
from verbenamill_standins import Behaviour

SERVICE = 'entries'
LATENCY = Behaviour(latency_ms=5)
#: Version 3 fails half its calls.
BAD = Behaviour(latency_ms=5, fail_share=0.5)
#: From a ticket to its deadline. A bad version shows at the small shares,
#: so its move is given more time at them.
MOVE_TIME = timedelta(seconds=10)
BAD_MOVE_TIME = timedelta(seconds=18)
RATE = 60
RUN_LIMIT = 55.0

#: After a verdict, time until every proxy must follow it.
SETTLE = 1.5
#: How long the calls after a move are looked at.
LOOK = 1.5
VERDICT_EVERY = 0.2
VERDICT_GRACE = 4.0
PLANS = (
    CallPlan(path='/entries/classes'),
    CallPlan(method='POST', path='/entries/fees', body=b'steer', once=True),
)

Step = Callable[['Demo'], Awaitable[Result[None, str]]]


class _Move(Struct):
    ticket: int


class _Verdict(Struct):
    move: _Move
    kind: str
    reason: str


class _Proxy(Struct):
    id: str
    availability_zone: str
    version: int
    offset: int
    reason: str = ''


class _Listed(Struct):
    daemons: list[_Proxy]


class Demo:
    """What the steps of the demo share."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.tickets = 0
        self._started = trio.current_time()

    def say(self, text: str) -> None:
        """Print a progress line."""
        typer.echo(f'{trio.current_time() - self._started:5.1f} s  {text}')

    async def publish(self, text: str) -> Result[None, str]:
        """Publish a ticket with the command-line tool."""
        self.tickets += 1
        path = self.fleet.directory / f'ticket-{self.tickets}.toml'
        path.write_text(
            f'number = {self.tickets}\nauthor = "demo"\n{text}',
        )
        published = await self.tool(
            'ticket',
            'publish',
            str(path),
            '--log',
            self.fleet.log_url,
        )
        return published.map(lambda _: None)

    async def tool(self, *options: str) -> Result[Any, str]:
        """Run ``verbenamill`` and read its JSON."""
        command = [str(BIN / 'verbenamill'), *options, '--json']
        ended = await trio.run_process(
            command,
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        shown = f'verbenamill {" ".join(options)}'
        if ended.returncode:
            return Failure(
                f'{shown} ended with {ended.returncode}: '
                f'{_text(ended.stderr) or _text(ended.stdout)}',
            )
        return _read_json(shown, ended.stdout)

    @cached_property
    def load(self) -> Load:
        """Calls of both kinds to all daemons."""
        return Load(
            LoadSpec(
                name='demo',
                targets=tuple(daemon.calls for daemon in self.fleet.daemons),
                plans=PLANS,
                seconds=RUN_LIMIT,
                rate=RATE,
            ),
        )

    def upstream(self, index: int, version: str, behaviour: Behaviour) -> None:
        """Start an upstream beside a daemon."""
        self.fleet.add_upstream(
            self.fleet.daemons[index],
            SERVICE,
            version,
            behaviour=behaviour,
        )


async def start(demo: Demo) -> Result[None, str]:
    """Start the log, the daemons and upstreams of two versions."""
    fleet = demo.fleet
    demo.say('starting the stand-in log')
    logged = await fleet.start_log()
    if isinstance(logged, Failure):
        return logged
    demo.say('starting availability zones az-1 and az-2, two daemons each')
    fleet.add_daemons({'az-1': 2, 'az-2': 2})
    ready = await fleet.wait_ready()
    if isinstance(ready, Failure):
        return ready
    demo.say('starting upstreams: v1 and v2 in each availability zone')
    for index, version in enumerate(('v1', 'v2', 'v1', 'v2')):
        demo.upstream(index, version, LATENCY)
    return await fleet.wait_upstreams()


async def install(demo: Demo) -> Result[None, str]:
    """Publish the service and its route; wait until all run it."""
    demo.say('publishing ticket 1: service entries at v1, and its route')
    published = await demo.publish(
        f'[[services]]\nname = "{SERVICE}"\nversion = "v1"\n'
        f'[[routes]]\nname = "{SERVICE}"\nprefix = "/entries"\n'
        f'service = "{SERVICE}"\n',
    )
    if isinstance(published, Failure):
        return published
    return await demo.fleet.wait_version(0)


async def move_to_good(demo: Demo) -> Result[None, str]:
    """Move the service to v2, which is good."""
    return await _move(demo, 'v2', 'done', MOVE_TIME)


async def replace_old(demo: Demo) -> Result[None, str]:
    """Replace the upstreams of v1, now unused, by ones of v3."""
    demo.say('replacing the upstreams of v1 by v3, which fails half its calls')
    old = [known for known in demo.fleet.upstreams if known.version == 'v1']
    faults: list[str] = []
    async with trio.open_nursery() as nursery:
        for upstream in old:
            nursery.start_soon(_stop_upstream, demo, upstream, faults)
    if faults:
        return Failure('; '.join(faults))
    for index in (0, 2):
        demo.upstream(index, 'v3', BAD)
    return await demo.fleet.wait_upstreams()


async def move_to_bad(demo: Demo) -> Result[None, str]:
    """Move the service to v3, which is bad and has to be taken back."""
    return await _move(demo, 'v3', 'taken-back', BAD_MOVE_TIME)


async def show_status(demo: Demo) -> Result[None, str]:
    """Print what every proxy runs; all must run the same."""
    daemons = demo.fleet.daemons
    told = await demo.tool('status', '--daemon', daemons[0].admin_url)
    if isinstance(told, Failure):
        return told
    listed = msgspec.convert(told.unwrap(), _Listed)
    for proxy in listed.daemons:
        demo.say(
            f'{proxy.id} in {proxy.availability_zone} runs version '
            f'{proxy.version} (log offset {proxy.offset}) {proxy.reason}',
        )
    if len(listed.daemons) != len(daemons):
        return Failure(f'{len(daemons)} proxies run, status tells of {listed}')
    digests = {
        (await demo.fleet.status(daemon)).map(_digest_of).value_or('')
        for daemon in daemons
    }
    if len(digests) == 1:
        return Success(None)
    return Failure(f'proxies run different states: {sorted(digests)}')


FIRST_STEPS: tuple[Step, ...] = (start, install)
#: Steps during which calls are sent.
STEPS: tuple[Step, ...] = (
    move_to_good,
    replace_old,
    move_to_bad,
    show_status,
)


async def run_demo() -> Result[None, str]:
    """Run the whole demo; a failure says in plain words what went wrong."""
    async with open_fleet() as fleet:
        demo = Demo(fleet)
        result = await _run_steps(demo)
        demo.say('stopping everything gracefully')
        stopped = await fleet.stop()
        if isinstance(result, Success):
            result = stopped
        if isinstance(result, Success):
            result = _check_calls(demo)
        if isinstance(result, Failure):
            return Failure(
                f'{result.failure()}\nlogs are kept in {keep_files(fleet)}',
            )
        demo.say('done')
        return result


async def _run_steps(demo: Demo) -> Result[None, str]:
    with trio.move_on_after(RUN_LIMIT):
        async with trio.open_nursery() as nursery:
            for first in FIRST_STEPS:
                result = await first(demo)
                if isinstance(result, Failure):
                    return result
            demo.say(f'sending {RATE} calls a second through all daemons')
            nursery.start_soon(demo.load.run)
            for step in STEPS:
                result = await step(demo)
                if isinstance(result, Failure):
                    break
            demo.load.stop()
        return result
    return Failure(f'the demo did not end within {RUN_LIMIT:g} s')


async def _move(
    demo: Demo, version: str, expected: str, within: timedelta
) -> Result[None, str]:
    deadline = datetime.now(UTC) + within
    began = trio.current_time()
    ticket = demo.tickets + 1
    demo.say(
        f'publishing ticket {ticket}: {SERVICE} to {version} within '
        f'{within.total_seconds():g} s',
    )
    published = await demo.publish(
        f'[[services]]\nname = "{SERVICE}"\nversion = "{version}"\n'
        f'deadline = {deadline.isoformat()}\n',
    )
    if isinstance(published, Failure):
        return published
    settled = await _wait_verdict(demo, ticket, within)
    if isinstance(settled, Failure):
        return settled
    verdict = settled.unwrap()
    demo.say(f'verdict: {SERVICE} {version} {verdict.kind}: {verdict.reason}')
    if verdict.kind != expected:
        return Failure(
            f'the move to {version} was {verdict.kind}, expected {expected}',
        )
    demo.say(f'calls during the move: {_shares(demo, began)}')
    await trio.sleep(SETTLE)
    settled_at = trio.current_time()
    await trio.sleep(LOOK)
    demo.say(f'calls after the move:  {_shares(demo, settled_at)}')
    return _check_after(demo, settled_at, version, expected)


async def _wait_verdict(
    demo: Demo, ticket: int, within: timedelta
) -> Result[_Verdict, str]:
    async def is_settled() -> bool:
        # A daemon is asked until the verdict is there, since the tool takes
        # a second to start; what is shown is what the tool says.
        url = f'{demo.fleet.daemons[0].admin_url}/verdicts'
        return _has_verdict(await demo.fleet.get(url), ticket)

    limit = within.total_seconds() + VERDICT_GRACE
    if await poll(is_settled, seconds=limit, every=VERDICT_EVERY):
        told = await demo.tool('verdicts', '--log', demo.fleet.log_url)
        return told.bind(lambda plain: _find_verdict(plain, ticket))
    return Failure(f'ticket {ticket} has no verdict after {limit:g} s')


def _has_verdict(told: Result[Any, str], ticket: int) -> bool:
    found = told.bind(lambda plain: _find_verdict(plain, ticket))
    return isinstance(found, Success)


def _find_verdict(plain: Any, ticket: int) -> Result[_Verdict, str]:
    for verdict in msgspec.convert(plain, list[_Verdict]):
        if verdict.move.ticket == ticket:
            return Success(verdict)
    return Failure(f'there is no verdict on ticket {ticket} in {plain}')


def _since(demo: Demo, moment: float) -> list[CallMade]:
    return [call for call in demo.load.calls if call.intended >= moment]


def _shares(demo: Demo, since: float) -> str:
    calls = _since(demo, since)
    counts = Counter(call.version or call.ending.value for call in calls)
    return ', '.join(
        f'{version} {count} ({count / len(calls):.0%})'
        for version, count in sorted(counts.items())
    )


def _check_after(
    demo: Demo,
    since: float,
    version: str,
    expected: str,
) -> Result[None, str]:
    answered = {call.version for call in _since(demo, since)}
    is_done = expected == 'done'
    if is_done and answered != {version}:
        return Failure(f'after the move calls are answered by {answered}')
    if not is_done and version in answered:
        return Failure(f'{version} was taken back and still answers calls')
    return Success(None)


def _check_calls(demo: Demo) -> Result[None, str]:
    calls = demo.load.calls
    endings = Counter(call.ending.value for call in calls)
    demo.say(f'{len(calls)} calls: {dict(sorted(endings.items()))}')
    broken = find_broken(calls, read_journals(demo.fleet.journals))
    if broken.total:
        return Failure(f'promises to callers were broken: {broken}')
    bad = [
        call
        for call in calls
        if call.ending is not Ending.OK and call.version != 'v3'
    ]
    if bad:
        return Failure(f'{len(bad)} calls failed without cause: {bad[0]}')
    return Success(None)


async def _stop_upstream(
    demo: Demo,
    upstream: Upstream,
    faults: list[str],
) -> None:
    stopped = await demo.fleet.stop_upstream(upstream)
    if isinstance(stopped, Failure):
        faults.append(stopped.failure())


def _digest_of(status: Status) -> str:
    return status.digest


def _read_json(shown: str, text: bytes) -> Result[Any, str]:
    try:
        return Success(json.loads(text))
    except ValueError as error:
        return Failure(f'{shown} printed no JSON ({error}): {_text(text)}')


def _text(output: bytes) -> str:
    return output.decode(errors='replace').strip()
