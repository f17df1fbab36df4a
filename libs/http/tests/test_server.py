"""What a peer sees of the server: order, limits, ends."""

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
PATIENT = ServerLimits()
#: Longer than the sockets of both ends hold together.
LARGE = 24 * 1024 * 1024
#: More than a peer with a small buffer takes at once.
LONG = 2 * 1024 * 1024


def get(path, *, extra=b''):
    return b'GET %b HTTP/1.1\r\nHost: a\r\n%b\r\n' % (path, extra)


class Site:
    """A server whose handler waits as its path says, and a peer."""

    def __init__(self, nursery, limits):
        self.released = trio.Event()
        self.faults = []
        self.cancelled = []
        self.handled = []
        self.server = HttpServer(
            self.handle,
            limits=lambda: limits,
            on_error=self.faults.append,
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
            return Response(status=200, body=bytes(LARGE))
        if path == b'/long':
            return Response(status=200, body=bytes(LONG))
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

    async def has_handled(self, path):
        with trio.fail_after(10):
            while path not in self.handled:
                await trio.sleep(0.01)


async def read_all(stream):
    data = b''
    with trio.fail_after(10):
        while chunk := await stream.receive_some(65536):
            data += chunk
    return data


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


def play(scene, limits=LIMITS):
    async def main():
        async with trio.open_nursery() as nursery:
            await scene(Site(nursery, limits))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_answers_keep_the_order_of_requests():
    async def scene(site):
        stream = await site.connect()
        await stream.send_all(get(b'/slow') + get(b'/quick'))
        data = await read_until(stream, b'/quick')
        assert data.index(b'/slow') < data.index(b'/quick')

    play(scene)


def test_work_ends_with_its_connection():
    async def scene(site):
        stream = await site.connect()
        await stream.send_all(get(b'/slow'))
        await trio.sleep(0.05)
        await stream.aclose()
        with trio.fail_after(5):
            while not site.cancelled:
                await trio.sleep(0.01)
        assert site.server.in_hand == 0

    play(scene)


def test_a_request_whose_sender_has_gone_already_is_not_begun():
    # A lost packet holds a request up. Its sender gives up and closes; then
    # the packet is sent once more, and the request and the end arrive
    # together. Begun, it would reach an upstream long after its caller left.
    async def scene(site):
        with socket.create_connection(('127.0.0.1', site.port)) as sender:
            sender.sendall(get(b'/quick'))
            sender.shutdown(socket.SHUT_WR)
            await trio.sleep(0.2)
        assert not site.handled

    play(scene)


def test_limits_are_told_and_the_connection_closed():
    async def scene(site):
        for data, status in (
            (get(b'/', extra=b'pad: %b\r\n' % (b'x' * 600)), b'431'),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n',
                b'413',
            ),
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET / HTTP/1.1\r\nHos', b'408'),
        ):
            stream = await site.connect()
            await stream.send_all(data)
            answer = await read_all(stream)
            assert answer.split()[1] == status
            assert b'connection: close' in answer

    play(scene)


def test_an_idle_connection_is_closed_without_a_word():
    async def scene(site):
        stream = await site.connect()
        assert await read_all(stream) == b''

    play(scene)


def test_a_fault_in_one_request_ends_its_connection_only():
    async def scene(site):
        other = await site.connect()
        stream = await site.connect()
        await stream.send_all(get(b'/fault'))
        assert await read_all(stream) == b''
        await other.send_all(get(b'/quick'))
        assert (await read_until(other, b'/quick')).startswith(b'HTTP/1.1 200')
        assert len(site.faults) == 1

    play(scene)


def test_a_stop_answers_what_is_in_hand_and_closes():
    # A stop begins while a request is worked on and another connection is
    # idle. The request gets its whole answer and the word that the
    # connection ends; the idle one is closed; nobody is cut.
    async def scene(site):
        busy = await site.connect()
        idle = await site.connect()
        await busy.send_all(get(b'/slow'))
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            answer = await read_all(busy)
            assert answer.endswith(b'/slow')
            assert b'connection: close' in answer
            assert await read_all(idle) == b''
            await busy.aclose()
        assert site.server.connections == 0

    play(scene)


def test_a_stop_begins_no_request_behind_one_in_hand():
    # A caller pipelines: it sends the next request before the answer to the
    # last one, so its connection is never idle and no answer is the last. Each
    # request would be begun however late, until the process ends and cuts it
    # at work. What is sent behind the answer that closes is sent again.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(get(b'/held') + get(b'/quick'))
        await site.has_handled(b'/held')
        await site.has_handled(b'/quick')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(0.05)
            await caller.send_all(get(b'/late'))
            await trio.sleep(0.05)
            site.released.set()
            answer = await read_all(caller)
            assert answer.endswith(b'/quick')
            assert answer.count(b'HTTP/1.1 200') == 2
            assert answer.count(b'connection: close') == 1
            assert b'/held' in answer.partition(b'connection: close')[0]
            await caller.aclose()
        assert sorted(site.handled) == [b'/held', b'/quick']

    play(scene, PATIENT)


def test_a_stop_answers_a_request_that_has_begun_to_come():
    # The first bytes of a request have come on a connection with nothing
    # else in hand. Its caller was told of no end, so it gets its answer; what
    # comes behind in the same bytes would never end, and is not begun.
    async def scene(site):
        caller = await site.connect()
        request = get(b'/begun')
        await caller.send_all(request[:20])
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(0.05)
            await caller.send_all(request[20:] + get(b'/late'))
            answer = await read_all(caller)
            assert answer.endswith(b'/begun')
            assert b'connection: close' in answer
            await caller.aclose()
        assert site.handled == [b'/begun']

    play(scene, PATIENT)


def test_a_request_that_comes_too_late_in_a_stop_is_refused():
    # A long body arrives while the server stops, and is whole only when the
    # process has little time left. Begun, it would be cut at work, and its
    # caller could not know whether it has run. 503 tells that it has not.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(
            b'POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1',
        )
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(1)
            await caller.send_all(b'2')
            answer = await read_all(caller)
            assert answer.startswith(b'HTTP/1.1 503')
            assert b'connection: close' in answer
            await caller.aclose()
        assert not site.handled

    play(scene, PATIENT)


def test_a_late_request_is_left_to_a_handler_that_refuses_by_itself():
    # Between daemons a refusal has to say whose it is. The server's own bears
    # no such word, so the sender could not take it for "not run"; there the
    # handler gets late requests too.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(
            b'POST /hop HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n1',
        )
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(site.server.shut_down, reject_late=False),
            )
            await trio.sleep(1)
            await caller.send_all(b'2')
            answer = await read_all(caller)
            assert answer.startswith(b'HTTP/1.1 200')
            assert b'connection: close' in answer
            await caller.aclose()
        assert site.handled == [b'/hop']

    play(scene, PATIENT)


def test_a_stop_does_not_cut_an_answer_on_its_way():
    # A caller takes a long answer slowly. No request is in hand meanwhile, so
    # the connection counts as idle and is closed in the midst of the answer.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(get(b'/large'))
        await site.has_handled(b'/large')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(1)
            head, _, body = (await read_all(caller)).partition(b'\r\n\r\n')
            assert len(body) == LARGE
            await caller.aclose()
        assert not site.faults

    play(scene, PATIENT)


def test_nothing_is_begun_behind_an_answer_that_closes():
    # The server stops; the last answer says that the connection ends, and
    # its caller takes it slowly. The next request has come meanwhile. Begun,
    # it would be cut when the long answer is out and the connection closes.
    async def scene(site):
        site.server.is_stopping = True
        caller = await site.connect()
        await caller.send_all(get(b'/large'))
        await site.has_handled(b'/large')
        await trio.sleep(0.05)
        await caller.send_all(get(b'/late'))
        await trio.sleep(0.05)
        answer = await read_all(caller)
        assert b'connection: close' in answer[:200]
        assert site.handled == [b'/large']

    play(scene, PATIENT)


def test_a_request_that_crosses_the_end_of_its_connection_is_answered():
    # A connection that waits is told to end, and a request comes before the
    # task that reads there has run, on a busy loop long after. Thrown away,
    # its caller sees the connection close without an answer.
    async def scene(site):
        with socket.create_connection(('127.0.0.1', site.port)) as caller:
            with trio.fail_after(10):
                while not site.server.connections:
                    await trio.sleep(0.01)
            await trio.sleep(0.05)
            site.server.dismiss_idle(0)
            caller.sendall(get(b'/crossing'))
            caller.setblocking(False)
            await trio.lowlevel.wait_readable(caller)
            assert caller.recv(65536).endswith(b'/crossing')

    play(scene, PATIENT)


def test_chunks_and_expectations_are_understood():
    async def scene(site):
        stream = await site.connect()
        await stream.send_all(
            b'POST /p HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n',
        )
        assert b'100 Continue' in await read_until(stream, b'\r\n\r\n')
        await stream.send_all(b'2\r\nab\r\n0\r\n\r\n')
        assert (await read_until(stream, b'/pab')).startswith(b'HTTP/1.1 200')

    play(scene)


def test_a_caller_that_reads_slowly_is_not_taken_for_gone():
    # A caller takes its time with a long answer. Its kernel acknowledges
    # nothing more meanwhile; a bound on that resets the connection in the
    # midst of the answer, long before the bound on sending.
    async def scene(site):
        stream = await site.connect()
        await stream.send_all(get(b'/quick'))
        await read_until(stream, b'/quick')
        (served,) = site.server._served
        assert not served._sock.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
        )

    play(scene)


@pytest.mark.parametrize(
    'rest',
    [
        b'GET /next HT',
        b'POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1',
    ],
)
def test_a_slow_request_does_not_cut_the_answer_before_it(rest):
    # A caller takes a long answer slowly, and part of its next request stalls
    # meanwhile. Ended for that, the connection would cut the answer.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(get(b'/large'))
        await site.has_handled(b'/large')
        await caller.send_all(rest)
        await trio.sleep(3 * LIMITS.head_timeout)
        data = await read_until_size(caller, LARGE)
        assert data.partition(b'\r\n\r\n')[2].startswith(bytes(LARGE))
        assert not site.faults

    play(scene)


def test_a_last_answer_is_not_reset_by_what_is_sent_behind_it():
    # During a stop, a caller takes its last answer slowly out of its kernel
    # and sends its next request meanwhile. On a socket that is closed by
    # then, that request is met by a reset, and the rest of the answer is gone.
    async def scene(site):
        site.server.is_stopping = True
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            caller.connect(('127.0.0.1', site.port))
            caller.setblocking(False)
            caller.send(get(b'/long'))
            await site.has_handled(b'/long')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(site.server.shut_down)
                received = caller.recv(1000)
                await trio.sleep(1.5)
                caller.send(get(b'/late'))
                await trio.sleep(0.1)
                while data := await _receive(caller):
                    received += data
                caller.close()
        assert len(received) > LONG
        assert site.handled == [b'/long']

    play(scene, PATIENT)


async def _receive(sock):
    with trio.fail_after(10):
        await trio.lowlevel.wait_readable(sock)
    return sock.recv(65_536)


EXPECTS = (
    b'POST /up HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
    b'Content-Length: 2\r\n\r\n'
)


def test_a_body_is_asked_for_after_the_answers_before_it():
    # A caller asks whether it may send a body, behind another request. Told
    # at once, it would take the line for the start of the earlier answer, or
    # find it in the midst of that.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(get(b'/slow') + EXPECTS)
        data = await read_until(caller, b'100 Continue\r\n\r\n')
        assert data.startswith(b'HTTP/1.1 200')
        assert data.count(b'HTTP/1.1') == 2
        assert data.index(b'/slow') < data.index(b'100 Continue')
        await caller.send_all(b'ab')
        assert (await read_until(caller, b'/upab')).startswith(b'HTTP/1.1 200')

    play(scene, PATIENT)


def test_no_body_is_asked_for_that_would_be_refused():
    # Late in a stop, a caller asks whether it may send a body. Told to, it
    # would send all of it and be refused then.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(EXPECTS[:20])
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(1)
            await caller.send_all(EXPECTS[20:])
            assert (await read_all(caller)).startswith(b'HTTP/1.1 503')
            await caller.aclose()
        assert not site.handled

    play(scene, PATIENT)


def test_a_stop_waits_for_an_answer_whatever_stalls_behind_it():
    # Part of a next request stalls behind one in hand while the server stops.
    # It is not read any more; ended as slow, the answer in hand would be cut.
    async def scene(site):
        caller = await site.connect()
        await caller.send_all(get(b'/held') + b'GET /next HT')
        await site.has_handled(b'/held')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.shut_down)
            await trio.sleep(3 * LIMITS.head_timeout)
            site.released.set()
            assert (await read_all(caller)).endswith(b'/held')
            await caller.aclose()

    play(scene)
