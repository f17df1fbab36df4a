"""Stand-ins of the platform, upstreams and callers, and a launcher of daemons.

Only the standard library is used. Everything listens on 127.0.0.1.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
LOOPBACK = '127.0.0.1'
START = time.monotonic()


def clock():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')

    def add(self, *words):
        line = f'{clock():8.3f}  ' + ' '.join(str(word) for word in words)
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


_given_ports = set()


def free_port():
    """Find a port that nothing uses, for TCP and UDP.

    It lies below the ports that the kernel gives to outgoing connections, one
    of which could take it before the daemon listens.
    """
    while True:
        port = random.randrange(11_000, 32_000)
        if port in _given_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((LOOPBACK, port))
        except OSError:
            continue
        _given_ports.add(port)
        return port


async def read_head(reader):
    """Read a head; returns its first line and its headers, or ``None``."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name):
    """Return the first value of a header."""
    return next((value for key, value in headers if key == name), None)


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if header(headers, 'transfer-encoding') == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(header(headers, 'content-length') or 0))


def encode_answer(status, headers, body=b''):
    """Encode a response."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's store: a log with keyed topics.

    Each VM gets an address of its own, so that the store may turn single
    machines away. ``modes`` holds for each VM how it is served: ``ok``,
    ``busy`` (503), ``reset`` or ``silent``.
    """

    def __init__(self, record):
        self._record = record
        self.topics = {}
        self.modes = {}
        self.delay = 0.004
        self._servers = []
        self._changed = asyncio.Event()

    async def open(self, vm):
        """Listen for one VM; returns the address."""
        self.modes.setdefault(vm, 'ok')

        async def serve(reader, writer):
            await self._serve(vm, reader, writer)

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self._servers.append(server)
        return f'{LOOPBACK}:{server.sockets[0].getsockname()[1]}'

    def append(self, topic, key, value):
        """Append a record as the operator, or for a call."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def write_as_operator(self, key, document):
        """Append a record of the operator."""
        self._record.add('operator writes', key)
        return self.append('keyed.op', key, json.dumps(document).encode())

    def read(self, topic, key):
        """Return the newest value of a key, decoded from JSON."""
        for known, value in reversed(self.topics.get(topic, [])):
            if known == key:
                return json.loads(value) if value else None
        return None

    async def _serve(self, vm, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                mode = self.modes[vm]
                if mode == 'reset':
                    _reset(writer)
                    return
                if mode == 'silent':
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.delay)
                if mode == 'busy':
                    answer = encode_answer(503, [])
                else:
                    answer = await self._answer(vm, head[0], body)
                if self.modes[vm] == 'silent':
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, vm, line, body):
        method, target, _ = line.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(
            part.partition('=')[::2] for part in query_text.split('&') if part
        )
        topic = query.get('topic', '')
        records = self.topics.setdefault(topic, [])
        if path == '/v1/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return encode_answer(403, [])
            end = len(records)
            if 'at' in query and int(query['at']) != end:
                return _json(412, {'endOffset': end})
            for key, value in _split_records(body):
                self.append(topic, key, value)
            return _json(200, {'offset': end, 'endOffset': len(records)})
        if path == '/v1/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(newest[key][1]).decode(),
                    'offset': newest[key][0],
                }
                for key in sorted(newest)
                if newest[key][1] and key > query.get('after', '')
            ]
            return _json(
                200,
                {
                    'items': items[:500],
                    'hasMore': len(items) > 500,
                    'endOffset': len(records),
                },
            )
        if path == '/v1/log-read':
            start = int(query['from'])
            deadline = time.monotonic() + int(query.get('waitMs', 0)) / 1000
            while start >= len(records):
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            page = struct.pack('>QQ', len(records), 0)
            for key, value in records[start:]:
                payload = bytes((len(key),)) + key.encode() + value
                page += struct.pack('>I', len(payload)) + payload
            return encode_answer(200, [], page)
        return encode_answer(404, [])


def _json(status, document):
    return encode_answer(
        status,
        [('Content-Type', 'application/json')],
        json.dumps(document).encode(),
    )


def _split_records(body):
    position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], 'big')
        payload = body[position + 4 : position + 4 + length]
        key_end = 1 + payload[0]
        yield payload[1:key_end].decode(), payload[key_end:]
        position += 4 + length


def _reset(writer):
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


class Upstream:
    """A back end as PROTOCOL.md describes it.

    The work of a request takes ``ms`` of its query, in milliseconds; with
    ``call=PATH`` it makes one call of its own through ``outbound`` first.
    It drops a request when its connection closes.
    """

    def __init__(self, record, *, service, version='v1', zone, slots, port=None):
        self._record = record
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = slots
        self.port = port or free_port()
        self.address = f'{LOOPBACK}:{self.port}'
        self.id = f'i-{os.urandom(5).hex()}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.control = ''
        self.outbound = ''
        self.heartbeat_s = 0.87
        self.running = {}
        self.runs = []
        self.ended = []
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen, and send heartbeats if the control address is known."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port
        )
        self._record.add(
            'server', self.id, 'of', self.service, 'starts at', self.address
        )
        if self.control:
            self._beats = asyncio.create_task(self._beat())

    def stop(self):
        """End: close all connections and stop listening."""
        self._record.add('server', self.id, 'ends')
        if self._beats is not None:
            self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def heartbeat(self):
        """Send one heartbeat; returns the status of its answer."""
        self.sequence += 1
        return await self.announce(self.heartbeat_body())

    def heartbeat_body(self, state=None):
        """Return the body of a heartbeat."""
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': self.version,
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state or self.state,
                'sequence': self.sequence,
                'coldRemainingMs': 0,
            },
        }

    async def announce(self, body, call='instances.heartbeat'):
        """Send an announcement to the control address."""
        target = f'/v1/rpc?call={call}&of={self.id}'
        answer = await send_request(
            self.control,
            'POST',
            target,
            [('Content-Type', 'application/json')],
            json.dumps(body).encode(),
            timeout=1.0,
        )
        return answer.status

    async def deregister(self):
        """Announce the leave; returns the status of the answer."""
        if self._beats is not None:
            self._beats.cancel()
        return await self.announce({'born': self.born}, 'instances.deregister')

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                work = asyncio.create_task(self._answer(head, body))
                peek = asyncio.create_task(reader.read(1))
                await asyncio.wait(
                    (work, peek), return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    work.cancel()
                    id = header(head[1], 'x-attempt-id')
                    self._record.add(
                        'server', self.id, 'drops', id, 'its connection closed'
                    )
                    self.ended.append((clock(), id, 'dropped'))
                    return
                writer.write(work.result())
                await writer.drain()
                if peek.done():
                    return
                peek.cancel()
                try:
                    await peek
                except asyncio.CancelledError:
                    pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body):
        method, target, _ = head[0].split(' ')
        headers = head[1]
        if target == '/health':
            status = 200 if self.state == 'ready' else 503
            return encode_answer(status, [('X-Instance-Id', self.id)])
        id = header(headers, 'x-attempt-id')
        if id is None:
            return encode_answer(400, [('X-Not-Executed', '1')])
        expected = header(headers, 'x-expect-instance')
        if expected not in (None, self.id):
            return encode_answer(
                421, [('X-Instance-Id', self.id), ('X-Attempt-Id', id)]
            )
        if len(self.running) >= self.slots:
            return encode_answer(
                503, [('X-Not-Executed', '1'), ('X-Attempt-Id', id)]
            )
        run = {
            'at': clock(),
            'id': id,
            'method': method,
            'target': target,
            'body': body,
            'headers': headers,
        }
        self.runs.append(run)
        caller = header(headers, 'x-caller-service')
        self._record.add(
            'server', self.id, 'of', self.service, 'runs', id, method, target,
            'X-Caller-Service:', caller,
        )
        self.running[id] = run
        try:
            status = await self._work(id, target, headers)
        finally:
            self.running.pop(id, None)
        self._record.add('server', self.id, 'ends', id, 'with', status)
        self.ended.append((clock(), id, status))
        return encode_answer(
            status,
            [
                ('X-Attempt-Id', id),
                ('X-Response-Seal', f'seal-{id}'),
                ('X-Server-Load', f'{len(self.running)},0,{self.slots}'),
            ],
            f'answer to {id}'.encode(),
        )

    async def _work(self, id, target, headers):
        query = target.partition('?')[2]
        options = dict(part.partition('=')[::2] for part in query.split('&'))
        left = int(header(headers, 'x-deadline-ms') or 10_000) / 1000
        try:
            async with asyncio.timeout(left):
                if 'call' in options:
                    answer = await send_request(
                        self.outbound,
                        'GET',
                        options['call'],
                        [
                            ('Host', HOST),
                            ('X-Attempt-Id', f'{id}.{os.urandom(8).hex()}'),
                            ('X-Deadline-Ms', str(int(left * 1000))),
                        ],
                    )
                    if answer.status != 200:
                        return 500
                await asyncio.sleep(int(options.get('ms', 0)) / 1000)
        except TimeoutError:
            return 504
        return 200


class Answer:
    """What a client got: a status and a body, or an end without them."""

    def __init__(self, status=0, headers=(), body=b'', why=''):
        self.status = status
        self.headers = headers
        self.body = body
        self.why = why

    def __str__(self):
        if not self.status:
            return f'no answer ({self.why})'
        sealed = ' sealed' if header(self.headers, 'x-response-seal') else ''
        return f'{self.status}{sealed} {self.body[:120]!r}'


async def send_request(
    address, method, target, headers, body=b'', timeout=30.0, connection=None
):
    """Send a request; returns the answer.

    :param connection: reader and writer of a kept connection; a new one is
        opened and closed without it.
    """
    host, _, port = address.rpartition(':')
    own = connection is None
    try:
        async with asyncio.timeout(timeout):
            if own:
                connection = await asyncio.open_connection(host, int(port))
            reader, writer = connection
            names = {name.lower() for name, _ in headers}
            lines = [f'{method} {target} HTTP/1.1']
            if 'host' not in names:
                lines.append(f'Host: {address}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(why='the connection ended')
            status = int(head[0].split(' ')[1])
            try:
                answered = await read_body(reader, head[1])
            except asyncio.IncompleteReadError:
                return Answer(why='the connection ended in the answer')
            return Answer(status, head[1], answered)
    except TimeoutError:
        return Answer(why='no answer in time')
    except OSError as error:
        return Answer(why=f'{type(error).__name__}')
    finally:
        if own and connection is not None:
            connection[1].close()


def render(template, fields):
    """Render a template as DEPLOY.md describes it."""
    tag = re.compile(r'\{\{([#^/]?)([^}]*)\}\}')

    def look_up(name, scopes):
        if name == '.':
            return scopes[-1]['.']
        first, *rest = name.split('.')
        for scope in reversed(scopes):
            if isinstance(scope, dict) and first in scope:
                value = scope[first]
                for part in rest:
                    if isinstance(value, list):
                        index = int(part)
                        value = value[index] if index < len(value) else None
                    else:
                        value = (value or {}).get(part)
                return value
        return None

    def text_of(value):
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        if isinstance(value, list):
            return ','.join(text_of(one) for one in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def find_end(text, name, position):
        depth = 1
        for match in tag.finditer(text, position):
            if match[2] == name and match[1] in ('#', '^'):
                depth += 1
            elif match[2] == name and match[1] == '/':
                depth -= 1
                if not depth:
                    return match
        raise ValueError(f'section {name} has no end')

    def expand(text, scopes):
        result = ''
        position = 0
        while True:
            match = tag.search(text, position)
            if match is None:
                return result + text[position:]
            result += text[position : match.start()]
            position = match.end()
            kind, name = match[1], match[2]
            if kind in ('#', '^'):
                end = find_end(text, name, position)
                inner = text[position : end.start()]
                position = end.end()
                value = look_up(name, scopes)
                is_absent = value is None or value is False
                if kind == '^':
                    result += expand(inner, scopes) if is_absent else ''
                elif not is_absent:
                    result += ''.join(repeat(inner, value, scopes))
            elif name == ',':
                result += '' if scopes[-1].get('last') else ','
            elif name == '@':
                result += str(scopes[-1]['@'])
            else:
                result += text_of(look_up(name, scopes))

    def repeat(inner, value, scopes):
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [('', value)]
        for number, (key, one) in enumerate(entries):
            scope = dict(one) if isinstance(one, dict) else {}
            scope |= {'.': one, '@': key, 'last': number == len(entries) - 1}
            yield expand(inner, [*scopes, scope])

    return expand(template, [fields])


class Machine:
    """A sidecar machine: its daemon, and the address of its back end."""

    def __init__(self, site, name, *, zone, service, upstream_port):
        self._site = site
        self.name = name
        self.process = None
        self.outbound = f'{LOOPBACK}:{free_port()}'
        self.control = f'{LOOPBACK}:{free_port()}'
        self.ready = f'{LOOPBACK}:{free_port()}'
        inbound = f'{LOOPBACK}:{free_port()}'
        gossip = free_port()
        self.fields = {
            'nodeName': name,
            'role': 'daemon',
            'machineClass': 'sidecar',
            'serves': ['sidecar'],
            'ip': LOOPBACK,
            'zone': zone,
            'region': site.region,
            'zones': {one: site.region for one in site.zones},
            'listen': {
                'inbound': inbound,
                'outbound': self.outbound,
                'ready': self.ready,
                'control': self.control,
            },
            'portRange': [gossip, gossip],
            'seeds': [],
            'bootstrap': True,
            'heartbeatMs': 870,
            'bounds': site.bounds,
            'appAddr': f'{LOOPBACK}:{upstream_port}',
            'service': service,
        }
        self._settings = site.folder / f'{name}.toml'
        self._log = site.folder / f'{name}.log'

    def write_settings(self):
        """Put the rendered template at the place of the settings file."""
        template = (ROOT / 'deploy/daemon.toml').read_text()
        self._settings.write_text(render(template, self.fields))

    async def start(self):
        """Start the daemon with the command of the deploy file."""
        if 'platform' not in self.fields:
            address = await self._site.store.open(self.name)
            self.fields['platform'] = {'address': address, 'form': 'log'}
        self.write_settings()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['VERBENAMILL_BOOT'] = str(self._settings)
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-m', 'verbenamill_node',
                cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self._site.processes.append(self.process)
        # The next start is not the first of the whole system.
        self.fields['bootstrap'] = False
        self._site.record.add('daemon', self.name, 'starts')

    def signal(self, number):
        """Send a signal to the daemon."""
        name = signal.Signals(number).name
        self._site.record.add('daemon', self.name, 'gets', name)
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask for the readiness."""
        answer = await send_request(
            self.ready, 'GET', '/v1/readiness', [], timeout=1.0
        )
        return answer.status == 200

    async def wait_ready(self, timeout=20.0):
        """Wait until the daemon is ready."""
        end = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f'{self.name} does not become ready')
            await asyncio.sleep(0.1)

    def log_lines(self):
        """Lines that the daemon has written."""
        return self._log.read_text(errors='replace').splitlines()

    async def call(self, method, target, id, *, deadline_ms, body=b'', **more):
        """Send a client's request to the daemon; returns the answer."""
        record = self._site.record
        record.add('client sends', id, method, target, 'to', self.name)
        answer = await send_request(
            self.outbound,
            method,
            target,
            [
                ('Host', HOST),
                ('X-Attempt-Id', id),
                ('X-Deadline-Ms', str(deadline_ms)),
            ],
            body,
            timeout=deadline_ms / 1000 + 1,
            **more,
        )
        record.add('client gets for', id, answer)
        return answer


class CannotRun(Exception):
    """The case could not run."""


class Site:
    """A small deployment."""

    def __init__(self, record, *, zones, bounds):
        self.record = record
        self.zones = zones
        self.region = 'region-1'
        self.bounds = bounds
        self.store = Store(record)
        self.folder = Path(tempfile.mkdtemp(prefix='verbenamill-case-'))
        self.processes = []
        self.machines = []

    def add(self, name, *, zone, service, upstream_port):
        """Add a machine."""
        machine = Machine(
            self, name, zone=zone, service=service, upstream_port=upstream_port
        )
        self.machines.append(machine)
        return machine

    def configure(self, version, routes, services, limits=None):
        """Write the configuration as the operator.

        :param routes: name, type, time-out, aim, service for each path prefix.
        """
        columns = [
            'name', 'host', 'pathPrefix', 'routeType', 'timeoutMs',
            'targetLatencyMs', 'priority', 'service', 'maxAttempts',
        ]
        rows = [
            [name, HOST, f'/{name}/', kind, timeout, aim, 1, service, 2]
            for name, kind, timeout, aim, service in routes
        ]
        self.store.write_as_operator(
            'config',
            {
                'version': f'{version:08x}',
                'routes': {'columns': columns, 'rows': rows},
                'services': {
                    'columns': ['name', 'healthCheckPath', 'maxConnections'],
                    'rows': [[one, '/health', 130] for one in services],
                },
                'limits': limits
                or {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 67108864,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
            },
        )

    async def close(self):
        """End all processes that were started."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print('kept', self.folder)


def run_case(folder, scenario):
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    :param scenario: called with the record, whether the disruption is on, and
        a function that makes a site; returns a list of what broke the rule.
    """
    if not (ROOT / 'target/deps').is_dir():
        print('target/deps is missing: run deploy/build.sh')
        sys.exit(2)
    record = Record(Path(folder) / 'record.txt')
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add('disruption is', 'on' if with_trouble else 'off')
    sites = []

    def make_site(**options):
        sites.append(Site(record, **options))
        return sites[-1]

    async def main():
        try:
            async with asyncio.timeout(110):
                return await scenario(record, with_trouble, make_site)
        finally:
            for site in sites:
                await site.close()

    try:
        broken = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError) as error:
        record.add('cannot run:', type(error).__name__, error)
        sys.exit(2)
    for one in broken:
        record.add('BROKEN:', one)
    record.add('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
