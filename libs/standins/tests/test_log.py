"""The stand-in log, spoken to by the product's own adapter."""

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


class Served:
    def __init__(self, port):
        self.port = port
        self.log = HttpLog(
            f'http://127.0.0.1:{port}', timeout=timedelta(seconds=1)
        )

    async def control(self, **faults):
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


def run_served(check, **options):
    async def main():
        service = LogService(**options)
        config = Config()
        config.bind = ['127.0.0.1:0']
        config.graceful_timeout = 0
        async with trio.open_nursery() as nursery:
            bound = await nursery.start(serve, make_log_app(service), config)
            served = Served(int(bound[0].rsplit(':', 1)[1]))
            with trio.fail_after(10):
                await check(served)
            await served.log.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_long_poll_wakes_up_with_the_record():
    """A reader asks before there is a record and gets it when it comes."""

    async def check(served):
        pages = []

        async def read():
            pages.append(
                await served.log.read('s', 0, wait=timedelta(seconds=5))
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.05)
            assert await served.log.append('s', b'one') == Success(0)
        page = pages[0].unwrap()
        assert [entry.body for entry in page.entries] == [b'one']
        assert (page.oldest, page.end) == (0, 1)

    run_served(check)


def test_expired_offset_is_told_with_the_oldest():
    async def check(served):
        for number in range(4):
            await served.log.append('s', str(number).encode())
        failed = await served.log.read('s', 0)
        assert isinstance(failed, Failure)
        assert_that(
            failed.failure(),
            MatchesStructure(fault=Equals(LogFault.EXPIRED), oldest=Equals(2)),
        )
        page = (await served.log.read('s', 2)).unwrap()
        assert [entry.offset for entry in page.entries] == [2, 3]

    run_served(check, retention=2)


def test_append_beyond_the_rate_is_not_taken():
    async def check(served):
        faults = [
            (await served.log.append('s', b'x')).map(lambda _: None)
            for _ in range(3)
        ]
        assert faults[-1].failure().fault is LogFault.THROTTLED
        assert (await served.log.read('s', 0)).unwrap().end == 2

    run_served(check, appends_per_second=2)


def test_lost_answer_took_effect_and_outage_takes_none():
    """The append is on the log although its caller heard of a fault.

    The next append must answer again, and one during an outage must be
    refused for certain, or a caller could not tell the two apart.
    """

    async def check(served):
        await served.control(lose_answers=1)
        lost = await served.log.append('s', b'lost')
        assert lost.failure().fault is LogFault.UNKNOWN
        assert await served.log.append('s', b'next') == Success(1)
        await served.control(outage=True)
        refused = await served.log.append('s', b'no')
        assert refused.failure().fault is LogFault.NOT_APPENDED
        read = await served.log.read('s', 0)
        assert read.failure().fault is LogFault.UNAVAILABLE
        told = await served.control()
        assert told['counters']['lost'] == 1
        bodies = [
            e.body for e in (await served.log.read('s', 0)).unwrap().entries
        ]
        assert bodies == [b'lost', b'next']

    run_served(check)
