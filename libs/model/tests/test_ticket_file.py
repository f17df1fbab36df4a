"""Ticket files: parsing, and errors that state the expected value."""

from datetime import timedelta

import pytest

from verbenamill_model import read_ticket

VALID = """
number = 1
author = "ann"
[[services]]
name = "entries"
version = "v2"
deadline = 2026-12-02T08:00:00+07:00
profile = "cautious"
[[routes]]
name = "entries"
prefix = "/entries"
service = "entries"
timeout = "1.5s"
"""


def faults_of(text):
    return [str(fault) for fault in read_ticket(text).failure()]


def test_a_valid_ticket_is_parsed():
    ticket = read_ticket(VALID).unwrap()
    assert ticket.services[0].deadline.utcoffset() == timedelta(hours=7)
    assert ticket.routes[0].timeout == timedelta(seconds=1.5)


def test_all_errors_are_listed_at_once():
    faults = faults_of(
        VALID.replace('number', 'nmber')
        .replace('"v2"', '2')
        .replace('"1.5s"', '1.5')
        .replace('"cautious"', '"careful"'),
    )
    assert faults == [
        'nmber = 1: expected no such key; did you mean number?',
        'number: missing; expected a whole number',
        'services[1].version = 2: expected text in quotes',
        'services[1].profile = "careful": expected one of "on-time", '
        '"cautious"',
        'routes[1].timeout = 1.5: expected a number with a unit '
        '(ms, s, m, h) in quotes, such as "3s"',
    ]


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        # An operator and a VM may be in different time zones.
        ('+07:00', '', 'a time with its offset'),
        ('[[services]]', '[services]', 'one [[services]] for each'),
        ('[[services]]', 'aborts = "x"\n[[services]]', 'a list of names'),
        ('"ann"', '"ann', 'TOML: '),
    ],
)
def test_an_error_states_the_expected_value(before, after, expected):
    [fault] = faults_of(VALID.replace(before, after, 1))
    assert f'expected {expected}' in fault
