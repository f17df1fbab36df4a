"""Settings are checked whole, and each fault says what to write."""

from datetime import timedelta

import pytest
from returns.pipeline import is_successful

from verbenamill_runtime.settings import parse_settings, load_settings

GOOD = """
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


def faults_of(text):
    return [str(fault) for fault in parse_settings(text).failure()]


def test_defaults_and_units():
    text = f'{GOOD}\n[calls]\nqueue_timeout = "250ms"\n'
    settings = parse_settings(text).unwrap()
    assert settings.listen.control == '127.0.0.1:7002'
    assert settings.calls.queue_timeout == timedelta(milliseconds=250)
    assert settings.mesh.seeds == ()
    assert not settings.test.switches


def test_every_fault_is_listed_at_once():
    """An operator corrects a file once, not once a fault.

    A file with an unknown section, an unknown key, a wrong type, a missing
    unit and a missing key must name all five with what was expected.
    """
    faults = faults_of(
        GOOD.replace('region = "tx-central"', 'reigon = "tx-central"')
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
def test_faulty_combinations(before, after, key):
    assert before in GOOD
    [fault] = faults_of(GOOD.replace(before, after, 1))
    assert key in fault.partition(': ')[0]


def test_switches_need_a_private_admin_address():
    """A production daemon with test switches could be cut off by anyone."""
    text = GOOD.replace('admin = "127.0.0.1', 'admin = "10.0.0.5')
    assert is_successful(parse_settings(text))
    [fault] = faults_of(f'{text}\n[test]\nswitches = true\n')
    assert fault.startswith('test.switches = true')


def test_unreadable_files(tmp_path):
    [missing] = load_settings(tmp_path / 'none.toml').failure()
    assert 'none.toml' in missing
    broken = tmp_path / 'broken.toml'
    broken.write_text('[vm\n')
    [fault] = load_settings(broken).failure()
    assert 'line 1' in fault
