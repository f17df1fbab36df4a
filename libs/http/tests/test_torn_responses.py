"""Responses that break off while the request is still being sent."""

import socket

import pytest
import trio

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import (
    ClientResponse,
    ConnectionPool,
    ExchangeFailure,
)

BODY = b'answer' * 1500
HALF = len(BODY) // 2
CHUNK_LINE = b'%x\r\n' % len(BODY)
#: Status line and headers, what precedes the body, and what follows it.
FRAMINGS = {
    'closed': (b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', b'', b''),
    'closed-1.0': (b'HTTP/1.0 200 OK\r\n\r\n', b'', b''),
    'length': (
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(BODY),
        b'',
        b'',
    ),
    'chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        CHUNK_LINE,
        b'\r\n0\r\n\r\n',
    ),
}
UPLOADS = (0, 3000, 360_000, 3_000_000)
#: Which of two waiting tasks runs first after a reset is random.
ATTEMPTS = 12
SMALL_BUFFER_BYTES = 8 * 1024
SEGMENT_BYTES = 1460


class EarlyServer:
    """Answers before it has read a request, and then ends the connection.

    :param parts: what it sends, with a pause after each part.
    :param ends_output: whether its output ends before the connection does.
    """

    def __init__(self, *parts, ends_output):
        self._parts = parts
        self._ends_output = ends_output

    async def serve(self, stream):
        async with stream:
            await stream.receive_some(100)
            for part in self._parts:
                await stream.send_all(part)
                await trio.sleep(0.02)
            if self._ends_output:
                stream.socket.shutdown(socket.SHUT_WR)
            # Bytes of the request that were not read reset the connection.


async def exchange(server, upload_size):
    """Send an upload to a server that reads little of it."""
    with socket.socket() as listener:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        # With the large segments of the loopback interface, the kernel takes
        # the whole request at once.
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        pool = ConnectionPool(
            parse_address(f'127.0.0.1:{port}'),
            limit=4,
            max_idle=5,
            connect_timeout=1,
        )
        request = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
        async with trio.open_nursery() as nursery:
            listening = trio.SocketListener(
                trio.socket.from_stdlib_socket(listener)
            )
            nursery.start_soon(trio.serve_listeners, server.serve, [listening])
            connection = await pool.acquire()
            with trio.fail_after(5):
                result = await pool.exchange(
                    connection,
                    request % upload_size + bytes(upload_size),
                    matches_request=lambda _: True,
                    is_bodiless=False,
                    max_body=1_000_000,
                )
            nursery.cancel_scope.cancel()
    return result


@pytest.mark.parametrize('upload_size', UPLOADS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_response_that_a_reset_breaks_off_is_not_complete(
    framing, upload_size
):
    """Guards against halves of responses that look whole."""
    head, before, _ = FRAMINGS[framing]
    server = EarlyServer(head + before + BODY[:HALF], ends_output=False)

    async def scenario():
        for _ in range(ATTEMPTS):
            result = await exchange(server, max(upload_size, 200))
            assert result is ExchangeFailure.CONNECTION_LOST

    trio.run(scenario)


@pytest.mark.parametrize('upload_size', UPLOADS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_whole_response_to_an_unread_request_is_complete(
    framing, upload_size
):
    """Guards against whole responses that count as broken off."""
    head, before, after = FRAMINGS[framing]
    server = EarlyServer(
        head + before + BODY[:HALF], BODY[HALF:] + after, ends_output=True
    )

    async def scenario():
        for _ in range(ATTEMPTS):
            result = await exchange(server, max(upload_size, 200))
            assert isinstance(result, ClientResponse), result
            assert result.body == BODY

    trio.run(scenario)
