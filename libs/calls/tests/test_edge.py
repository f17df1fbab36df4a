"""Hostile and careless requests at the edge."""

from datetime import timedelta

import pytest
import trio

from verbenamill_calls import CallSettings

SMALL = CallSettings(
    ramp=timedelta(0),
    max_head=4096,
    max_body=100_000,
    buffer=1000,
)


def request(*lines, body=b''):
    return '\r\n'.join([*lines, '\r\n']).encode() + body


HOSTILE = {
    'two lengths': (
        request(
            'POST /entries HTTP/1.1',
            'host: a',
            'content-length: 3',
            'content-length: 4',
            body=b'abcd',
        ),
        400,
    ),
    'length and chunks': (
        request(
            'POST /entries HTTP/1.1',
            'host: a',
            'content-length: 3',
            'transfer-encoding: chunked',
            body=b'0\r\n\r\nGET /x HTTP/1.1\r\nhost: a\r\n\r\n',
        ),
        400,
    ),
    'hidden encoding': (
        request(
            'POST /entries HTTP/1.1',
            'host: a',
            'transfer-encoding: gzip, chunked',
            body=b'0\r\n\r\n',
        ),
        501,
    ),
    'upgrade': (
        request(
            'POST /entries HTTP/1.1',
            'host: a',
            'connection: upgrade',
            'upgrade: h2c',
            'content-length: 3',
            body=b'abc',
        ),
        501,
    ),
    'two hosts': (
        request('GET /entries HTTP/1.1', 'host: a', 'host: b'),
        400,
    ),
    'no host': (request('GET /entries HTTP/1.1'), 400),
    'old version': (request('GET /entries HTTP/1.0', 'host: a'), 505),
    'parent path': (
        request('GET /entries/%2e%2E/catalog HTTP/1.1', 'host: a'),
        400,
    ),
    'other form': (request('GET http://a/entries HTTP/1.1', 'host: a'), 400),
    'long head': (
        request('GET /entries HTTP/1.1', f'x: {"y" * 5000}', 'host: a'),
        431,
    ),
    'long body': (
        request('PUT /entries HTTP/1.1', 'host: a', 'content-length: 100001'),
        413,
    ),
    'no HTTP': (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n', 400),
}


@pytest.mark.parametrize('name', HOSTILE)
def test_hostile_request_is_refused_and_reaches_no_upstream(
    fleet,
    http,
    name,
):
    data, status = HOSTILE[name]

    async def check(daemons, nursery):
        async with await daemons[0].connect() as stream:
            await stream.send_all(data)
            answer = await http.read_answer(stream)
            assert answer.status == status
            assert answer.headers[b'connection'] == b'close'
            assert await stream.receive_some() == b''
        assert not daemons[0].upstream.targets

    fleet(check, 1, SMALL)


def test_pipelined_requests_are_answered_in_order(fleet, http):
    async def check(daemons, nursery):
        async with await daemons[0].connect() as stream:
            for number in range(3):
                await stream.send_all(http.encode('GET', f'/entries/{number}'))
            seen = b''
            while seen.count(b'HTTP/1.1 200') < 3 or b'/entries/2' not in seen:
                seen += await stream.receive_some()
        places = [seen.index(b'/entries/%d' % number) for number in range(3)]
        assert places == sorted(places)

    fleet(check, 1)


def test_headers_of_one_connection_stay_on_it(fleet):
    async def check(daemons, nursery):
        await daemons[0].call(
            'GET',
            '/entries',
            connection='keep-alive, x-secret',
            x_secret='1',
            te='trailers',
            verbenamill_outcome='ok',
            x_kept='2',
        )
        seen = daemons[0].upstream.heads[0]
        assert seen[b'x-kept'] == b'2'
        dropped = {b'x-secret', b'te', b'connection', b'verbenamill-outcome'}
        assert dropped.isdisjoint(seen)

    fleet(check, 1)


def test_upstream_cannot_speak_as_a_daemon(fleet):
    """An upstream claims "not run", so the caller would repeat a fee."""

    async def check(daemons, nursery):
        upstream = daemons[0].upstream

        async def lie(stream, target):
            await upstream.reply(
                stream,
                b'no',
                503,
                b'verbenamill-outcome: not-run\r\n',
            )

        upstream.answer = lie
        answer = await daemons[0].call('POST', '/entries', b'100')
        assert (answer.status, answer.outcome) == (503, None)

    fleet(check, 1)


def test_caller_cannot_speak_as_a_daemon(fleet):
    """A caller sends the headers of a daemon to reach an upstream unrouted.

    It does so from an address where no daemon runs.
    """

    async def check(daemons, nursery):
        daemon = daemons[0]
        hop = '["i","r","entries","v1","normal",true,1000,"c"]'
        answer = await daemon.call('GET', '/secret', verbenamill_call=hop)
        assert answer.status == 200
        await trio.sleep(12)
        daemon.calls_host = '127.0.0.9'
        daemon.announce()
        for headers in (
            {'verbenamill_call': hop},
            {'verbenamill_call': 'junk'},
            {'verbenamill_ask': '["i",false,1000]'},
        ):
            answer = await daemon.call('GET', '/secret', **headers)
            assert answer.status == 403
        assert daemon.upstream.targets == [b'/secret']

    fleet(check, 1)


def test_slow_senders_lose_their_connection(fleet, http):
    """Connections that send a byte now and then would use up all there are."""

    async def check(daemons, nursery):
        async with await daemons[0].connect() as stream:
            await stream.send_all(b'GET /ent')
            answer = await http.read_answer(stream)
            assert answer.status == 408
        async with await daemons[0].connect() as stream:
            await stream.send_all(http.encode('POST', '/entries', b'abc')[:-1])
            answer = await http.read_answer(stream)
            assert (answer.status, answer.outcome) == (408, b'not-run')
        async with await daemons[0].connect() as stream:
            began_at = trio.current_time()
            assert await stream.receive_some() == b''
            assert trio.current_time() - began_at < 75
        assert not daemons[0].upstream.targets

    fleet(check, 1)


def test_chunked_body_over_the_limit_breaks_off(fleet, http):
    async def check(daemons, nursery):
        async with await daemons[0].connect() as stream:
            head = http.encode('PUT', '/entries', transfer_encoding='chunked')
            await stream.send_all(head)
            chunk = b'2710\r\n' + b'x' * 10_000 + b'\r\n'
            try:
                for _ in range(50):
                    await stream.send_all(chunk)
                    await trio.sleep(0.01)
            except trio.BrokenResourceError:
                pass
        await trio.sleep(3)
        assert not daemons[0].upstream.bodies
        assert daemons[0].local.admission.running == 0

    fleet(check, 1, SMALL)
