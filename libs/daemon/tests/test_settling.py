"""Verdicts and audit lines reach the log once its faults are over."""

from datetime import timedelta
from random import Random

import msgspec
import trio
from trio.testing import MockClock

from verbenamill_daemon.settling import AuditWriter, Settler
from verbenamill_mesh.testing import EPOCH, MemoryLog, wait_until
from verbenamill_model import VerdictRecord, decode_record
from verbenamill_model.typing import Offset, VerdictKind
from verbenamill_runtime.streams import AUDIT_STREAM, CONFIG_STREAM, AuditLine

DONE = VerdictRecord(
    move=Offset(2),
    service='entries',
    kind=VerdictKind.DONE,
    decided_by='vm-1',
)


def run(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def bodies(log, stream):
    page = await log.read(stream, Offset(0))
    return [entry.body for entry in page.unwrap().entries]


def build_settler(log, *, running=lambda record: True):
    return Settler(
        log,
        running=running,
        read_to=lambda: Offset(-1),
        random=Random(3),
    )


def test_lost_answer_is_looked_for_before_repeating():
    """The append takes effect and its answer is lost, each time.

    A settler that repeated blindly would fill the log with copies for as
    long as answers are lost; this one finds its first copy and stops.
    """

    async def scenario():
        log = MemoryLog()
        log.loses_answers = True
        await build_settler(log).settle(DONE)
        assert len(await bodies(log, CONFIG_STREAM)) == 1

    run(scenario)


def test_outage_delays_a_verdict_and_does_not_lose_it():
    """The log is away for ten minutes while a move ends well.

    Traffic has moved already; the verdict has to follow once the log is
    back, and only once although the decider asks again and again.
    """

    async def scenario():
        log = MemoryLog()
        log.is_down = True
        settler = build_settler(log)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(settler.settle, DONE)
            await trio.sleep(timedelta(minutes=10).total_seconds())
            log.is_down = False
        records = [
            decode_record(body) for body in await bodies(log, CONFIG_STREAM)
        ]
        assert [record.unwrap() for record in records] == [DONE]

    run(scenario)


def test_settled_move_gets_no_second_verdict():
    """A decider wakes from a pause after another one gave the verdict."""

    async def scenario():
        log = MemoryLog()
        await build_settler(log, running=lambda record: False).settle(DONE)
        assert not await bodies(log, CONFIG_STREAM)

    run(scenario)


def test_audit_lines_wait_for_the_log():
    """Steps taken during an outage are in the trail, in their order."""

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
            await wait_until(lambda: not writer.waiting)
            nursery.cancel_scope.cancel()
        lines = [
            msgspec.json.decode(body, type=AuditLine).text
            for body in await bodies(log, AUDIT_STREAM)
        ]
        assert lines == ['stage 1', 'stage 2']

    run(scenario)
