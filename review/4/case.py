"""A server answers uploads early and without a length, and crashes midway."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[0] / 'support2'))

from standins import Upstream, run_case

BOUNDS = {
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
}
SLOTS = 12
UPLOADS = 6
DEADLINE_MS = 8000
#: Time for which a server is down, in seconds.
DOWN_S = 4.0
BODY_BYTES = 360_000
ANSWER_BYTES = 9000


class UpstreamProcess(Upstream):
    """Has its requests served by a process of its own; sends heartbeats here."""

    process = None
    #: All processes that the case has started.
    started = []

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            'python3', str(FOLDER / 'server.py'), str(self.port), self.id,
            str(self.slots), str(ANSWER_BYTES),
            stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )
        self.started.append(self.process)
        await self.process.stdout.readline()
        self._record.add('server', self.id, 'starts at', self.address)
        self._reader = asyncio.create_task(self._follow())
        self._beats = asyncio.create_task(self._beat())

    async def _follow(self):
        while line := await self.process.stdout.readline():
            words = line.decode().split()
            self._record.add('server', self.id, *words)
            if words[0] == 'runs':
                self.runs.append(words[1])

    def crash(self):
        """Kill the process."""
        self._record.add('server', self.id, 'is killed')
        self._beats.cancel()
        self.process.kill()


async def scenario(record, with_trouble, make_site):
    site = make_site(zones=['z1', 'z2', 'z3'], bounds=BOUNDS)
    site.processes = UpstreamProcess.started
    upstreams = []
    for number, zone in enumerate(site.zones):
        upstream = UpstreamProcess(
            record, service='studio', zone=zone, slots=SLOTS
        )
        machine = site.add(
            f'm{number}', zone=zone, service='studio', upstream_port=upstream.port
        )
        upstream.control = machine.control
        upstreams.append(upstream)
    site.configure(
        1, [('photo', 'upload', DEADLINE_MS, 3000, 'studio')], ['studio']
    )
    for machine in site.machines:
        await machine.start()
    for machine in site.machines:
        await machine.wait_ready()
    for upstream in upstreams:
        await upstream.start()
    await asyncio.sleep(4)
    broken = []
    for number, machine in enumerate(site.machines):
        await run_round(machine, upstreams, number, with_trouble, broken)
        if with_trouble:
            await asyncio.sleep(DOWN_S)
            upstreams[number] = await replace(upstreams[number], record)
        await asyncio.sleep(4)
    return broken


async def run_round(machine, upstreams, number, with_trouble, broken):
    """Send uploads to one machine, and kill the server beside it."""

    async def upload(place):
        id = f'upload{number}-{place}'
        answer = await machine.call(
            'POST', f'/photo/{place}', id,
            deadline_ms=DEADLINE_MS, body=b'x' * BODY_BYTES,
        )
        return id, answer

    calls = [asyncio.create_task(upload(place)) for place in range(UPLOADS)]
    while sum(len(one.runs) for one in upstreams) < UPLOADS:
        if all(call.done() for call in calls):
            break
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    if with_trouble:
        upstreams[number].crash()
    for call in calls:
        id, answer = await call
        whole = id.encode().ljust(ANSWER_BYTES, b'.')
        if 200 <= answer.status < 300 and answer.body != whole:
            broken.append(
                f'the client of {id} got {answer.status} with a body of '
                f'{len(answer.body)} bytes that looks complete; the answer of '
                f'the server has {ANSWER_BYTES} bytes'
            )
    for upstream in upstreams:
        upstream.runs.clear()


async def replace(old, record):
    """Start a server at the address of one that was killed."""
    new = UpstreamProcess(
        record, service=old.service, zone=old.zone, slots=SLOTS, port=old.port
    )
    new.control = old.control
    await new.start()
    return new


run_case(FOLDER, scenario)
