"""Responses to HEAD, and others that have no body, on a kept connection."""

import json

import pytest
import trio

from verbenamill_platform_standins.http_server import HttpResponse

HOST = b'shop.example'


class KeptConnection:
    """A client that takes each response apart by its own rules."""

    def __init__(self, stream):
        self._stream = stream
        self._received = b''

    async def ask(self, method, path, *, id=b'r1', extra=b'', body=b''):
        """Send a request; return status, headers and body of the response."""
        await self._stream.send(
            b'%b %b HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: %b\r\n'
            b'X-Deadline-Ms: 1000\r\n%bContent-Length: %d\r\n\r\n%b'
            % (method, path, HOST, id, extra, len(body), body)
        )
        head = await self._read_until(b'\r\n\r\n')
        first, *lines = head[:-4].decode().split('\r\n')
        assert first.startswith('HTTP/1.1 '), first
        status = int(first.split(' ')[1])
        headers = dict(line.lower().split(': ', 1) for line in lines)
        if method == b'HEAD' or status in (204, 304):
            return status, headers, b''
        return status, headers, await self._read(int(headers['content-length']))

    async def _read_until(self, end):
        while end not in self._received:
            await self._receive()
        size = self._received.index(end) + len(end)
        return await self._read(size)

    async def _read(self, size):
        while len(self._received) < size:
            await self._receive()
        read, self._received = self._received[:size], self._received[size:]
        return read

    async def _receive(self):
        with trio.fail_after(10):
            data = await self._stream.receive_some(65_536)
        assert data, 'the connection was closed'
        self._received += data


async def assert_in_step(connection):
    """Check that the next response is that to the next request."""
    status, headers, body = await connection.ask(b'GET', b'/lookup/1', id=b'r9')
    assert status == 200
    assert headers['x-attempt-id'] == 'r9'
    assert body == b'answer to r9'


FAILED = b'HTTP/1.1 500 S\r\nX-Attempt-Id: r1\r\nContent-Length: 6\r\n\r\n'
RAW = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nContent-Length: 2\r\n\r\nok'
#: Path, further headers and expected status of requests that fail.
FAILURES = {
    'unknown route': (b'/nothing/', b'', 404),
    'two hosts': (b'/lookup/1', b'Host: a\r\n', 400),
    'no upstream': (b'/photo/1', b'', 503),
    'no seal': (b'/fee/1', b'', 502),
    'too late': (b'/brief/1', b'', 504),
    'upstream fails': (b'/fee/failing', b'', 500),
}


@pytest.mark.parametrize(
    ('path', 'extra', 'status'), FAILURES.values(), ids=FAILURES.keys()
)
def test_a_failure_of_head_has_no_body(run_scenario, path, extra, status):
    """Guards against a body that the caller takes for its next response."""

    def answer(request):
        if request.path == '/fee/failing':
            return HttpResponse(raw=FAILED)
        return HttpResponse(raw=RAW) if request.path == '/fee/1' else None

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        vm.upstream.script = answer
        connection = KeptConnection(await vm.connect())
        if status == 504:
            vm.upstream.service_time = 0.5
        found, headers, _ = await connection.ask(b'HEAD', path, extra=extra)
        assert found == status
        vm.upstream.service_time = 0
        await assert_in_step(connection)

    run_scenario(scenario)


def test_head_before_any_configuration_has_no_body(run_scenario):
    """Guards against a body after the refusal of a daemon that starts."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        connection = KeptConnection(await vm.connect())
        status, headers, _ = await connection.ask(b'HEAD', b'/lookup/1')
        assert status == 503
        assert int(headers['content-length']) > 0
        status, _, body = await connection.ask(b'GET', b'/lookup/1')
        assert (status, json.loads(body)['status']) == (503, 503)

    run_scenario(scenario, configured=False)


@pytest.mark.parametrize(
    ('port', 'path', 'status'),
    [
        (1, b'/', 400),
        (3, b'/v1/rpc?call=instances.heartbeat&of=i-1', 400),
        (4, b'/v1/readiness', 200),
        (4, b'/metrics', 200),
    ],
)
def test_head_has_no_body_at_the_other_ports(run_scenario, port, path, status):
    """Guards against a port whose handler knows nothing of HEAD."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        connection = KeptConnection(await vm.connect(port))
        found, headers, _ = await connection.ask(b'HEAD', path)
        assert found == status
        assert int(headers['content-length']) > 0
        found, _, body = await connection.ask(b'GET', path)
        assert found == status
        assert body

    run_scenario(scenario)


def test_head_is_refused_without_a_body_while_the_server_stops(run_scenario):
    """Guards against a body in a response that no handler has made."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        caller = await vm.connect()
        await caller.send(
            b'HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n'
        )
        received = b''
        while data := await caller.receive_some(65_536):
            received += data
        assert received.startswith(b'HTTP/1.1 413 ')
        assert received.endswith(b'\r\n\r\n')
        assert received.count(b'\r\n\r\n') == 1

    run_scenario(scenario)


@pytest.mark.parametrize('owner', ['own', 'other'])
@pytest.mark.parametrize('status', [200, 204, 304, 404])
def test_head_of_an_upstream_is_passed_on(run_scenario, owner, status):
    """Guards against a length of 0 for what GET would return."""

    async def scenario(site):
        vm = await site.add_vm('vm0', zone='z1')
        other = await site.add_vm('vm1', zone='z2', service='catalog')
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        path = b'/lookup/1' if owner == 'own' else b'/photo/1'
        body = b'' if status in (204, 304) else b'Content-Length: 777\r\n'
        raw = (
            b'HTTP/1.1 %d S\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n%b\r\n'
            % (status, body)
        )
        served_by = vm if owner == 'own' else other
        served_by.upstream.script = lambda request: (
            HttpResponse(raw=raw) if request.method == 'HEAD' else None
        )
        connection = KeptConnection(await vm.connect())
        found, headers, _ = await connection.ask(b'HEAD', path)
        assert found == status
        assert headers.get('content-length') == ('777' if body else None)
        await assert_in_step(connection)

    run_scenario(scenario)


def test_a_body_that_an_upstream_sends_after_head_reaches_nobody(run_scenario):
    """Guards against a late body in place of the next caller's response."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.wait_until_configured(1)
        head = (
            b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 40\r\n'
            b'\r\n'
        )
        vm.upstream.script = lambda request: (
            HttpResponse(raw=head + RAW) if request.method == 'HEAD' else None
        )
        connection = KeptConnection(await vm.connect())
        for _ in range(5):
            status, _, _ = await connection.ask(b'HEAD', b'/lookup/1')
            assert status == 200
            await assert_in_step(connection)

    run_scenario(scenario)
