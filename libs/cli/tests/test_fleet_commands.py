"""The fleet commands: store address, store adapter, empty store."""

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
    """A store without any records."""

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


def run_fleet(*arguments, opened):
    return CliRunner().invoke(
        app,
        ['fleet', *arguments],
        obj=Environment(open_store=lambda _: opened),
    )


@pytest.mark.parametrize('address', ['', 'nowhere', 'host:port'])
def test_invalid_store_address_is_a_usage_error(address):
    result = run_fleet(
        'status', '--store', address, opened=Success(EmptyStore())
    )
    assert result.exit_code == ExitCode.USAGE
    assert '--store HOST:PORT' in result.stderr


@pytest.mark.parametrize(
    'command', ['status', 'moves', 'organisations', 'blocked']
)
def test_an_empty_store_is_no_error(command):
    store = EmptyStore()
    result = run_fleet(command, '--store', '10.0.0.1:80', opened=Success(store))
    assert result.exit_code == ExitCode.OK
    assert store.closed


def test_missing_store_adapter_is_reported():
    error = CliError(code=ExitCode.USAGE, message='none', action='install it')
    result = run_fleet('moves', '--store', '10.0.0.1:80', opened=Failure(error))
    assert result.exit_code == ExitCode.USAGE
    assert 'install it' in result.stderr
