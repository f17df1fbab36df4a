"""Tests that settings are validated and that faults say what is expected."""

from datetime import timedelta

import pytest
from returns.pipeline import is_successful

from verbenamill_runtime.settings import parse_settings, load_settings

VALID_SETTINGS = """
[vm]
id = "vm-1"
availability_zone = "tx-central-a"
region = "tx-central"
[listen]
calls = "127.0.0.1:7001"
control = "127.0.0.1:7002"
admin = "127.0.0.1:7003"
[log]
url = "http://127.0.0.1:9000"
"""


def find_faults(text):
    return [str(fault) for fault in parse_settings(text).failure()]


def test_defaults_and_durations_are_read():
    text = f'{VALID_SETTINGS}\n[calls]\nqueue_timeout = "250ms"\n'
    settings = parse_settings(text).unwrap()
    assert settings.listen.control == '127.0.0.1:7002'
    assert settings.calls.queue_timeout == timedelta(milliseconds=250)
    assert settings.mesh.seeds == ()
    assert not settings.test.switches


def test_all_faults_are_reported_together():
    """An operator can correct all faults of a file in one pass.

    For a file with an unknown section, an unknown key, a wrong type, a
    missing unit and a missing key, all five faults are reported together
    with the expected value.
    """
    faults = find_faults(
        VALID_SETTINGS.replace('region = "tx-central"', 'reigon = "tx-central"')
        + '[calls]\nqueue_timeout = 3\nqueue_factor = "64"\n[lgo]\n',
    )
    assert faults == [
        'lgo = a table: expected no such key; did you mean log?',
        'vm.reigon = "tx-central": expected no such key; did you mean region?',
        'vm.region: missing; expected a name of up to 100 letters, digits, '
        '".", "_" and "-", in quotes',
        'calls.queue_factor = "64": expected a whole number from 0 to 100',
        'calls.queue_timeout = 3: expected a number with a unit '
        '(ms, s, m, h) in quotes, such as "3s", from 0.001s to 60s',
    ]


@pytest.mark.parametrize(
    ('before', 'after', 'key'),
    [
        (':7002', ':7001', 'listen.control'),
        ('admin = "127.0.0.1:', 'admin = "0.0.0.0:', 'advertise_admin'),
        ('"127.0.0.1:7001', '"localhost:7001', 'listen.calls'),
        ('[log]', 'advertise_calls = "10.0.0.5:0"\n[log]', 'advertise_calls'),
        ('[log]', '[mesh]\nseeds = ["10.0.0.6:7002"]\n[log]', 'control'),
        ('[log]', '[mesh]\nseeds = "10.0.0.6:7002"\n[log]', 'mesh.seeds'),
        ('http://', 'ftp://', 'log.url'),
        ('[log]', '[calls]\nqueue_timeout = "40s"\n[log]', 'shutdown_timeout'),
        ('[log]', '[logging]\nlevel = "loud"\n[log]', 'logging.level'),
    ],
)
def test_invalid_settings_are_reported_with_their_key(before, after, key):
    assert before in VALID_SETTINGS
    [fault] = find_faults(VALID_SETTINGS.replace(before, after, 1))
    assert key in fault.partition(': ')[0]


def test_switches_need_an_admin_address_on_loopback():
    """With test switches, anyone who reaches the address can cut links."""
    text = VALID_SETTINGS.replace('admin = "127.0.0.1', 'admin = "10.0.0.5')
    assert is_successful(parse_settings(text))
    [fault] = find_faults(f'{text}\n[test]\nswitches = true\n')
    assert fault.startswith('test.switches = true')


def test_unreadable_files_are_reported(tmp_path):
    [missing] = load_settings(tmp_path / 'none.toml').failure()
    assert 'none.toml' in missing
    broken = tmp_path / 'broken.toml'
    broken.write_text('[vm\n')
    [fault] = load_settings(broken).failure()
    assert 'line 1' in fault
