"""Fixtures: an in-memory log and a runner of the command line."""

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
    """An in-memory log that can be made to fail.

    ``append_faults`` holds the faults of the next appends. An append with
    ``UNKNOWN`` takes effect. ``reads`` records the reads.
    """

    def __init__(self):
        self.streams = {}
        self.oldest = {}
        self.append_faults = []
        self.is_down = False
        self.reads = []

    def put(self, stream, *bodies):
        records = self.streams.setdefault(stream, [])
        for body in bodies:
            at = START + timedelta(seconds=len(records))
            records.append(Entry(offset=len(records), at=at, body=body))

    def checkpoint(self, offset):
        """Append a checkpoint of the state at an offset, as a daemon does."""
        state = State()
        for entry in self.streams['config'][: offset + 1]:
            state, _ = accept(state, entry)
        body = zlib.compress(encode_state(state))
        self.put('checkpoints', msgspec.msgpack.encode((offset, body)))

    async def append(self, stream, body):
        if self.is_down:
            return self._fail(LogFault.NOT_APPENDED)
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault in {None, LogFault.UNKNOWN}:
            self.put(stream, body)
        if fault is not None:
            return self._fail(fault)
        return Success(len(self.streams[stream]) - 1)

    async def read(self, stream, start, *, limit=500, wait=timedelta(0)):
        self.reads.append((stream, start))
        await trio.sleep(0.01 if wait else 0)
        if self.is_down:
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
    """Clock that always shows the same wall time."""

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
    """Run a command against the log and return its exit code and output."""

    def invoke(*args, env=None):
        variables = {'VERBENAMILL_LOG': 'http://log', 'VERBENAMILL_DAEMON': ''}
        return CliRunner().invoke(
            app,
            [str(arg) for arg in args],
            obj=environment,
            env=variables | (env or {}),
        )

    return invoke


@pytest.fixture
def run_json(run):
    """Run a command with ``--json`` and return the decoded output."""

    def invoke(*args, code=0):
        result = run(*args, '--json')
        assert result.exit_code == code, result.output
        return json.loads(result.stdout or result.stderr)

    return invoke


@pytest.fixture
def examples():
    return EXAMPLES
