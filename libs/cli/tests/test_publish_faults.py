"""Publishing during arbitrary sequences of log faults."""

from datetime import UTC, datetime, timedelta
from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.retrying_log import RetryingLog
from verbenamill_cli.publish import publish
from verbenamill_model import (
    Applied,
    Entry,
    Service,
    State,
    Ticket,
    TicketRecord,
    accept,
    encode_record,
)
from verbenamill_runtime import LogError, LogFault, LogPage

TICKET = Ticket(
    number=7,
    author='ann',
    services=(Service(name='entries', version='v1'),),
)
OTHER_TICKET = Ticket(
    number=7,
    author='bob',
    services=(Service(name='entries', version='v9'),),
)
TICKET_RECORD = encode_record(TicketRecord(ticket=TICKET))
NOW = datetime(2026, 12, 2, tzinfo=UTC)


class FaultyLog:
    """A log that produces a given sequence of faults and then works.

    An append with the fault ``late`` takes effect at the second read after
    it, because the request was still in transit when it timed out.
    """

    def __init__(self, appends, reads, other_ticket_at):
        self.records = []
        self.appends = list(appends)
        self.reads = list(reads)
        self.other_ticket_at = other_ticket_at
        self.in_transit = []

    def put(self, body):
        if len(self.records) == self.other_ticket_at:
            self.records.append(
                encode_record(TicketRecord(ticket=OTHER_TICKET))
            )
        self.records.append(body)

    async def append(self, stream, body):
        await trio.sleep(0)
        fault = self.appends.pop(0) if self.appends else 'ok'
        if fault in {'ok', 'lost'}:
            self.put(body)
        if fault == 'late':
            self.in_transit.append([2, body])
        if fault == 'ok':
            return Success(len(self.records) - 1)
        kind = LogFault.UNKNOWN
        if fault in {'throttled', 'not-taken'}:
            kind = LogFault(fault)
        return Failure(LogError(fault=kind, detail=fault))

    async def read(self, stream, start, *, limit=500, wait=timedelta(0)):
        await trio.sleep(0)
        for delayed in self.in_transit:
            delayed[0] -= 1
            if delayed[0] == 0:
                self.put(delayed[1])
        if self.reads and not self.reads.pop(0):
            fault = LogError(fault=LogFault.UNAVAILABLE, detail='made to fail')
            return Failure(fault)
        bodies = self.records if stream == 'config' else []
        entries = tuple(
            Entry(offset=offset, at=NOW, body=bodies[offset])
            for offset in range(start, len(bodies))
        )
        return Success(LogPage(entries=entries, oldest=0, end=len(bodies)))


def accepted_tickets(log):
    state = State()
    accepted = []
    for offset, body in enumerate(log.records):
        entry = Entry(offset=offset, at=NOW, body=body)
        state, answer = accept(state, entry)
        if isinstance(answer, Applied):
            accepted.append(body)
    return accepted


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    appends=st.lists(
        st.sampled_from(['lost', 'late', 'throttled', 'not-taken']),
        max_size=5,
    ),
    reads=st.lists(st.booleans(), max_size=12),
    outage=st.booleans(),
    other_ticket_at=st.sampled_from([None, 0, 1]),
    seed=st.integers(0, 100),
)
def test_reported_outcome_matches_the_log(
    appends, reads, outage, other_ticket_at, seed
):
    """Answers are lost, appends take effect late, reads fail, and another
    operator uses the number. "Accepted" must mean that this ticket took
    effect, "refused" that it did not, and "nothing was changed" that it is
    not on the log, now or later.
    """
    log = FaultyLog(appends, reads, other_ticket_at)
    if outage:
        log.reads += [False] * 10_000

    async def run():
        retrying = RetryingLog(
            log,
            limit=timedelta(seconds=10),
            random=Random(seed),
        )
        return await publish(retrying, TICKET, now=NOW)

    clock = trio.testing.MockClock(autojump_threshold=0)
    outcome = trio.run(run, clock=clock)
    for _, body in [late for late in log.in_transit if late[0] > 0]:
        log.put(body)
    in_force = accepted_tickets(log)
    match outcome:
        case Success(_):
            assert in_force == [TICKET_RECORD]
        case Failure(error) if error.code is ExitCode.REFUSED:
            assert TICKET_RECORD not in in_force
        case Failure(error) if error.code is ExitCode.UNAVAILABLE:
            assert TICKET_RECORD not in log.records
        case Failure(error):
            assert error.code is ExitCode.UNKNOWN
