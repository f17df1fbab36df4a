"""Responses that break off while the request is still being sent."""

from functools import partial

import pytest
import trio

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import (
    ClientResponse,
    ConnectionPool,
    ExchangeFailure,
)
from verbenamill_platform_standins.early_answers import EarlyServer

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
UPLOADS = (1200, 3000, 360_000, 3_000_000)
#: Which of two waiting tasks runs first after a reset is random.
ATTEMPTS = 12


async def exchange(server, upload_size):
    """Send an upload to a server that reads little of it."""
    pool = ConnectionPool(
        parse_address(server.address), limit=4, max_idle=5, connect_timeout=1
    )
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
    with trio.fail_after(5):
        return await pool.exchange(
            await pool.acquire(),
            head % upload_size + bytes(upload_size),
            matches_request=lambda _: True,
            is_bodiless=False,
            max_body=1_000_000,
        )


async def exchange_repeatedly(parts, *, ends_output, upload_size):
    server = EarlyServer()
    server.parts = parts
    server.ends_output = ends_output
    results = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve)
        for _ in range(ATTEMPTS):
            results.append(await exchange(server, upload_size))
        nursery.cancel_scope.cancel()
    return results


@pytest.mark.parametrize('upload_size', UPLOADS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_response_that_a_reset_breaks_off_is_not_complete(
    framing, upload_size
):
    """Guards against halves of responses that look whole."""
    head, before, _ = FRAMINGS[framing]
    results = trio.run(
        partial(
            exchange_repeatedly,
            (head + before + BODY[:HALF],),
            ends_output=False,
            upload_size=upload_size,
        )
    )
    assert results == [ExchangeFailure.CONNECTION_LOST] * ATTEMPTS


@pytest.mark.parametrize('upload_size', UPLOADS)
@pytest.mark.parametrize('framing', FRAMINGS)
def test_a_whole_response_to_an_unread_request_is_complete(
    framing, upload_size
):
    """Guards against whole responses that count as broken off."""
    head, before, after = FRAMINGS[framing]
    results = trio.run(
        partial(
            exchange_repeatedly,
            (head + before + BODY[:HALF], BODY[HALF:] + after),
            ends_output=True,
            upload_size=upload_size,
        )
    )
    for result in results:
        assert isinstance(result, ClientResponse), result
        assert result.body == BODY
