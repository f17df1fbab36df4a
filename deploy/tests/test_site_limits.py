"""The limits of a site reach the daemon through the deploy template."""

import re
from pathlib import Path

import pytest

from verbenamill_sidecar.settings import check_settings

TEMPLATE = Path(__file__).parents[1] / 'daemon.toml'
#: A line that is present if the site names a limit.
LIMIT_LINE = re.compile(r'\{\{#bounds\.(\w+)\}\}(.*)\{\{/bounds\.\1\}\}')
PLACEHOLDER = re.compile(r'\{\{(?!\.\}\})[^{}]*\}\}')
ADDRESS_KEYS = ('callers', 'daemons', 'gossip', 'announcements', 'health')


def render(bounds):
    """Fill in the template, with the limits of a site."""

    def render_limit(match):
        name, line = match.groups()
        return line.replace('{{.}}', bounds[name]) if name in bounds else ''

    text = LIMIT_LINE.sub(render_limit, TEMPLATE.read_text())
    for key in (*ADDRESS_KEYS, 'address'):
        text = re.sub(
            f'^{key} = .*', f'{key} = "127.0.0.1:1"', text, flags=re.M
        )
    text = re.sub('^zones = .*', 'zones = []', text, flags=re.M)
    text = re.sub('^first = .*', 'first = false', text, flags=re.M)
    return PLACEHOLDER.sub('name', text)


@pytest.mark.parametrize(
    ('name', 'value', 'read'),
    [
        ('graceS', '10', lambda it: it.stop.grace.total_seconds()),
        ('graceS', '4.5', lambda it: it.stop.grace.total_seconds()),
        ('retryBudgetRatio', '0.1', lambda it: it.retries.ratio),
        ('coldOvershoot', '1.2', lambda it: it.cold_start.overshoot),
        ('coldSlack', '8', lambda it: it.cold_start.slack),
        ('quotaWindowS', '7', lambda it: it.quota.window),
        ('quotaOvershoot', '0.3', lambda it: it.quota.overshoot),
        ('quotaSlack', '12', lambda it: it.quota.slack),
    ],
)
def test_a_limit_of_the_site_reaches_the_daemon(name, value, read):
    """Guards against a daemon that assumes a limit which the site names."""
    settings = check_settings(render({name: value})).unwrap()
    assert read(settings) == float(value)
    # Absent limits have defaults.
    assert read(check_settings(render({})).unwrap()) != float(value)


@pytest.mark.parametrize('value', ['6000', '"6"', '"0s"', '"-1s"', '"2h"'])
def test_a_grace_time_without_a_sound_unit_is_rejected(value):
    """Guards against milliseconds that are taken for another unit."""
    text = render({}).replace('[stop]\n', f'[stop]\ngrace = {value}\n')
    (fault,) = check_settings(text).failure()
    assert 'stop.grace' in fault
    assert value.strip('"') in fault
    assert '"3s"' in fault
