"""Stand-ins and helpers of the review's scripts; standard library only.

They follow the users' pages: a platform store, backends that send heartbeats,
clients, and daemons that are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
LOOPBACK = '127.0.0.1'
#: The daemon's settings, as deploy/daemon.toml renders them.
SETTINGS = """
[vm]
id = "{vm}"
availability_zone = "{zone}"
service = "{service}"

[listen]
callers = "127.0.0.1:{0}"
daemons = "127.0.0.1:{1}"
gossip = "127.0.0.1:{2}"
announcements = "127.0.0.1:{3}"
health = "127.0.0.1:{4}"

[upstream]
address = "{upstream}"

[store]
address = "{store}"

[start]
first = {first}

[cold_start]

[quota]

[regions]
zones = [{zones}]

[logging]
level = "info"
format = "json"
"""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, text):
        elapsed = time.monotonic() - self._began
        self._file.write(f'{elapsed:8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


_claimed = set()


def free_port():
    """Find a port below the range of outgoing connections."""
    while True:
        port = 15_000 + int.from_bytes(os.urandom(2), 'big') % 17_000
        if port in _claimed:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((LOOPBACK, port))
        except OSError:
            continue
        _claimed.add(port)
        return port


async def read_message(reader, *, head_only=False):
    """Read the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if head_only:
        return first, headers, body
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def encode_response(status, headers, body=b''):
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """An HTTP/1.1 server; a subclass answers the requests."""

    def __init__(self):
        self.port = 0
        self._server = None
        self.writers = set()

    @property
    def address(self):
        return f'{LOOPBACK}:{self.port}'

    async def open(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port or free_port()
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The script ends while this connection is open.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Answer a request; returns whether the connection goes on."""
        raise NotImplementedError

    def reset(self, writer):
        """Reset a connection."""
        sock = writer.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.transport.abort()


class Store(Server):
    """The platform's store: keyed topics of one partition, kept for ever.

    :ivar mode: 'up', 'busy' (503) or 'silent' (no answer).
    """

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.topics = {}
        self.mode = 'up'
        self.changed = asyncio.Event()

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def operate(self, key, document):
        """Write a record as the operator does."""
        offset = self.append('keyed.op', key, json.dumps(document).encode())
        self._record(f'operator wrote {key} at offset {offset}')
        return offset

    def newest(self, topic):
        return {
            key: (offset, value)
            for offset, (key, value) in enumerate(self.topics.get(topic, []))
        }

    async def handle(self, request, reader, writer):
        first, _, body = request
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        query = dict(parse_qsl(query))
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'busy':
            writer.write(encode_response(503, {}))
            return True
        topic = query.get('topic', '')
        await asyncio.sleep(0.004)
        if path == '/v1/log-append':
            response = self._append(topic, query, body)
        elif path == '/v1/log-newest':
            response = self._newest(topic, query)
        elif path == '/v1/log-read':
            response = await self._read(topic, query)
        else:
            response = encode_response(404, {})
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        writer.write(response)
        await writer.drain()
        return True

    def _append(self, topic, query, body):
        if topic in ('keyed.op', 'keyed.servers'):
            return encode_response(403, {})
        records = self.topics.setdefault(topic, [])
        end = len(records)
        if 'at' in query and int(query['at']) != end:
            return _json(412, {'endOffset': end})
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from('>I', body, position)
            payload = body[position + 4 : position + 4 + length]
            key_end = 1 + payload[0]
            self.append(topic, payload[1:key_end].decode(), payload[key_end:])
            position += 4 + length
        return _json(200, {'offset': end, 'endOffset': len(records)})

    def _newest(self, topic, query):
        newest = self.newest(topic)
        keys = sorted(
            key
            for key, (_, value) in newest.items()
            if value and key > query.get('after', '')
        )
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys[:500]
        ]
        end = len(self.topics.get(topic, []))
        return _json(
            200,
            {'items': items, 'hasMore': len(keys) > 500, 'endOffset': end},
        )

    async def _read(self, topic, query):
        start = int(query['from'])
        end_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while start >= len(self.topics.get(topic, [])):
            left = end_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            payload = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(payload)) + payload
        return encode_response(200, {}, body)


def _json(status, document):
    return encode_response(
        status,
        {'Content-Type': 'application/json'},
        json.dumps(document).encode(),
    )


def configuration(version, routes, services):
    """Make a configuration.

    :param routes: name, type, time-out in ms, objective in ms and service.
    """
    columns = [
        'name',
        'host',
        'pathPrefix',
        'routeType',
        'timeoutMs',
        'targetLatencyMs',
        'priority',
        'service',
        'maxAttempts',
    ]
    return {
        'version': f'{version:08x}',
        'routes': {
            'columns': columns,
            'rows': [
                [name, HOST, f'/{name}/', kind, timeout, objective, 1, to, 2]
                for name, kind, timeout, objective, to in routes
            ],
        },
        'services': {
            'columns': ['name', 'healthCheckPath'],
            'rows': [[one, '/health'] for one in services],
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutMs': 5000,
            'idleTimeoutMs': 20000,
        },
    }


class Backend(Server):
    """A backend with slots, which runs requests and sends heartbeats.

    :ivar runs: ids of the requests that it began to run, with the times.
    """

    def __init__(self, record, instance, *, service, slots=8, work=0.05):
        super().__init__()
        self.record = record
        self.instance = instance
        self.service = service
        self.slots = slots
        self.work = work
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs = []

    async def handle(self, request, reader, writer):
        first, headers, body = request
        method, target, _ = first.split(' ')
        if target == '/health':
            writer.write(
                encode_response(200, {'X-Instance-Id': self.instance})
            )
            return True
        id = headers.get('x-attempt-id', '')
        echo = {'X-Attempt-Id': id}
        if headers.get('x-expect-instance', self.instance) != self.instance:
            writer.write(encode_response(421, echo))
            return True
        if self.running >= self.slots:
            writer.write(
                encode_response(503, {**echo, 'X-Not-Executed': '1'})
            )
            return True
        self.runs.append((id, time.monotonic()))
        self.record(f'{self.instance} runs {id} {method} {target}')
        self.running += 1
        try:
            return await self.run(id, method, headers, writer)
        finally:
            self.running -= 1

    async def run(self, id, method, headers, writer):
        """Run a request; returns whether the connection goes on."""
        deadline = int(headers.get('x-deadline-ms', '10000')) / 1000
        if self.work > deadline:
            await asyncio.sleep(deadline)
            status = 504
        else:
            await asyncio.sleep(self.work)
            status = 200
        body = f'answer to {id}'.encode()
        response = encode_response(
            status,
            {
                'X-Attempt-Id': id,
                'X-Response-Seal': f'seal.{id}',
                'X-Server-Load': f'{self.running},0,{self.slots}',
            },
            body,
        )
        if method == 'HEAD':
            response = response[: -len(body)]
        writer.write(response)
        await writer.drain()
        return True

    def heartbeat(self, state=None):
        """Return path and body of the next heartbeat."""
        self.sequence += 1
        document = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'z1',
                'slots': self.slots,
            },
            'status': {
                'state': state or self.state,
                'sequence': self.sequence,
                'coldRemainingMs': 0,
            },
        }
        path = f'/v1/rpc?call=instances.heartbeat&of={self.instance}'
        return path, json.dumps(document).encode()

    def leave(self):
        """Return path and body of the announcement that it ends."""
        path = f'/v1/rpc?call=instances.deregister&of={self.instance}'
        return path, json.dumps({'born': self.born}).encode()

    async def beat(self, port, period=0.87):
        """Send heartbeats to the daemon beside it until cancelled."""
        while True:
            path, body = self.heartbeat()
            status, _, _ = await call(port, 'POST', path, body=body, wait=1)
            if status != 200:
                self.record(f'{self.instance} heartbeat: {status}')
            await asyncio.sleep(period)


async def call(
    port, method, path, *, id='', body=b'', wait=2.0, deadline_ms=None
):
    """Make one request on a new connection.

    :returns: status, headers and body; the status is 0 if the connection
        ended without a whole answer, and -1 if none came in time.
    """
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    if id:
        lines.append(f'X-Attempt-Id: {id}')
    if deadline_ms is not None:
        lines.append(f'X-Deadline-Ms: {deadline_ms}')
    if body or method == 'POST':
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
    data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
    writer = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(data)
            first, headers, content = await read_message(reader)
            return int(first.split(' ')[1]), headers, content
    except asyncio.TimeoutError:
        return -1, {}, b''
    except (OSError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


class Daemon:
    """A daemon as a process of its own, with the deploy file's command."""

    def __init__(self, record, folder, vm, *, zone, backend, store, zones):
        self.record = record
        self.vm = vm
        self.zone = zone
        self.ports = [free_port() for _ in range(5)]
        self._path = folder / f'{vm}.toml'
        self._log = folder / f'{vm}.log'
        self._fields = {
            'vm': vm,
            'zone': zone,
            'service': backend.service,
            'upstream': backend.address,
            'store': store.address,
            'zones': ', '.join(f'"{one}=r1"' for one in zones),
        }
        self.process = None
        self.exits = []

    @property
    def callers(self):
        return self.ports[0]

    @property
    def announcements(self):
        return self.ports[3]

    async def start(self, *, first):
        text = SETTINGS.format(
            *self.ports, **self._fields, first=str(first).lower()
        )
        self._path.write_text(text)
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'VERBENAMILL_BOOT': str(self._path),
        }
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'verbenamill_node',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f'{self.vm} started, process {self.process.pid}')
        asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        self.exits.append((time.monotonic(), code))
        self.record(f'{self.vm} process {process.pid} ended with {code}')

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.record(f'{self.vm} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, _ = await call(self.ports[4], 'GET', '/v1/readiness')
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self):
        if self.is_running:
            self.process.kill()
            await self.process.wait()

    def log_lines(self):
        """Yield the events that the daemon logged."""
        if not self._log.exists():
            return
        for line in self._log.read_text(errors='replace').splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                yield {'text': line}


class Fleet:
    """A store, and VMs with a backend and a daemon each."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.backends = []
        self.daemons = []
        self._beats = {}

    async def open(self, specs, document, make_backend=Backend):
        """Start everything and wait until it serves.

        :param specs: zone, service and options of each VM's backend.
        """
        await self.store.open()
        self.store.operate('config', document)
        zones = sorted({zone for zone, _, _ in specs})
        for number, (zone, service, options) in enumerate(specs):
            backend = make_backend(
                self.record, f'i-{number}', service=service, **options
            )
            await backend.open()
            daemon = Daemon(
                self.record,
                self.folder,
                f'vm{number}',
                zone=zone,
                backend=backend,
                store=self.store,
                zones=zones,
            )
            self.backends.append(backend)
            self.daemons.append(daemon)
        await asyncio.gather(*(one.start(first=True) for one in self.daemons))
        ready = await asyncio.gather(
            *(one.wait_ready() for one in self.daemons)
        )
        if not all(ready):
            return False
        for number in range(len(specs)):
            self.start_beats(number)
        await asyncio.sleep(3)
        return True

    def start_beats(self, number):
        backend = self.backends[number]
        port = self.daemons[number].announcements
        self._beats[number] = asyncio.ensure_future(backend.beat(port))

    def stop_beats(self, number):
        task = self._beats.pop(number, None)
        if task is not None:
            task.cancel()

    async def close(self):
        for number in list(self._beats):
            self.stop_beats(number)
        await asyncio.gather(*(one.stop() for one in self.daemons))


def main(scenario, folder):
    """Run a scenario; exits with 1 if the rule was broken, else 0 or 2.

    :param scenario: coroutine that returns whether the rule was broken, or
        ``None`` if the case could not run.
    """
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, Path(temporary))
            try:
                async with asyncio.timeout(110):
                    return await scenario(fleet, record, trouble)
            except TimeoutError:
                record.say('the case did not end in time')
                return None
            finally:
                await fleet.close()
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for daemon in fleet.daemons:
                        if daemon._log.exists():
                            text = daemon._log.read_bytes()
                            (Path(keep) / daemon._log.name).write_bytes(text)

    try:
        broken = asyncio.run(run())
    except OSError as error:
        record.say(f'the case could not run: {error!r}')
        broken = None
    if broken is None:
        return 2
    record.say('the rule was broken' if broken else 'the rule held')
    return int(broken)
