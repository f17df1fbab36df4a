"""A log in memory and the command line around it."""

import json
import zlib
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

import msgspec
import pytest
import trio
from returns.result import Failure, Success
from typer.testing import CliRunner

from verbenamill_cli.environment import Environment
from verbenamill_cli.main import app
from verbenamill_model import Entry, State, accept, encode_state
from verbenamill_runtime import LogError, LogFault, LogPage

START = datetime(2026, 12, 2, tzinfo=UTC)
EXAMPLES = Path(__file__).parents[3] / 'examples'


class FakeLog:
    """A log in memory whose next answers can be set to fail.

    ``failing`` holds faults of the appends to come: with ``UNKNOWN`` the
    append takes effect.
    """

    def __init__(self):
        self.streams = {}
        self.oldest = {}
        self.failing = []
        self.down = False
        self.asked = []

    def put(self, stream, *bodies):
        records = self.streams.setdefault(stream, [])
        for body in bodies:
            at = START + timedelta(seconds=len(records))
            records.append(Entry(offset=len(records), at=at, body=body))

    def checkpoint(self, offset):
        """Put the state at an offset on the log, as a daemon does."""
        state = State()
        for entry in self.streams['config'][: offset + 1]:
            state, _ = accept(state, entry)
        body = zlib.compress(encode_state(state))
        self.put('checkpoints', msgspec.msgpack.encode((offset, body)))

    async def append(self, stream, body):
        if self.down:
            return self._fail(LogFault.NOT_APPENDED)
        fault = self.failing.pop(0) if self.failing else None
        if fault in {None, LogFault.UNKNOWN}:
            self.put(stream, body)
        if fault is not None:
            return self._fail(fault)
        return Success(len(self.streams[stream]) - 1)

    async def read(self, stream, start, *, limit=500, wait=timedelta(0)):
        self.asked.append((stream, start))
        await trio.sleep(0.01 if wait else 0)
        if self.down:
            return self._fail(LogFault.UNAVAILABLE)
        records = self.streams.get(stream, [])
        oldest = self.oldest.get(stream, 0)
        if start < oldest:
            error = LogError(
                fault=LogFault.EXPIRED,
                detail=f'oldest is {oldest}',
                oldest=oldest,
            )
            return Failure(error)
        return Success(
            LogPage(
                entries=tuple(records[start : start + limit]),
                oldest=oldest,
                end=len(records),
            ),
        )

    def _fail(self, fault):
        return Failure(LogError(fault=fault, detail='made to fail'))


class FixedClock:
    """Wall time that stands still."""

    def now(self):
        return START

    def monotonic(self):
        return timedelta(0)


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def environment(log):
    @asynccontextmanager
    async def open_log(url):
        yield log

    return Environment(
        open_log=open_log,
        clock=FixedClock(),
        random=Random(1),
    )


@pytest.fixture
def run(environment):
    """Run a command against the log; gives its exit code and outputs."""

    def invoke(*args, env=None):
        given = {'VERBENAMILL_LOG': 'http://log', 'VERBENAMILL_DAEMON': ''}
        return CliRunner().invoke(
            app,
            [str(arg) for arg in args],
            obj=environment,
            env=given | (env or {}),
        )

    return invoke


@pytest.fixture
def run_json(run):
    """Run a command with ``--json``; gives what it printed."""

    def invoke(*args, code=0):
        outcome = run(*args, '--json')
        assert outcome.exit_code == code, outcome.output
        return json.loads(outcome.stdout or outcome.stderr)

    return invoke


@pytest.fixture
def examples():
    return EXAMPLES
