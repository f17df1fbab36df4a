"""Starting and stopping fleets of real processes on loopback."""

import shutil
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from random import SystemRandom
from typing import Any

import httpx
import msgspec
import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.ports import free_ports
from verbenamill_bench.process import Process
from verbenamill_model.status import Status
from verbenamill_standins import Behaviour, Relay

#: Longest that a process may take to stop when asked, in seconds: a little
#: above the daemon's own shutdown_timeout, after which it gives up calls.
STOP_TIMEOUT = 35.0
START_TIMEOUT = 60.0
#: Daemons of each availability zone that are in all settings' seeds.
SEEDS = 2
_POLL = 0.05
_SETTINGS = """\
[vm]
id = "{id}"
availability_zone = "{availability_zone}"
region = "{region}"

[listen]
calls = "{calls}"
control = "{control}"
admin = "{admin}"
{advertise}

[log]
url = "{log_url}"

[mesh]
seeds = [{seeds}]

[logging]
level = "{level}"

[test]
switches = true
"""


class _Plan(Struct, kw_only=True, frozen=True):
    id: str
    availability_zone: str
    calls: str
    control: str
    admin: str

    @property
    def is_seed(self) -> bool:
        """Whether every daemon's settings name it: two a zone."""
        return int(self.id.rsplit('-', 1)[1]) <= SEEDS


class Daemon(Struct, kw_only=True):
    """A daemon process and its addresses.

    :param relay: what the other daemons reach its ``calls`` through.
    """

    id: str
    availability_zone: str
    calls: str
    control: str
    admin: str
    process: Process
    relay: Relay | None = None

    @property
    def admin_url(self) -> str:
        """Base URL of its admin API."""
        return f'http://{self.admin}'


class Upstream(Struct, kw_only=True):
    """A stand-in upstream and the daemon that owns it."""

    service: str
    version: str
    address: str
    daemon: Daemon
    process: Process
    journal: Path
    slots: int
    connections: int


class Fleet:
    """The processes of one run, with their files in one directory.

    :param nursery: runs relays.
    :param seed: decides on ports; other runs on the machine get others.
    """

    def __init__(
        self,
        directory: Path,
        nursery: trio.Nursery,
    ) -> None:
        self.directory = directory
        self._nursery = nursery
        self.daemons: list[Daemon] = []
        self.upstreams: list[Upstream] = []
        #: Journals of all upstreams, also of those that have ended.
        self.journals: list[Path] = []
        #: Load generators, so that none outlives the run.
        self.callers: list[Process] = []
        self.log_address = ''
        self.client = httpx.AsyncClient(timeout=5, trust_env=False)
        # Two runs with one seed at the same time would take each other's
        # ports; nothing that is measured or decided depends on them.
        self._ports = free_ports(SystemRandom())
        self._log: Process | None = None

    @property
    def log(self) -> Process:
        """The stand-in log's process."""
        assert self._log is not None, 'the log is started first'
        return self._log

    @property
    def log_url(self) -> str:
        """Base URL of the stand-in log."""
        return f'http://{self.log_address}'

    async def start_log(
        self,
        *,
        retention: int | None = None,
        appends_per_second: float = 300,
    ) -> Result[None, str]:
        """Start the stand-in log and wait until it answers."""
        self.log_address = next(self._ports)
        command = ['verbenamill-standin', 'log', '--listen', self.log_address]
        command += ['--appends-per-second', str(appends_per_second)]
        if retention is not None:
            command += ['--retention-records', str(retention)]
        self._log = Process('log', command, self.directory / 'log.out')
        return await self.wait_answers(self._log, f'{self.log_url}/control')

    def add_daemons(
        self,
        zones: dict[str, int],
        *,
        level: str = 'info',
        relayed: bool = False,
    ) -> list[Daemon]:
        """Start daemons without waiting for them.

        :param zones: number of daemons by availability zone.
        :param relayed: whether they reach each other's ``calls`` through a
            relay that can fall silent.
        """
        planned = [
            self._plan(f'{zone}-{number}', zone)
            for zone, count in zones.items()
            for number in range(1, count + 1)
        ]
        seeds = [plan.control for plan in planned if plan.is_seed]
        started = [
            self._start_daemon(plan, seeds, level=level, relayed=relayed)
            for plan in planned
        ]
        self.daemons += started
        return started

    def add_upstream(
        self,
        daemon: Daemon,
        service: str,
        version: str,
        *,
        behaviour: Behaviour | None = None,
        slots: int = 16,
        connections: int = 130,
    ) -> Upstream:
        """Start an upstream that announces itself to its daemon."""
        address = next(self._ports)
        name = f'{service}-{version}-{daemon.id}'
        journal = self.directory / f'{name}.journal'
        command = ['verbenamill-standin', 'upstream', '--listen', address]
        command += ['--admin', daemon.admin_url]
        command += ['--service', service, '--version', version]
        command += ['--slots', str(slots), '--connections', str(connections)]
        command += ['--journal', str(journal)]
        command += _behaviour_options(behaviour or Behaviour())
        started = Upstream(
            service=service,
            version=version,
            address=address,
            daemon=daemon,
            process=Process(name, command, self.directory / f'{name}.out'),
            journal=journal,
            slots=slots,
            connections=connections,
        )
        self.upstreams.append(started)
        if journal not in self.journals:
            self.journals.append(journal)
        return started

    async def wait_answers(
        self,
        process: Process,
        url: str,
        *,
        seconds: float = START_TIMEOUT,
    ) -> Result[None, str]:
        """Wait until a process answers a GET, or has ended."""

        async def answers() -> bool:
            if not process.alive:
                return True
            return isinstance(await self.get(url), Success)

        answered = await poll(answers, seconds=seconds)
        if not process.alive:
            return Failure(
                f'{process.name} ended with exit code {process.exit_code}:\n'
                f'{process.tail()}',
            )
        if not answered:
            return Failure(
                f'{process.name} does not answer {url} within {seconds:g} s:\n'
                f'{process.tail()}',
            )
        return Success(None)

    async def wait_ready(
        self,
        daemons: Iterable[Daemon] | None = None,
        *,
        seconds: float = START_TIMEOUT,
    ) -> Result[None, str]:
        """Wait until all daemons answer ``/readyz`` with 200."""
        chosen = list(daemons or self.daemons)
        for daemon in chosen:
            waited = await self.wait_answers(
                daemon.process,
                f'{daemon.admin_url}/readyz',
                seconds=seconds,
            )
            if isinstance(waited, Failure):
                return waited
        return Success(None)

    async def wait_upstreams(
        self,
        upstreams: Iterable[Upstream] | None = None,
        *,
        seconds: float = START_TIMEOUT,
    ) -> Result[None, str]:
        """Wait until every daemon knows that the upstreams are ready."""
        wanted = {
            (upstream.daemon.id, upstream.version)
            for upstream in upstreams or self.upstreams
        }

        async def all_known() -> bool:
            for daemon in self.daemons:
                if daemon.process.alive and wanted - await self._known(daemon):
                    return False
            return True

        if await poll(all_known, seconds=seconds):
            return Success(None)
        return Failure(f'upstreams are not known everywhere in {seconds:g} s')

    async def status(self, daemon: Daemon) -> Result[Status, str]:
        """A daemon's status, or why there is none."""
        answer = await self.get(f'{daemon.admin_url}/status')
        return answer.map(lambda told: msgspec.convert(told, Status))

    async def wait_version(
        self,
        version: int,
        *,
        seconds: float = 10,
    ) -> Result[None, str]:
        """Wait until every living daemon runs at least a version."""
        behind: list[str] = []

        async def none_behind() -> bool:
            behind.clear()
            for daemon in self.daemons:
                status = await self.status(daemon)
                if status.map(_version_of).value_or(-1) < version:
                    behind.append(daemon.id)
            return not behind

        if await poll(none_behind, seconds=seconds):
            return Success(None)
        return Failure(
            f'version {version} is not in force after {seconds:g} s on '
            f'{", ".join(behind)}',
        )

    async def get(self, url: str) -> Result[Any, str]:
        """Read a JSON answer."""
        try:
            response = await self.client.get(url)
        except httpx.HTTPError as error:
            return Failure(f'{url}: {error!r}')
        if response.is_error:
            return Failure(f'{url}: {response.status_code} {response.text}')
        return Success(response.json())

    async def put(self, url: str, body: object) -> Result[Any, str]:
        """Send JSON and read the JSON answer."""
        return await self._send('PUT', url, body)

    async def post(self, url: str, body: object) -> Result[Any, str]:
        """Send JSON and read the JSON answer."""
        return await self._send('POST', url, body)

    async def stop_upstream(self, upstream: Upstream) -> Result[None, str]:
        """Stop an upstream gracefully."""
        self.upstreams.remove(upstream)
        upstream.process.terminate()
        return await _wait_stopped(upstream.process)

    async def stop(self) -> Result[None, str]:
        """Stop everything gracefully: upstreams, daemons, then the log."""
        groups = (
            [upstream.process for upstream in self.upstreams],
            [daemon.process for daemon in self.daemons],
            [] if self._log is None else [self._log],
        )
        faults: list[str] = []
        for group in groups:
            for process in group:
                process.resume()
                process.terminate()
            for process in group:
                stopped = await _wait_stopped(process)
                if isinstance(stopped, Failure):
                    faults.append(stopped.failure())
        return Failure('; '.join(faults)) if faults else Success(None)

    async def end(self) -> None:
        """End whatever still runs, and close."""
        for process in self._processes():
            process.kill()
        for process in self._processes():
            await process.wait(STOP_TIMEOUT)
        await self.client.aclose()

    def _processes(self) -> list[Process]:
        found = [upstream.process for upstream in self.upstreams]
        found += [daemon.process for daemon in self.daemons]
        found += self.callers
        return found if self._log is None else [*found, self._log]

    def _plan(self, name: str, zone: str) -> '_Plan':
        return _Plan(
            id=name,
            availability_zone=zone,
            calls=next(self._ports),
            control=next(self._ports),
            admin=next(self._ports),
        )

    def _start_daemon(
        self,
        plan: '_Plan',
        seeds: list[str],
        *,
        level: str,
        relayed: bool,
    ) -> Daemon:
        relay: Relay | None = None
        advertise = ''
        if relayed:
            told = next(self._ports)
            relay = Relay(plan.calls)
            self._nursery.start_soon(relay.serve, told)
            advertise = f'advertise_calls = "{told}"'
        path = self.directory / f'{plan.id}.toml'
        path.write_text(
            _SETTINGS.format(
                **msgspec.structs.asdict(plan),
                region='loopback',
                advertise=advertise,
                log_url=self.log_url,
                seeds=', '.join(f'"{seed}"' for seed in seeds),
                level=level,
            ),
        )
        process = Process(
            plan.id,
            ['verbenamilld', '--config', str(path)],
            self.directory / f'{plan.id}.out',
        )
        return Daemon(
            **msgspec.structs.asdict(plan),
            process=process,
            relay=relay,
        )

    async def _known(self, daemon: Daemon) -> set[tuple[str, str]]:
        told = await self.get(f'{daemon.admin_url}/members')
        return {
            (member['id'], member['upstream']['version'])
            for member in told.value_or([])
            if member['upstream'] and member['upstream']['state'] == 'ready'
        }

    async def _send(
        self,
        method: str,
        url: str,
        body: object,
    ) -> Result[Any, str]:
        try:
            response = await self.client.request(method, url, json=body)
        except httpx.HTTPError as error:
            return Failure(f'{url}: {error!r}')
        if response.is_error:
            return Failure(f'{url}: {response.status_code} {response.text}')
        return Success(response.json() if response.content else None)


@asynccontextmanager
async def open_fleet() -> AsyncIterator[Fleet]:
    """A fleet whose processes are ended when the block is left.

    Its directory is removed, unless :func:`keep_files` was called.
    """
    directory = Path(tempfile.mkdtemp(prefix='verbenamill-'))
    async with trio.open_nursery() as nursery:
        fleet = Fleet(directory, nursery)
        try:
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                await fleet.end()
            if not (directory / _KEEP).exists():
                shutil.rmtree(directory)
        nursery.cancel_scope.cancel()


_KEEP = 'keep'


def keep_files(fleet: Fleet) -> Path:
    """Leave the fleet's logs and settings in place for a look at them."""
    (fleet.directory / _KEEP).touch()
    return fleet.directory


async def poll(
    is_true: Callable[[], Awaitable[bool]],
    *,
    seconds: float,
    every: float = _POLL,
) -> bool:
    """Ask again and again until it is true or the time is up."""
    with trio.move_on_after(seconds):
        while not await is_true():
            await trio.sleep(every)
        return True
    return False


def _version_of(status: Status) -> int:
    return status.version


def _behaviour_options(behaviour: Behaviour) -> list[str]:
    options: list[str] = []
    for name, value in msgspec.to_builtins(behaviour).items():
        option = f'--{name.replace("_", "-")}'
        if isinstance(value, bool):
            options += [option] if value else []
        else:
            options += [option, str(value)]
    return options


async def _wait_stopped(process: Process) -> Result[None, str]:
    code = await process.wait(STOP_TIMEOUT)
    if code == 0:
        return Success(None)
    if code is None:
        return Failure(
            f'{process.name} did not stop within {STOP_TIMEOUT:g} s',
        )
    return Failure(
        f'{process.name} stopped with exit code {code}:\n{process.tail()}',
    )
