"""Order of responses, limits and shutdown of the server, as a client sees."""

import socket
from functools import partial

import pytest
import trio

from verbenamill_http.addresses import Address
from verbenamill_http.server import (
    HttpServer,
    Response,
    ServerLimits,
)
from verbenamill_http.sockets import listen

LIMITS = ServerLimits(
    max_head=500,
    max_body=1000,
    head_timeout=0.4,
    idle_timeout=0.6,
)
DEFAULT_LIMITS = ServerLimits()
#: More than the socket buffers of both sides hold together.
LARGE_BYTES = 24 * 1024 * 1024
#: More than a client with a small receive buffer accepts at once.
MEDIUM_BYTES = 2 * 1024 * 1024


def get(path, *, headers=b''):
    return b'GET %b HTTP/1.1\r\nHost: a\r\n%b\r\n' % (path, headers)


class ServerHarness:
    """A server whose handler behaves as the path of the request requires."""

    def __init__(self, nursery, limits):
        self.released = trio.Event()
        self.errors = []
        self.cancelled = []
        self.handled = []
        self.server = HttpServer(
            self.handle,
            limits=lambda: limits,
            on_error=self.errors.append,
        )
        self.nursery = nursery
        self.listener = listen(Address('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        nursery.start_soon(self.server.serve, self.listener)

    async def handle(self, request):
        path = request.head.target
        self.handled.append(path)
        if path == b'/fault':
            raise RuntimeError('a fault in the handler')
        if path == b'/large':
            return Response(status=200, body=bytes(LARGE_BYTES))
        if path == b'/long':
            return Response(status=200, body=bytes(MEDIUM_BYTES))
        try:
            if path == b'/held':
                await self.released.wait()
            await trio.sleep(0.3 if path == b'/slow' else 0)
        except trio.Cancelled:
            self.cancelled.append(path)
            raise
        return Response(status=200, body=path + request.body)

    async def connect(self):
        return await trio.open_tcp_stream('127.0.0.1', self.port)

    async def wait_until_handled(self, path):
        with trio.fail_after(10):
            while path not in self.handled:
                await trio.sleep(0.01)


async def read_all(stream):
    data = bytearray()
    with trio.fail_after(10):
        while chunk := await stream.receive_some(65536):
            data += chunk
    return bytes(data)


async def read_until_size(stream, size):
    data = bytearray()
    with trio.fail_after(10):
        while len(data) <= size:
            chunk = await stream.receive_some(1024 * 1024)
            assert chunk, len(data)
            data += chunk
    return bytes(data)


async def read_until(stream, end):
    data = b''
    with trio.fail_after(10):
        while not data.endswith(end):
            chunk = await stream.receive_some(65536)
            assert chunk, data
            data += chunk
    return data


def run_scenario(scenario, limits=LIMITS):
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(ServerHarness(nursery, limits))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_responses_keep_the_order_of_requests():
    async def scenario(harness):
        stream = await harness.connect()
        await stream.send_all(get(b'/slow') + get(b'/quick'))
        data = await read_until(stream, b'/quick')
        assert data.index(b'/slow') < data.index(b'/quick')

    run_scenario(scenario)


def test_handler_is_cancelled_when_the_connection_closes():
    async def scenario(harness):
        stream = await harness.connect()
        await stream.send_all(get(b'/slow'))
        await trio.sleep(0.05)
        await stream.aclose()
        with trio.fail_after(5):
            while not harness.cancelled:
                await trio.sleep(0.01)
        assert harness.server.active_requests == 0

    run_scenario(scenario)


def test_request_of_a_closed_connection_is_not_started():
    # A lost packet delays a request until its sender gives up and closes the
    # connection. After the retransmission, the request and the end of the
    # connection arrive together. If the request were started, it would reach
    # an upstream long after its caller has left.
    async def scenario(harness):
        with socket.create_connection(('127.0.0.1', harness.port)) as sender:
            sender.sendall(get(b'/quick'))
            sender.shutdown(socket.SHUT_WR)
            await trio.sleep(0.2)
        assert not harness.handled

    run_scenario(scenario)


def test_exceeded_limits_are_reported_and_close_the_connection():
    async def scenario(harness):
        for data, status in (
            (get(b'/', headers=b'pad: %b\r\n' % (b'x' * 600)), b'431'),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n',
                b'413',
            ),
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET / HTTP/1.1\r\nHos', b'408'),
        ):
            stream = await harness.connect()
            await stream.send_all(data)
            response = await read_all(stream)
            assert response.split()[1] == status
            assert b'connection: close' in response

    run_scenario(scenario)


def test_a_body_that_trickles_in_is_given_up():
    """Guards against a client that holds a connection for ever."""

    async def scenario(harness):
        stream = await harness.connect()
        await stream.send_all(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n'
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_trickle, stream)
            assert b' 408 ' in await read_until(stream, b'too slow')
            nursery.cancel_scope.cancel()
        assert not harness.handled

    limits = ServerLimits(head_timeout=5, request_timeout=0.5)
    run_scenario(scenario, limits=limits)


async def _trickle(stream):
    while True:
        await stream.send_all(b'a')
        await trio.sleep(0.05)


def test_idle_connection_is_closed_without_a_response():
    async def scenario(harness):
        stream = await harness.connect()
        assert await read_all(stream) == b''

    run_scenario(scenario)


def test_error_in_a_handler_closes_only_its_connection():
    async def scenario(harness):
        other = await harness.connect()
        stream = await harness.connect()
        await stream.send_all(get(b'/fault'))
        assert await read_all(stream) == b''
        await other.send_all(get(b'/quick'))
        assert (await read_until(other, b'/quick')).startswith(b'HTTP/1.1 200')
        assert len(harness.errors) == 1

    run_scenario(scenario)


def test_shutdown_finishes_active_requests_and_closes():
    # A shutdown begins while a request is active and another connection is
    # idle. The request gets its complete response with "connection: close",
    # and the idle connection is closed.
    async def scenario(harness):
        busy_caller = await harness.connect()
        idle_caller = await harness.connect()
        await busy_caller.send_all(get(b'/slow'))
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            response = await read_all(busy_caller)
            assert response.endswith(b'/slow')
            assert b'connection: close' in response
            assert await read_all(idle_caller) == b''
            await busy_caller.aclose()
        assert harness.server.connections == 0

    run_scenario(scenario)


def test_shutdown_starts_no_request_after_an_active_one():
    # A caller that pipelines sends each request before the response to the
    # previous one, so its connection is never idle and no response is the
    # last. Without a limit, every request would be started, and the exit of
    # the process would abort the last ones. Requests after the response that
    # closes the connection are repeated by the caller.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(get(b'/held') + get(b'/quick'))
        await harness.wait_until_handled(b'/held')
        await harness.wait_until_handled(b'/quick')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(0.05)
            await caller.send_all(get(b'/late'))
            await trio.sleep(0.05)
            harness.released.set()
            response = await read_all(caller)
            assert response.endswith(b'/quick')
            assert response.count(b'HTTP/1.1 200') == 2
            assert response.count(b'connection: close') == 1
            assert b'/held' in response.partition(b'connection: close')[0]
            await caller.aclose()
        assert sorted(harness.handled) == [b'/held', b'/quick']

    run_scenario(scenario, DEFAULT_LIMITS)


def test_shutdown_handles_a_partially_received_request():
    # The first bytes of a request have arrived on a connection without active
    # requests. The caller has not been told that the connection ends, so it
    # gets a response. The request that follows in the same bytes is not
    # started, because a caller that pipelines would never stop.
    async def scenario(harness):
        caller = await harness.connect()
        request = get(b'/begun')
        await caller.send_all(request[:20])
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(0.05)
            await caller.send_all(request[20:] + get(b'/late'))
            response = await read_all(caller)
            assert response.endswith(b'/begun')
            assert b'connection: close' in response
            await caller.aclose()
        assert harness.handled == [b'/begun']

    run_scenario(scenario, DEFAULT_LIMITS)


def test_late_request_during_shutdown_is_rejected():
    # A long body arrives during the shutdown and is complete only when the
    # process has little time left. If the request were started, it would be
    # aborted, and the caller could not know whether it was executed. Status
    # 503 states that it was not.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(
            b'POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1',
        )
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(1)
            await caller.send_all(b'2')
            response = await read_all(caller)
            assert response.startswith(b'HTTP/1.1 503')
            assert b'connection: close' in response
            await caller.aclose()
        assert not harness.handled

    run_scenario(scenario, DEFAULT_LIMITS)


def test_late_request_reaches_a_handler_that_rejects_it_itself():
    # Between daemons, a rejection has to identify its sender. The server's own
    # rejection does not, so the other daemon could not treat the request as
    # not executed. On these connections the handler gets late requests too.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(
            b'POST /hop HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1',
        )
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(harness.server.shut_down, reject_late=False),
            )
            await trio.sleep(1)
            await caller.send_all(b'2')
            response = await read_all(caller)
            assert response.startswith(b'HTTP/1.1 200')
            assert b'connection: close' in response
            await caller.aclose()
        assert harness.handled == [b'/hop']

    run_scenario(scenario, DEFAULT_LIMITS)


def test_shutdown_does_not_truncate_a_response():
    # A caller reads a long response slowly. No request is active meanwhile, so
    # a connection that counted as idle would be closed within the response.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(get(b'/large'))
        await harness.wait_until_handled(b'/large')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(1)
            head, _, body = (await read_all(caller)).partition(b'\r\n\r\n')
            assert len(body) == LARGE_BYTES
            await caller.aclose()
        assert not harness.errors

    run_scenario(scenario, DEFAULT_LIMITS)


def test_no_request_is_started_after_a_closing_response():
    # During a shutdown, the last response announces the end of the connection,
    # and its caller reads it slowly. The next request arrives meanwhile. If it
    # were started, closing the connection after the response would abort it.
    async def scenario(harness):
        harness.server.is_stopping = True
        caller = await harness.connect()
        await caller.send_all(get(b'/large'))
        await harness.wait_until_handled(b'/large')
        await trio.sleep(0.05)
        await caller.send_all(get(b'/late'))
        await trio.sleep(0.05)
        response = await read_all(caller)
        assert b'connection: close' in response[:200]
        assert harness.handled == [b'/large']

    run_scenario(scenario, DEFAULT_LIMITS)


def test_request_that_arrives_while_closing_is_handled():
    # An idle connection is about to be closed when a request arrives, before
    # the reading task runs; on a busy event loop this takes long. If the
    # request were discarded, its caller would get no response.
    async def scenario(harness):
        with socket.create_connection(('127.0.0.1', harness.port)) as caller:
            with trio.fail_after(10):
                while not harness.server.connections:
                    await trio.sleep(0.01)
            await trio.sleep(0.05)
            harness.server.close_idle(0)
            caller.sendall(get(b'/crossing'))
            caller.setblocking(False)
            await trio.lowlevel.wait_readable(caller)
            assert caller.recv(65536).endswith(b'/crossing')

    run_scenario(scenario, DEFAULT_LIMITS)


def test_chunked_bodies_and_expect_continue_are_supported():
    async def scenario(harness):
        stream = await harness.connect()
        await stream.send_all(
            b'POST /p HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
        )
        assert b'100 Continue' in await read_until(stream, b'\r\n\r\n')
        await stream.send_all(b'2\r\nab\r\n0\r\n\r\n')
        assert (await read_until(stream, b'/pab')).startswith(b'HTTP/1.1 200')

    run_scenario(scenario)


def test_slow_reader_is_not_treated_as_unreachable():
    # While a caller reads a long response slowly, its kernel acknowledges no
    # further bytes. TCP_USER_TIMEOUT would reset the connection within the
    # response, long before the time limit for sending.
    async def scenario(harness):
        stream = await harness.connect()
        await stream.send_all(get(b'/quick'))
        await read_until(stream, b'/quick')
        (connection,) = harness.server._connections
        assert not connection._sock.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
        )

    run_scenario(scenario)


@pytest.mark.parametrize(
    'rest',
    [
        b'GET /next HT',
        b'POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1',
    ],
)
def test_slow_request_does_not_truncate_the_previous_response(rest):
    # A caller reads a long response slowly, and its next request stalls
    # meanwhile. Closing the connection because of the slow request would
    # truncate the response.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(get(b'/large'))
        await harness.wait_until_handled(b'/large')
        await caller.send_all(rest)
        await trio.sleep(3 * LIMITS.head_timeout)
        data = await read_until_size(caller, LARGE_BYTES)
        assert data.partition(b'\r\n\r\n')[2].startswith(bytes(LARGE_BYTES))
        assert not harness.errors

    run_scenario(scenario)


def test_last_response_is_not_reset_by_a_later_request():
    # During a shutdown, a caller reads its last response slowly and sends its
    # next request meanwhile. If the server had already closed its socket, the
    # request would cause a reset, and the rest of the response would be lost.
    async def scenario(harness):
        harness.server.is_stopping = True
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            caller.connect(('127.0.0.1', harness.port))
            caller.setblocking(False)
            caller.send(get(b'/long'))
            await harness.wait_until_handled(b'/long')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.server.shut_down)
                received = caller.recv(1000)
                await trio.sleep(1.5)
                caller.send(get(b'/late'))
                await trio.sleep(0.1)
                while data := await _receive(caller):
                    received += data
                caller.close()
        assert len(received) > MEDIUM_BYTES
        assert harness.handled == [b'/long']

    run_scenario(scenario, DEFAULT_LIMITS)


async def _receive(sock):
    with trio.fail_after(10):
        await trio.lowlevel.wait_readable(sock)
    return sock.recv(65_536)


EXPECT_CONTINUE = (
    b'POST /up HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
    b'Content-Length: 2\r\n\r\n'
)


def test_continue_is_sent_after_earlier_responses():
    # A caller sends "Expect: 100-continue" after another request. If the
    # server replied immediately, the interim response would precede the
    # earlier response or appear within it.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(get(b'/slow') + EXPECT_CONTINUE)
        data = await read_until(caller, b'100 Continue\r\n\r\n')
        assert data.startswith(b'HTTP/1.1 200')
        assert data.count(b'HTTP/1.1') == 2
        assert data.index(b'/slow') < data.index(b'100 Continue')
        await caller.send_all(b'ab')
        assert (await read_until(caller, b'/upab')).startswith(b'HTTP/1.1 200')

    run_scenario(scenario, DEFAULT_LIMITS)


def test_no_continue_is_sent_for_a_rejected_body():
    # Late in a shutdown, a caller sends "Expect: 100-continue". If the server
    # agreed, the caller would send the whole body and then be rejected.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(EXPECT_CONTINUE[:20])
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(1)
            await caller.send_all(EXPECT_CONTINUE[20:])
            assert (await read_all(caller)).startswith(b'HTTP/1.1 503')
            await caller.aclose()
        assert not harness.handled

    run_scenario(scenario, DEFAULT_LIMITS)


def test_shutdown_waits_for_a_response_despite_a_stalled_request():
    # During a shutdown, part of a next request stalls after an active one. It
    # is not read any more. Closing the connection because of the slow request
    # would truncate the response to the active one.
    async def scenario(harness):
        caller = await harness.connect()
        await caller.send_all(get(b'/held') + b'GET /next HT')
        await harness.wait_until_handled(b'/held')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.server.shut_down)
            await trio.sleep(3 * LIMITS.head_timeout)
            harness.released.set()
            assert (await read_all(caller)).endswith(b'/held')
            await caller.aclose()

    run_scenario(scenario)
