"""Tests of the stand-in log with the HTTP log client of the product."""

import json
from datetime import timedelta

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from returns.result import Failure, Success
from testtools.matchers import Equals, MatchesStructure
from testtools.assertions import assert_that

from verbenamill_runtime import LogFault
from verbenamill_runtime.http_log import HttpLog
from verbenamill_standins import Caller, LogService, make_log_app


class LogUnderTest:
    def __init__(self, port):
        self.port = port
        self.log = HttpLog(
            f'http://127.0.0.1:{port}', timeout=timedelta(seconds=1)
        )

    async def put_control(self, **faults):
        caller = Caller()
        reply = await caller.call(
            f'127.0.0.1:{self.port}',
            'PUT',
            '/control',
            headers={},
            body=json.dumps(faults).encode(),
        )
        await caller.aclose()
        return json.loads(reply.message.body)


def run_with_log_server(check, **options):
    async def main():
        service = LogService(**options)
        config = Config()
        config.bind = ['127.0.0.1:0']
        config.graceful_timeout = 0
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve, make_log_app(service), config)
            log_server = LogUnderTest(int(bound[0].rsplit(':', 1)[1]))
            with trio.fail_after(10):
                await check(log_server)
            await log_server.log.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_long_poll_returns_when_a_record_is_appended():
    """A long poll that starts before an append returns the new record."""

    async def check(log_server):
        pages = []

        async def read():
            pages.append(
                await log_server.log.read('s', 0, wait=timedelta(seconds=5))
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.05)
            assert await log_server.log.append('s', b'one') == Success(0)
        page = pages[0].unwrap()
        assert [entry.body for entry in page.entries] == [b'one']
        assert (page.oldest, page.end) == (0, 1)

    run_with_log_server(check)


def test_read_of_expired_offset_reports_the_oldest_offset():
    async def check(log_server):
        for number in range(4):
            await log_server.log.append('s', str(number).encode())
        expired_read = await log_server.log.read('s', 0)
        assert isinstance(expired_read, Failure)
        assert_that(
            expired_read.failure(),
            MatchesStructure(fault=Equals(LogFault.EXPIRED), oldest=Equals(2)),
        )
        page = (await log_server.log.read('s', 2)).unwrap()
        assert [entry.offset for entry in page.entries] == [2, 3]

    run_with_log_server(check, retention=2)


def test_append_above_the_rate_limit_is_rejected():
    async def check(log_server):
        faults = [
            (await log_server.log.append('s', b'x')).map(lambda _: None)
            for _ in range(3)
        ]
        assert faults[-1].failure().fault is LogFault.THROTTLED
        assert (await log_server.log.read('s', 0)).unwrap().end == 2

    run_with_log_server(check, appends_per_second=2)


def test_append_with_lost_response_takes_effect_but_not_in_outage():
    """An append whose response is lost is stored although it reports a fault.

    The next append must succeed, and one during an outage must be definitely
    rejected. Otherwise a caller could not distinguish the two faults.
    """

    async def check(log_server):
        await log_server.put_control(lose_answers=1)
        lost_append = await log_server.log.append('s', b'lost')
        assert lost_append.failure().fault is LogFault.UNKNOWN
        assert await log_server.log.append('s', b'next') == Success(1)
        await log_server.put_control(outage=True)
        refused = await log_server.log.append('s', b'no')
        assert refused.failure().fault is LogFault.NOT_APPENDED
        read = await log_server.log.read('s', 0)
        assert read.failure().fault is LogFault.UNAVAILABLE
        control_state = await log_server.put_control()
        assert control_state['counters']['lost'] == 1
        bodies = [
            e.body for e in (await log_server.log.read('s', 0)).unwrap().entries
        ]
        assert bodies == [b'lost', b'next']

    run_with_log_server(check)
