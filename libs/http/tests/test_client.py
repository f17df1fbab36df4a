"""The HTTP client returns one response or failure for each request."""

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


def build_response(id, body=b'ok', *, extra=b''):
    return b'HTTP/1.1 200 OK\r\nid: %b\r\n%bContent-Length: %d\r\n\r\n%b' % (
        id,
        extra,
        len(body),
        body,
    )


class FakeServer:
    """Server that sends the given responses on each connection."""

    def __init__(self, *responses, reads=True, resets=False):
        self.responses = responses
        self.reads = reads
        self.resets = resets
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            if self.reads:
                await stream.receive_some(65536)
            for data in self.responses:
                await stream.send_all(data)
                await trio.sleep(0.01)
            if self.resets:
                stream.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
                return
            await self._wait_until_closed(stream)

    async def _wait_until_closed(self, stream):
        """Wait until the client closes or resets the connection."""
        try:
            await stream.receive_some(1)
        except trio.BrokenResourceError:
            return


def run_scenario(server, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp,
                server.serve,
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
                await scenario(pool)
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


def test_late_response_to_another_request_is_skipped():
    async def scenario(pool):
        response = await exchange(pool)
        assert response.body == b'right'

    run_scenario(
        FakeServer(
            build_response(b'0', b'wrong'), build_response(b'1', b'right')
        ),
        scenario,
    )


def test_surplus_response_closes_the_connection():
    # A second response arrives together with the first. If the connection
    # were reused, it would be read as the response to the next request.
    async def scenario(pool):
        response = await exchange(pool)
        assert response.body == b'ok'
        assert not response.is_reusable
        assert pool.open_count == 0

    run_scenario(
        FakeServer(build_response(b'1') + build_response(b'1', b'extra')),
        scenario,
    )


def test_unexpected_bytes_on_an_idle_connection_close_it():
    async def scenario(pool):
        assert (await exchange(pool)).is_reusable
        await trio.sleep(0.1)
        server.responses = (build_response(b'1', b'second'),)
        assert (await exchange(pool)).body == b'second'
        assert server.connections == 2

    server = FakeServer(build_response(b'1'), build_response(b'1', b'late'))
    run_scenario(server, scenario)


@pytest.mark.parametrize(
    ('responses', 'fault'),
    [
        (
            (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut',),
            ExchangeFailure.CONNECTION_LOST,
        ),
        ((b'hello\r\n\r\n',), ExchangeFailure.MALFORMED),
        ((build_response(b'1', b'x' * 1001),), ExchangeFailure.MALFORMED),
        ((), ExchangeFailure.CONNECTION_LOST),
    ],
)
def test_incomplete_response_is_a_failure(responses, fault):
    async def scenario(pool):
        assert await exchange(pool) is fault
        assert pool.open_count == 0

    run_scenario(FakeServer(*responses, resets=True), scenario)


def test_body_ended_by_a_reset_is_incomplete():
    # Without a length, the end of the connection is the end of the body. If a
    # reset counted as such an end, a truncated photo would look complete.
    async def scenario(pool):
        assert await exchange(pool) is ExchangeFailure.CONNECTION_LOST

    run_scenario(
        FakeServer(b'HTTP/1.1 200 OK\r\n\r\nhalf a photo', resets=True),
        scenario,
    )


def test_response_before_the_end_of_the_request_closes_the_connection():
    # The server rejects a long body before it has read all of it. It still
    # expects the rest of the body and would read a second request as part of
    # it.
    async def scenario(pool):
        request = (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000000\r\n\r\n'
            + bytes(50_000_000)
        )
        response = await exchange(pool, request)
        assert response.status == 200
        assert not response.is_reusable

    run_scenario(FakeServer(build_response(b'1')), scenario)


def test_a_request_that_is_given_up_is_not_sent_any_further():
    """Guards against requests that arrive after their callers have left."""
    ends = []

    async def serve(stream):
        await stream.receive_some(65536)
        try:
            ends.append(await stream.receive_some(65536))
        except trio.BrokenResourceError:
            # Only a reset makes the kernel drop bytes that it still sends.
            ends.append('reset')

    async def scenario(pool):
        connection = await pool.acquire()
        with trio.move_on_after(0.05):
            await pool.exchange(
                connection,
                REQUEST,
                matches_request=lambda _: True,
                is_bodiless=False,
                max_body=1000,
            )
        assert pool.open_count == 0
        while not ends:
            await trio.sleep(0.01)
        assert ends == ['reset']

    server = FakeServer()
    server.serve = serve
    run_scenario(server, scenario)


def test_refused_connection_yields_none():
    async def scenario(pool):
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            port = closed.getsockname()[1]
        unreachable_pool = ConnectionPool(
            parse_address(f'127.0.0.1:{port}'),
            limit=1,
            max_idle=1,
            connect_timeout=1,
        )
        assert await unreachable_pool.acquire() is None
        assert unreachable_pool.open_count == 0

    run_scenario(FakeServer(), scenario)


def test_limit_is_enforced_and_invalidate_closes_connections():
    async def scenario(pool):
        acquired = [await pool.acquire() for _ in range(5)]
        assert acquired[4] is None
        assert pool.open_count == 4
        for connection in acquired[:4]:
            pool.release(connection)
        pool.invalidate()
        assert pool.open_count == 0

    run_scenario(FakeServer(reads=True), scenario)


def test_single_lost_packet_does_not_end_a_connection():
    # While a request runs for seconds without traffic, the kernel sends
    # keepalive probes. With TCP_USER_TIMEOUT set, the kernel applies only that
    # limit once a probe is outstanding. If it expires before the second probe,
    # a single lost packet aborts a healthy request.
    assert USER_TIMEOUT_MS > 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S)


def test_expired_connections_do_not_block_a_new_one():
    # A peak of load has left the maximum number of connections idle. A request
    # that must not use them needs a new connection; without one, the server
    # would appear to refuse connections.
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
            new_connection = await pool.acquire(max_idle=0)
            assert new_connection is not None
            assert new_connection.is_new
            assert pool.open_count == 3
            pool.discard(new_connection)
            pool.close_idle()

    trio.run(main)
