"""``verdicts --follow`` through outages and expired records."""

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
    """Run a follower during a script.

    :returns: kinds of the reported verdicts, and the warnings.
    """
    reported, warnings = [], []

    async def main():
        follower = VerdictFollower(
            log,
            on_verdict=lambda verdict: reported.append(verdict.kind),
            on_warning=warnings.append,
            random=Random(2),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await script()
            await trio.sleep(60)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return reported, warnings


def put_move(log, number):
    """Append a ticket that moves entries, and return the id of the move."""
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


def test_outage_delays_verdicts_and_is_reported_once(log):
    """The log goes down between two verdicts.

    Both must be reported once and in order, and the outage in one line.
    """
    put_move(log, 1)
    first = put_move(log, 2)

    async def script():
        await trio.sleep(1)
        put_verdict(log, first, VerdictKind.DONE)
        await trio.sleep(1)
        log.is_down = True
        await trio.sleep(300)
        put_verdict(log, put_move(log, 3), VerdictKind.TAKEN_BACK)
        log.is_down = False

    reported, warnings = follow(log, script)
    assert reported == [VerdictKind.DONE, VerdictKind.TAKEN_BACK]
    assert len(warnings) == 2
    assert warnings[1] == 'the log answers again'


def test_follower_that_fell_behind_starts_from_a_checkpoint(log):
    """An outage outlasts the retention of the log.

    Records that the follower had not read have expired. It continues from
    the newest checkpoint and reports no verdict twice.
    """
    put_move(log, 1)
    first = put_move(log, 2)

    async def script():
        await trio.sleep(1)
        put_verdict(log, first, VerdictKind.DONE)
        await trio.sleep(1)
        log.is_down = True
        put_verdict(log, put_move(log, 3), VerdictKind.TAKEN_BACK)
        log.checkpoint(4)
        log.oldest['config'] = 5
        log.is_down = False

    reported, _ = follow(log, script)
    assert reported == [VerdictKind.DONE, VerdictKind.TAKEN_BACK]
