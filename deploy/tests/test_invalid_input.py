"""Invalid records and datagrams, which must not stop the daemons."""

import json

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from verbenamill_http.addresses import Address
from verbenamill_platform.configurations import decode_configuration
from verbenamill_platform.documents import (
    decode_order,
    decode_settled_order,
)
from verbenamill_policy.routes import RouteTable, SplitCounter
from verbenamill_sidecar.membership.datagrams import Message, decode_message

COLUMNS = (
    'name',
    'host',
    'pathPrefix',
    'routeType',
    'timeoutMs',
    'targetLatencyMs',
    'priority',
    'service',
    'maxAttempts',
    'trafficSplit',
)
cell_values = st.sampled_from(
    [
        *(None, '', 'r', '/', '/a/', 'shop', 'idempotent', 'entries'),
        *(0, 1, -1, 1500, 1e308, True),
        *([], [{'service': 's', 'weight': 0}], [{'service': 's', 'weight': 2}]),
        *([{'service': 's', 'weight': -1}], {}, [[]]),
    ],
)
valid_row = ('r', 'shop', '/a/', 'idempotent', 1500, 500, 1, 'entries', 2, None)
changed_rows = st.tuples(st.integers(0, len(COLUMNS) - 1), cell_values).map(
    lambda change: [
        change[1] if place == change[0] else cell
        for place, cell in enumerate(valid_row)
    ],
)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(changed_rows, max_size=3), st.sampled_from(['1', '00ff', 'x', ''])
)
def test_a_configuration_is_used_completely_or_rejected(drawn_rows, version):
    """Guards against a configuration that crashes each daemon that reads it."""
    document = {
        'version': version,
        'routes': {'columns': COLUMNS, 'rows': drawn_rows},
        'services': {'columns': ['name'], 'rows': [['entries']]},
    }
    try:
        configuration = decode_configuration(json.dumps(document).encode())
    except ValueError:
        return
    table = RouteTable(configuration)
    counter = SplitCounter()
    for route in configuration.routes:
        assert counter.pick(route)
        table.find(route.host.encode(), b'/a/b')


@pytest.mark.parametrize('weights', [[], [0], [0, 0], [-1], [0, 2]])
def test_a_route_without_a_destination_is_rejected(weights):
    """Guards against a route whose requests all raise an error."""
    split = [{'service': 's', 'weight': weight} for weight in weights]
    row = [*valid_row[:7], None, 2, split]
    document = {
        'version': '1',
        'routes': {'columns': COLUMNS, 'rows': [row]},
        'services': {'columns': ['name'], 'rows': [['s']]},
    }
    try:
        configuration = decode_configuration(json.dumps(document).encode())
    except ValueError:
        assert max(weights, default=0) <= 0
        return
    (route,) = configuration.routes
    assert SplitCounter().pick(route) == 's'


@settings(derandomize=True, max_examples=300, deadline=None)
@given(values)
def test_records_of_other_writers_are_rejected(value):
    """Guards against a record that crashes each daemon that reads it."""
    data = json.dumps(value).encode()
    for decode in (
        decode_configuration,
        lambda value_bytes: decode_order('rollout/s', value_bytes, 1),
        lambda value_bytes: decode_settled_order('rollout/s', value_bytes),
    ):
        try:
            decode(data)
        except ValueError:
            continue


numbers = st.integers(-1, 3) | st.sampled_from([-(1 << 63), (1 << 63) - 1])
words = st.sampled_from(['', 'vm0', 'vm1', 'z1', 'z2', 'ready', 'done', 'x'])
atoms = st.none() | st.booleans() | numbers | words | st.binary(max_size=16)
bodies = st.recursive(
    atoms,
    lambda inner: st.lists(inner, max_size=8),
    max_leaves=30,
)
tags = [kind.__struct_config__.tag for kind in Message.__args__]


def test_no_datagram_crashes_a_daemon(run_scenario):
    """Guards against a datagram that crashes each daemon that receives it."""

    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    @given(st.sampled_from(tags), st.lists(bodies, max_size=8))
    def handle_any(gossip, tag, fields):
        data = msgspec.msgpack.encode([tag, *fields])
        try:
            message = decode_message(data)
        except msgspec.MsgspecError:
            return
        gossip._handle(message, Address('127.0.0.1', 9))

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.add_vm('vm1', zone='z2')
        await site.wait_until_converged()
        handle_any(vm.daemon._gossip)
        await trio.sleep(3)
        assert (await vm.call('/lookup/1')).status in (200, 503)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
