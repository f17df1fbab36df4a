"""Every file in examples/ is accepted and matches its comments."""

import tomllib

import pytest
from msgspec.structs import fields

from verbenamill_cli.errors import ExitCode
from verbenamill_runtime.settings import (
    CallLimits,
    LoggingSettings,
    TestSettings,
    parse_settings,
)

SECTIONS = {
    CallLimits: 'calls',
    LoggingSettings: 'logging',
    TestSettings: 'test',
}


@pytest.mark.parametrize('customer', ['lone-star', 'siam-mirror'])
def test_tickets_are_accepted_in_order(run, examples, customer):
    files = sorted((examples / customer).glob('*.toml'))
    assert len(files) >= 3
    for file in files:
        assert run('ticket', 'validate', file).exit_code == ExitCode.OK
        published = run('ticket', 'publish', file)
        assert published.exit_code == ExitCode.OK, published.output


def test_annotated_settings_show_the_defaults(examples):
    """Guards against defaults that differ between the code and the example."""
    text = (examples / 'daemon.toml').read_text()
    settings = parse_settings(text).unwrap()
    assert settings.calls == CallLimits()
    assert settings.logging == LoggingSettings()
    assert settings.test == TestSettings()
    keys = tomllib.loads(text)
    for section in (CallLimits, LoggingSettings, TestSettings):
        section_keys = keys[SECTIONS[section]]
        assert set(section_keys) == {field.name for field in fields(section)}


def test_settings_files_are_valid(run, examples):
    files = sorted(examples.glob('*.toml'))
    assert len(files) >= 3
    for file in files:
        result = run('config', 'check', file)
        assert result.exit_code == ExitCode.OK, result.output
