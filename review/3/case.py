"""An acknowledged leave that the store lacks is forgotten in a restart."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

from standins import call, configuration, main  # noqa: E402

ROUTES = [('lookup', 'idempotent', 1000, 400, 'entries')]
VMS = 6
CLIENTS = 12
#: Bounds of the site.
DRAIN_S = 2.0
STABLE_S = 3.0
#: Length of the store's outage, in seconds.
OUTAGE_S = 2.0
#: For how long the daemons are down, in seconds.
DOWN_S = 1.4
#: Time for which the backend goes on serving after the acknowledgement.
SERVES_S = 12.0


async def scenario(fleet, record, trouble):
    document = configuration(1, ROUTES, ['entries'])
    vms = [
        (f'z{number % 3 + 1}', 'entries', {'work': 0.05})
        for number in range(VMS)
    ]
    if not await fleet.open(vms, document):
        record.say('the daemons did not become ready')
        return None
    ids = itertools.count()
    sent = {}
    stopping = asyncio.Event()

    async def run_client(number):
        vm = number % VMS
        while not stopping.is_set():
            id = f'r{next(ids)}'
            sent[id] = time.monotonic()
            record(f'client of vm{vm}: {id} sent GET /lookup/1')
            status, _, _ = await call(
                fleet.daemons[vm].callers,
                'GET',
                '/lookup/1',
                id=id,
                deadline_ms=1000,
            )
            record(f'client of vm{vm}: {id} answered {status}')
            await asyncio.sleep(0.2)

    tasks = [asyncio.ensure_future(run_client(one)) for one in range(CLIENTS)]
    # The daemons save the members of each zone within 8 s of a change.
    await asyncio.sleep(10)
    began = time.monotonic()
    if trouble:
        fleet.store.mode = 'busy'
        record('the store answers 503 from now on')
    await asyncio.sleep(0.5)
    backend = fleet.backends[0]
    fleet.stop_beats(0)
    path, body = backend.leave()
    status, _, _ = await call(
        fleet.daemons[0].announcements, 'POST', path, body=body, wait=1
    )
    acknowledged = time.monotonic()
    record.say(f'deregister of i-0: answered {status}')
    if status != 200:
        # Without an acknowledgement nothing binds.
        stopping.set()
        await asyncio.gather(*tasks)
        return None if not trouble else False
    stable_at = acknowledged
    if trouble:
        for daemon in fleet.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(max(began + OUTAGE_S - time.monotonic(), 0))
        fleet.store.mode = 'up'
        record('the store answers again')
        await asyncio.sleep(max(acknowledged + DOWN_S - time.monotonic(), 0))
        await asyncio.gather(*(one.start(first=False) for one in fleet.daemons))
        ready = await asyncio.gather(
            *(one.wait_ready() for one in fleet.daemons)
        )
        if not all(ready):
            record.say('the daemons did not become ready again')
            return None
        stable_at = time.monotonic()
    # Machines are in touch from then on; only later requests are judged.
    judged_from = max(stable_at + STABLE_S, acknowledged + DRAIN_S)
    await asyncio.sleep(acknowledged + SERVES_S - time.monotonic())
    record('i-0 ends')
    stopping.set()
    await asyncio.gather(*tasks)
    late = [
        (id, at)
        for id, at in backend.runs
        if sent.get(id, 0) > judged_from
    ]
    for id, at in late:
        record(f'late: {id} reached i-0 {at - acknowledged:.3f} s after')
    others = sum(len(one.runs) for one in fleet.backends[1:])
    record.say(
        f'{len(late)} requests of machines in touch reached i-0 more than '
        f'{DRAIN_S} s after its leave was acknowledged; the other backends '
        f'ran {others}'
    )
    return bool(late)


if __name__ == '__main__':
    sys.exit(main(scenario, HERE))
