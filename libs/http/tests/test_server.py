"""What a peer sees of the server: order, limits, ends."""

import socket

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


def get(path, *, extra=b''):
    return b'GET %b HTTP/1.1\r\nHost: a\r\n%b\r\n' % (path, extra)


class Site:
    """A server whose handler waits as its path says, and a peer."""

    def __init__(self, nursery):
        self.faults = []
        self.cancelled = []
        self.handled = []
        self.server = HttpServer(
            self.handle,
            limits=lambda: LIMITS,
            on_fault=self.faults.append,
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
        try:
            await trio.sleep(0.3 if path == b'/slow' else 0)
        except trio.Cancelled:
            self.cancelled.append(path)
            raise
        return Response(status=200, body=path + request.body)

    async def connect(self):
        return await trio.open_tcp_stream('127.0.0.1', self.port)


async def read_all(stream):
    data = b''
    with trio.fail_after(10):
        while chunk := await stream.receive_some(65536):
            data += chunk
    return data


async def read_until(stream, end):
    data = b''
    with trio.fail_after(10):
        while not data.endswith(end):
            chunk = await stream.receive_some(65536)
            assert chunk, data
            data += chunk
    return data


def play(scene):
    async def main():
        async with trio.open_nursery() as nursery:
            await scene(Site(nursery))
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
            nursery.start_soon(site.server.finish)
            answer = await read_all(busy)
            assert answer.endswith(b'/slow')
            assert b'connection: close' in answer
            assert await read_all(idle) == b''
            await busy.aclose()
        assert site.server.connections == 0

    play(scene)


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
        (peer,) = site.server._peers
        assert not peer._sock.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
        )

    play(scene)
