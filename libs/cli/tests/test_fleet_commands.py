"""The store's address and adapter as the command line takes them."""

import pytest
from returns.result import Failure, Success
from typer.testing import CliRunner

from verbenamill_cli.environment import Environment
from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.main import app
from verbenamill_sidecar.protocol import (
    PublishedRecords,
    SavedState,
    ReportedVerdicts,
)


class EmptyStore:
    """A store on which nothing was published."""

    calls = 0
    closed = False

    async def read_newest(self):
        return Success(PublishedRecords(next_position=0))

    async def read_saved_state(self):
        return Success(SavedState())

    async def read_verdicts(self):
        return Success(ReportedVerdicts(end=0, settled={}))

    async def close(self):
        self.closed = True


def call(*arguments, opened):
    return CliRunner().invoke(
        app,
        ['fleet', *arguments],
        obj=Environment(open_store=lambda _: opened),
    )


@pytest.mark.parametrize('address', ['', 'nowhere', 'host:port'])
def test_an_address_that_is_none(address):
    told = call('status', '--store', address, opened=Success(EmptyStore()))
    assert told.exit_code == ExitCode.USAGE
    assert '--store HOST:PORT' in told.stderr


@pytest.mark.parametrize('command', ['status', 'moves', 'blocked'])
def test_an_empty_store(command):
    store = EmptyStore()
    told = call(command, '--store', '10.0.0.1:80', opened=Success(store))
    assert told.exit_code == ExitCode.OK
    assert store.closed


def test_no_adapter():
    error = CliError(code=ExitCode.USAGE, message='none', action='install it')
    told = call('moves', '--store', '10.0.0.1:80', opened=Failure(error))
    assert told.exit_code == ExitCode.USAGE
    assert 'install it' in told.stderr
