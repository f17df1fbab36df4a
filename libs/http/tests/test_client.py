"""One answer to each request, whatever the other end sends."""

import socket
import struct

import pytest
import trio

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import (
    ClientResponse,
    ConnectionPool,
    ExchangeFailure,
)
from verbenamill_http.messages import get_header
from verbenamill_http.sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    USER_TIMEOUT_MS,
)

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


def answer_with(id, body=b'ok', *, extra=b''):
    return b'HTTP/1.1 200 OK\r\nid: %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
        id,
        extra,
        len(body),
        body,
    )


class Far:
    """The other end: says what it is told, once for each connection."""

    def __init__(self, *says, reads=True, resets=False):
        self.says = says
        self.reads = reads
        self.resets = resets
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            if self.reads:
                await stream.receive_some(65536)
            for data in self.says:
                await stream.send_all(data)
                await trio.sleep(0.01)
            if self.resets:
                stream.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                return
            await self._wait_for_end(stream)

    async def _wait_for_end(self, stream):
        """Wait until the client closes; with bytes unread, it resets."""
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            return


def play(far, scene):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp,
                far.serve,
                0,
            )
            port = listeners[0].socket.getsockname()[1]
            pool = ConnectionPool(
                parse_address(f'127.0.0.1:{port}'),
                limit=4,
                max_idle=5,
                connect_timeout=1,
            )
            with trio.fail_after(10):
                await scene(pool)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def exchange(pool, request=REQUEST, id=b'1'):
    connection = await pool.acquire()
    result = await connection.exchange(
        request,
        matches_request=lambda head: (
            get_header(head.headers, b'id') in {None, id}
        ),
        is_bodiless=False,
        max_body=1000,
    )
    if isinstance(result, ClientResponse) and result.is_reusable:
        pool.release(connection)
    else:
        pool.discard(connection)
    return result


def test_a_late_answer_to_another_request_is_skipped():
    async def scene(pool):
        found = await exchange(pool)
        assert found.body == b'right'

    play(Far(answer_with(b'0', b'wrong'), answer_with(b'1', b'right')), scene)


def test_an_answer_too_many_ends_the_connection():
    # A second answer comes together with the first. Left on the connection,
    # it would be taken for the answer to the next request.
    async def scene(pool):
        found = await exchange(pool)
        assert found.body == b'ok'
        assert not found.is_reusable
        assert pool.open == 0

    play(Far(answer_with(b'1') + answer_with(b'1', b'extra')), scene)


def test_an_extra_byte_on_a_kept_connection_is_noticed():
    async def scene(pool):
        assert (await exchange(pool)).is_reusable
        await trio.sleep(0.1)
        far.says = (answer_with(b'1', b'second'),)
        assert (await exchange(pool)).body == b'second'
        assert far.connections == 2

    far = Far(answer_with(b'1'), answer_with(b'1', b'late'))
    play(far, scene)


@pytest.mark.parametrize(
    ('says', 'fault'),
    [
        (
            (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut',),
            ExchangeFailure.CONNECTION_LOST,
        ),
        ((b'hello\r\n\r\n',), ExchangeFailure.MALFORMED),
        ((answer_with(b'1', b'x' * 1001),), ExchangeFailure.MALFORMED),
        ((), ExchangeFailure.CONNECTION_LOST),
    ],
)
def test_what_is_not_whole_is_no_answer(says, fault):
    async def scene(pool):
        assert await exchange(pool) is fault
        assert pool.open == 0

    play(Far(*says, resets=True), scene)


def test_a_body_that_ends_with_a_reset_is_not_whole():
    # Without a length only the end of the connection tells the end of the
    # body. A reset is no such end; taken for one, a cut photo looks whole.
    async def scene(pool):
        assert await exchange(pool) is ExchangeFailure.CONNECTION_LOST

    play(Far(b'HTTP/1.1 200 OK\r\n\r\nhalf a photo', resets=True), scene)


def test_an_answer_before_the_whole_request_ends_the_connection():
    # The other end refuses a long body before it has read it. The rest of
    # the body is still due there; a second request would be taken for it.
    async def scene(pool):
        request = (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000000\r\n\r\n'
            + bytes(50_000_000)
        )
        found = await exchange(pool, request)
        assert found.status == 200
        assert not found.is_reusable

    play(Far(answer_with(b'1')), scene)


def test_who_takes_no_connection_is_told_apart():
    async def scene(pool):
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            port = closed.getsockname()[1]
        gone = ConnectionPool(
            parse_address(f'127.0.0.1:{port}'),
            limit=1,
            max_idle=1,
            connect_timeout=1,
        )
        assert await gone.acquire() is None
        assert gone.open == 0

    play(Far(), scene)


def test_the_limit_holds_and_distrust_ends_kept_connections():
    async def scene(pool):
        taken = [await pool.acquire() for _ in range(5)]
        assert taken[4] is None
        assert pool.open == 4
        for connection in taken[:4]:
            pool.release(connection)
        pool.invalidate()
        assert pool.open == 0

    play(Far(reads=True), scene)


def test_one_lost_packet_ends_no_connection():
    # A request runs silently for seconds, and the kernel asks whether the
    # other end is there. With a bound on unacknowledged bytes, the kernel ends
    # the connection by that bound alone, once a question is out: if it passes
    # before the second one, a single lost packet ends a run that is well.
    assert USER_TIMEOUT_MS > 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S)


def test_old_connections_do_not_block_a_new_one():
    # A peak of load has left as many connections as are allowed, idle. A
    # request that must not use old ones needs a new one; without it, the
    # other end would seem to take no connection.
    async def main():
        with socket.create_server(('127.0.0.1', 0)) as listener:
            pool = ConnectionPool(
                parse_address(f'127.0.0.1:{listener.getsockname()[1]}'),
                limit=3,
                max_idle=20,
                connect_timeout=5,
            )
            for connection in [await pool.acquire() for _ in range(3)]:
                pool.release(connection)
            await trio.sleep(0.01)
            assert not pool.is_full
            fresh = await pool.acquire(max_idle=0)
            assert fresh is not None
            assert fresh.is_new
            assert pool.open == 3
            pool.discard(fresh)
            pool.close_idle()

    trio.run(main)
