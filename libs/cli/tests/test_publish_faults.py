"""Publishing over any order of faults of the log."""

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
RIVAL = Ticket(
    number=7,
    author='bob',
    services=(Service(name='entries', version='v9'),),
)
OURS = encode_record(TicketRecord(ticket=TICKET))
NOW = datetime(2026, 12, 2, tzinfo=UTC)


class FaultyLog:
    """A log that follows a script of faults, then answers.

    ``late`` appends take effect only at the read after the next one: the
    request was still on its way when its answer was given up.
    """

    def __init__(self, appends, reads, rival_at):
        self.records = []
        self.appends = list(appends)
        self.reads = list(reads)
        self.rival_at = rival_at
        self.underway = []

    def put(self, body):
        if len(self.records) == self.rival_at:
            self.records.append(encode_record(TicketRecord(ticket=RIVAL)))
        self.records.append(body)

    async def append(self, stream, body):
        await trio.sleep(0)
        fault = self.appends.pop(0) if self.appends else 'ok'
        if fault in {'ok', 'lost'}:
            self.put(body)
        if fault == 'late':
            self.underway.append([2, body])
        if fault == 'ok':
            return Success(len(self.records) - 1)
        kind = LogFault.UNKNOWN
        if fault in {'throttled', 'not-taken'}:
            kind = LogFault(fault)
        return Failure(LogError(fault=kind, detail=fault))

    async def read(self, stream, start, *, limit=500, wait=timedelta(0)):
        await trio.sleep(0)
        for waiting in self.underway:
            waiting[0] -= 1
            if waiting[0] == 0:
                self.put(waiting[1])
        if self.reads and not self.reads.pop(0):
            fault = LogError(fault=LogFault.UNAVAILABLE, detail='made to')
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
    rival_at=st.sampled_from([None, 0, 1]),
    seed=st.integers(0, 100),
)
def test_what_is_reported_is_true(appends, reads, outage, rival_at, seed):
    """Answers are lost, appends arrive late, reads fail, another operator
    takes the number. "Accepted" must mean that this ticket took effect,
    "refused" that it did not, and "nothing was changed" that it is not
    there, now or later.
    """
    log = FaultyLog(appends, reads, rival_at)
    if outage:
        log.reads += [False] * 10_000

    async def run():
        patient = RetryingLog(
            log,
            limit=timedelta(seconds=10),
            random=Random(seed),
        )
        return await publish(patient, TICKET, now=NOW)

    clock = trio.testing.MockClock(autojump_threshold=0)
    outcome = trio.run(run, clock=clock)
    for _, body in [late for late in log.underway if late[0] > 0]:
        log.put(body)
    in_force = accepted_tickets(log)
    match outcome:
        case Success(_):
            assert in_force == [OURS]
        case Failure(error) if error.code is ExitCode.REFUSED:
            assert OURS not in in_force
        case Failure(error) if error.code is ExitCode.UNAVAILABLE:
            assert OURS not in log.records
        case Failure(error):
            assert error.code is ExitCode.UNKNOWN
