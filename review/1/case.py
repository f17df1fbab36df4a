"""A heartbeat of another writer ends the daemon, and the requests with it."""

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

from standins import (  # noqa: E402
    HOST,
    LOOPBACK,
    call,
    configuration,
    main,
    read_message,
)

ROUTES = [
    ('lookup', 'idempotent', 1000, 400, 'entries'),
    ('fee', 'non_idempotent', 1200, 500, 'entries'),
]
VMS = [('z1', 'entries', {}), ('z2', 'entries', {}), ('z3', 'entries', {})]
CLIENTS = 16
#: Whole number, as ``born`` always is, but beyond 64 bits.
BORN = 1 << 64
#: Requests that may be lost on kept connections (rule LOST).
ALLOWED = 3
RESTART_DELAY_S = 1.0


class KeptConnection:
    """A client that sends one request after the other on one connection."""

    def __init__(self, record, name, port):
        self._record = record
        self._name = name
        self._port = port
        self.answered = 0
        self.cut = []

    async def run(self, stopping):
        number = 0
        while not stopping.is_set():
            try:
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self._port
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            uses = 0
            while not stopping.is_set():
                number += 1
                id = f'{self._name}.{number}'
                if not await self._request(reader, writer, id, number, uses):
                    break
                uses += 1
            writer.close()

    async def _request(self, reader, writer, id, number, uses):
        is_fee = number % 2
        line = 'POST /fee/1' if is_fee else 'GET /lookup/1'
        body = 'Content-Length: 2\r\n\r\n{}' if is_fee else '\r\n'
        self._record(f'{id} sent {line}')
        writer.write(
            (
                f'{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n'
                f'X-Deadline-Ms: 1000\r\n{body}'
            ).encode()
        )
        try:
            async with asyncio.timeout(2):
                first, headers, _ = await read_message(reader)
        except asyncio.TimeoutError:
            self._record(f'{id} no answer in time')
            return False
        except (OSError, asyncio.IncompleteReadError):
            self._record(f'{id} connection closed without an answer')
            if uses:
                self.cut.append(id)
            return False
        self.answered += 1
        self._record(f'{id} answered {first}')
        return headers.get('connection', '').lower() != 'close'


async def restart_when_ended(daemon, record, stopping):
    """Start the daemon again after a short delay, as the platform does."""
    while not stopping.is_set():
        await asyncio.sleep(0.05)
        if not daemon.is_running:
            await asyncio.sleep(RESTART_DELAY_S)
            await daemon.start(first=False)


async def scenario(fleet, record, trouble):
    document = configuration(1, ROUTES, ['entries'])
    vms = [(zone, service, {'work': 0.1}) for zone, service, _ in VMS]
    if not await fleet.open(vms, document):
        record.say('the daemons did not become ready')
        return None
    stopping = asyncio.Event()
    daemon, backend = fleet.daemons[0], fleet.backends[0]
    clients = [
        KeptConnection(record, f'c{number}', daemon.callers)
        for number in range(CLIENTS)
    ]
    tasks = [asyncio.ensure_future(one.run(stopping)) for one in clients]
    tasks.append(
        asyncio.ensure_future(restart_when_ended(daemon, record, stopping))
    )
    # Longer than stableWindowMs, so that the machine is in touch.
    await asyncio.sleep(5)
    if trouble:
        _, body = backend.heartbeat()
        backend.sequence -= 1
        document = json.loads(body)
        document['born'] = BORN
        path = '/v1/rpc?call=instances.heartbeat&of=i-other'
        record(f'another writer sends {json.dumps(document)}')
        status, _, _ = await call(
            daemon.announcements,
            'POST',
            path,
            body=json.dumps(document).encode(),
            wait=1,
        )
        record.say(f'answer to the heartbeat of another writer: {status}')
    await asyncio.sleep(6)
    stopping.set()
    await asyncio.gather(*tasks)
    ran = {id for one in fleet.backends for id, _ in one.runs}
    lost = sorted(id for one in clients for id in one.cut if id in ran)
    answered = sum(one.answered for one in clients)
    record.say(
        f'answered {answered}; passed on to a sound backend and closed without '
        f'an answer: {len(lost)}, allowed {ALLOWED}; the daemon ended by '
        f'itself {len(daemon.exits)} times'
    )
    record(f'lost: {lost}')
    for event in daemon.log_lines():
        if event.get('level') == 'CRITICAL':
            record(f'log of vm0: {event.get("message")}')
    if not answered:
        return None
    return len(lost) > ALLOWED


if __name__ == '__main__':
    sys.exit(main(scenario, HERE))
