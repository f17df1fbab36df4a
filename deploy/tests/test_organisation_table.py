"""The table of organisations in a configuration, and its contradictions."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_platform.configurations import decode_configuration
from verbenamill_policy.organisations import Quota, digest_key
from verbenamill_sidecar.state.desired_state import (
    StateSnapshot,
    decode_snapshot,
    encode_snapshot,
)

SECRET = 'test-key-1'
COLUMNS = ['name', 'apiKeys', 'priority', 'ratePerS', 'burst']
GOOD = ['acme', [SECRET], 1, 5, 2]


def decode(document):
    return decode_configuration(json.dumps(document).encode())


def decode_rows(factories, *rows):
    return decode(factories.document(1, tenants=list(rows))).organisations


def test_the_table_is_decoded(factories):
    document = factories.document(
        1, tenants=[[*GOOD], ['b', None, None, 0, 9]], public=['fee']
    )
    document['tenants']['columns'].append('colour')
    for cells in document['tenants']['rows']:
        cells.append('red')
    found = decode(document)
    first, second = found.organisations
    assert (first.name, first.priority) == ('acme', 1)
    assert first.keys == (digest_key(SECRET.encode()),)
    assert first.quota == Quota(5, 2)
    assert (second.keys, second.priority, second.quota) == ((), None, None)
    assert [one.name for one in found.routes if one.is_public] == ['fee']


def test_no_table_and_an_empty_table_differ(factories):
    """Guards against a fleet that serves anyone once the last key is gone."""
    assert decode(factories.document(1)).organisations is None
    document = factories.document(1)
    document['tenants'] = None
    assert decode(document).organisations is None
    assert decode_rows(factories) == ()


@pytest.mark.parametrize(
    ('rows', 'message'),
    [
        ([['', [SECRET], 1, 5, 2]], 'name in row 1 of tenants is empty'),
        ([[None, [SECRET]]], 'row 1 of tenants has 2 values, expected 5'),
        ([[['acme'], SECRET, 1, 5, 2]], 'name in row 1 of tenants is a list'),
        ([['a\r\nb', [SECRET], 1, 5, 2]], 'control characters'),
        ([GOOD, ['acme', [], 1, 5, 2]], "'acme' is in two rows"),
        ([GOOD, ['b', [SECRET], 1, 5, 2]], "'acme' and 'b' have a key in c"),
        ([['acme', SECRET, 1, 5, 2]], 'apiKeys in row 1 .* is a string'),
        ([[SECRET, 'acme', 1, 5, 2]], 'apiKeys in row 1 .* is a string'),
        ([['acme', [SECRET, ''], 1, 5, 2]], 'key 2 .* is an empty string'),
        ([['acme', [SECRET, 7], 1, 5, 2]], 'key 2 .* is a number, expected'),
        ([['acme', [[SECRET]], 1, 5, 2]], 'key 1 .* is a list, expected'),
        ([['acme', [SECRET], SECRET, 5, 2]], 'priority .* is a string'),
        ([['acme', [SECRET], 1.5, 5, 2]], 'priority .* is 1.5, expected'),
        ([['acme', [SECRET], 1, -1, 2]], 'ratePerS .* is -1, expected'),
        ([['acme', [SECRET], 1, 10**400, 2]], 'ratePerS .* is too large'),
        ([['acme', [SECRET], 1, True, 2]], 'ratePerS .* is a truth value'),
        ([['acme', [SECRET], 1, 5, -0.5]], 'burst .* is -0.5, expected'),
        ([['acme', [SECRET], 1, 5, SECRET]], 'burst .* is a string, expected'),
    ],
)
def test_a_contradiction_rejects_the_version(factories, rows, message):
    """Guards against a table that is in force in part, and logged keys."""
    with pytest.raises(ValueError, match=message) as caught:
        decode_rows(factories, *rows)
    assert SECRET not in repr(caught.value)
    assert ';' in str(caught.value)


cells = st.sampled_from(
    [None, '', 0, -1, 1.5, True, SECRET, [SECRET], [[SECRET]], {SECRET: SECRET}]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.lists(cells, min_size=4, max_size=6), max_size=2),
    st.sampled_from([COLUMNS, [*COLUMNS, 'x'], COLUMNS[::-1], SECRET, None]),
    st.integers(0, 900),
)
def test_no_error_contains_a_key(rows, columns, cut):
    """Guards against a key in the log, wherever an operator has put it."""
    document = {
        'version': '1',
        'routes': {'columns': [], 'rows': []},
        'services': {'columns': [], 'rows': []},
        'tenants': {'columns': columns, 'rows': rows},
    }
    data = json.dumps(document).encode()
    for value in (data, data[:cut]):
        try:
            found = decode_configuration(value)
        except ValueError as error:
            assert SECRET not in repr(error)
            continue
        organisations = found.organisations or ()
        assert all(SECRET not in repr(one.keys) for one in organisations)


def test_keys_reach_no_snapshot_and_no_repr(factories):
    """Guards against a key that one daemon sends to another."""
    configuration = decode(factories.document(1, tenants=[GOOD]))
    assert SECRET not in repr(configuration)
    encoded = encode_snapshot(StateSnapshot(configuration=configuration))
    received = decode_snapshot(encoded).configuration
    assert received == configuration
    assert SECRET not in repr(received)
