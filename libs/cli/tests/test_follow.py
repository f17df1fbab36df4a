"""``verdicts --follow`` survives outages and an expired head."""

from random import Random

import trio
import trio.testing

from verbenamill_cli.verdicts import VerdictFollower
from verbenamill_model import (
    Service,
    Ticket,
    TicketRecord,
    VerdictRecord,
    encode_record,
)
from verbenamill_model.typing import VerdictKind


def follow(log, script):
    """Run a follower while a script plays; gives what it told."""
    told, warned = [], []

    async def main():
        follower = VerdictFollower(
            log,
            on_verdict=lambda verdict: told.append(verdict.kind),
            on_warning=warned.append,
            random=Random(2),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await script()
            await trio.sleep(60)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return told, warned


def put_move(log, number):
    """Append a ticket that moves entries; gives the move's id."""
    offset = len(log.streams.get('config', ()))
    service = Service(
        name='entries',
        version=f'v{number}',
        deadline='2026-12-03T00:00:00Z',
    )
    record = TicketRecord(
        ticket=Ticket(number=number, author='ann', services=(service,)),
    )
    log.put('config', encode_record(record))
    return offset


def put_verdict(log, move, kind):
    record = VerdictRecord(
        move=move,
        service='entries',
        kind=kind,
        decided_by='vm-1',
    )
    log.put('config', encode_record(record))


def test_outage_delays_verdicts_and_is_said_once(log):
    """The log goes down between two verdicts.

    Both must be told, each once, in order, and the outage in one line.
    """
    put_move(log, 1)
    first = put_move(log, 2)

    async def script():
        await trio.sleep(1)
        put_verdict(log, first, VerdictKind.DONE)
        await trio.sleep(1)
        log.down = True
        await trio.sleep(300)
        put_verdict(log, put_move(log, 3), VerdictKind.TAKEN_BACK)
        log.down = False

    told, warned = follow(log, script)
    assert told == [VerdictKind.DONE, VerdictKind.TAKEN_BACK]
    assert len(warned) == 2
    assert warned[1] == 'the log answers again'


def test_follower_that_fell_behind_starts_from_a_checkpoint(log):
    """An outage outlasts the log's retention.

    What the follower had not read has expired; it goes on from the newest
    checkpoint, and verdicts that it told are not told again.
    """
    put_move(log, 1)
    first = put_move(log, 2)

    async def script():
        await trio.sleep(1)
        put_verdict(log, first, VerdictKind.DONE)
        await trio.sleep(1)
        log.down = True
        put_verdict(log, put_move(log, 3), VerdictKind.TAKEN_BACK)
        log.checkpoint(4)
        log.oldest['config'] = 5
        log.down = False

    told, _ = follow(log, script)
    assert told == [VerdictKind.DONE, VerdictKind.TAKEN_BACK]
