"""Tests that verdicts and audit lines reach the log despite its failures."""

from datetime import timedelta
from random import Random

import msgspec
import trio
from trio.testing import MockClock

from verbenamill_daemon.settling import AuditWriter, VerdictWriter
from verbenamill_mesh.testing import EPOCH, MemoryLog, wait_until
from verbenamill_model import VerdictRecord, decode_record
from verbenamill_model.typing import Offset, VerdictKind
from verbenamill_runtime.streams import AUDIT_STREAM, CONFIG_STREAM, AuditLine

VERDICT = VerdictRecord(
    move=Offset(2),
    service='entries',
    kind=VerdictKind.DONE,
    decided_by='vm-1',
)


def run_scenario(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def read_bodies(log, stream):
    page = await log.read(stream, Offset(0))
    return [entry.body for entry in page.unwrap().entries]


def build_verdict_writer(log, *, is_running=lambda record: True):
    return VerdictWriter(
        log,
        is_running=is_running,
        config_offset=lambda: Offset(-1),
        random=Random(3),
    )


def test_lost_response_does_not_duplicate_a_verdict():
    """Each append takes effect, but its response is lost.

    Unchecked retries would fill the log with copies for as long as responses
    are lost. The writer finds its first copy in the log and stops.
    """

    async def scenario():
        log = MemoryLog()
        log.loses_answers = True
        await build_verdict_writer(log).append_verdict(VERDICT)
        assert len(await read_bodies(log, CONFIG_STREAM)) == 1

    run_scenario(scenario)


def test_verdict_is_appended_once_after_an_outage():
    """The log is down for ten minutes while a move completes.

    Traffic has already moved. The verdict has to be appended when the log is
    back, and only once although the decider requests it repeatedly.
    """

    async def scenario():
        log = MemoryLog()
        log.is_down = True
        verdict_writer = build_verdict_writer(log)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(verdict_writer.append_verdict, VERDICT)
            await trio.sleep(timedelta(minutes=10).total_seconds())
            log.is_down = False
        records = [
            decode_record(body)
            for body in await read_bodies(log, CONFIG_STREAM)
        ]
        assert [record.unwrap() for record in records] == [VERDICT]

    run_scenario(scenario)


def test_settled_move_gets_no_second_verdict():
    """A paused decider resumes after another one has given the verdict."""

    async def scenario():
        log = MemoryLog()
        await build_verdict_writer(
            log,
            is_running=lambda record: False,
        ).append_verdict(VERDICT)
        assert not await read_bodies(log, CONFIG_STREAM)

    run_scenario(scenario)


def test_audit_lines_are_appended_in_order_after_an_outage():
    """Steps that are taken while the log is down reach the audit stream."""

    async def scenario():
        log = MemoryLog()
        log.is_down = True
        writer = AuditWriter(log, random=Random(3))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            for text in ('stage 1', 'stage 2'):
                writer.add(
                    AuditLine(
                        at=EPOCH,
                        vm='vm-1',
                        move=Offset(2),
                        service='entries',
                        text=text,
                    ),
                )
            await trio.sleep(30)
            log.is_down = False
            await wait_until(lambda: not writer.pending_lines)
            nursery.cancel_scope.cancel()
        lines = [
            msgspec.json.decode(body, type=AuditLine).text
            for body in await read_bodies(log, AUDIT_STREAM)
        ]
        assert lines == ['stage 1', 'stage 2']

    run_scenario(scenario)
