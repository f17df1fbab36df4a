"""Every file in examples/ works as its comments say."""

import pytest

from verbenamill_cli.errors import ExitCode


@pytest.mark.parametrize('customer', ['lone-star', 'siam-mirror'])
def test_tickets_are_accepted_in_order(run, examples, customer):
    files = sorted((examples / customer).glob('*.toml'))
    assert len(files) >= 3
    for file in files:
        assert run('ticket', 'validate', file).exit_code == ExitCode.OK
        published = run('ticket', 'publish', file)
        assert published.exit_code == ExitCode.OK, published.output


def test_settings(run, examples):
    files = sorted(examples.glob('*.toml'))
    assert len(files) >= 3
    for file in files:
        checked = run('config', 'check', file)
        assert checked.exit_code == ExitCode.OK, checked.output
