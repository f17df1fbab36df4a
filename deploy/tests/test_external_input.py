"""Input of other writers, which must stop no daemon and no upstream."""

import json
from itertools import count
from math import inf, nan

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from verbenamill_http.addresses import Address
from verbenamill_model.typing import UpstreamState
from verbenamill_platform.configurations import decode_configuration
from verbenamill_platform.documents import (
    decode_order,
    decode_settled_order,
)
from verbenamill_platform.members import decode_members
from verbenamill_platform.records import Record, decode_page
from verbenamill_platform.suspects import decode_suspects
from verbenamill_platform_standins.odd_values import (
    MISSING,
    find_paths,
    replace_at,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import MemberRecord, UpstreamRecord
from verbenamill_policy.pace import PaceReport
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.quotas.messages import (
    Granted,
    TokenDemand,
    TokenGrant,
    TokenRequest,
)
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.tallies import RouteCounts, Tally
from verbenamill_sidecar.membership.datagrams import (
    Ages,
    Alive,
    Ask,
    Digests,
    Message,
    Notice,
    RecordRevision,
    Records,
    Rumors,
    Summary,
    Tallies,
    Wanted,
)

NESTED = json.loads('[' * 200 + ']' * 200)
#: Values that are no sound value of any numeric field.
ODD_NUMBERS = [-1, 1 << 62, 1 << 63, 1 << 64, 10**25, -(10**25), 1.5, True]
ODD_TEXTS = ['', 'x' * 300, 'a\r\nb: c', 'a\0', '::', '1.2.3.4:99999', '9']
ODD_VALUES = [MISSING, None, [], {}, NESTED, *ODD_NUMBERS, *ODD_TEXTS]


def make_odd(tree, odd_values):
    """Strategy of copies of a tree in which one value is odd."""
    return st.builds(
        lambda path, value: replace_at(tree, path, value),
        st.sampled_from([*find_paths(tree)]),
        st.sampled_from(odd_values),
    )


HEARTBEAT = {
    'address': '127.0.0.1:1',
    'born': 101,
    'info': {'service': 'entries', 'version': 'v1', 'zone': 'z1', 'slots': 4},
    'status': {'state': 'ready', 'sequence': 1, 'coldRemainingMs': 0},
}
HEARTBEAT_TARGET = '/v1/rpc?call=instances.heartbeat&of='
LEAVE_TARGET = '/v1/rpc?call=instances.deregister&of='


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        (('born',), 1 << 64),
        (('born',), -1),
        (('info', 'slots'), 10**25),
        (('status', 'sequence'), 1 << 62),
        (('status', 'sequence'), -(1 << 63) - 1),
        (('status', 'coldRemainingMs'), -1),
        (('status', 'coldRemainingMs'), 1e300),
    ],
)
def test_a_number_out_of_range_does_not_end_the_daemon(
    run_scenario, path, value
):
    """Guards against a heartbeat of another writer that ends the process."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        odd = replace_at(HEARTBEAT, path, value)
        odd['address'] = vm.upstream.address
        body = json.dumps(odd).encode()
        target = f'{HEARTBEAT_TARGET}i-other'
        assert await vm.send_announcement((target, body)) == 400
        assert (await vm.call('/lookup/1')).status == 200
        assert await vm.send_heartbeat() == 200
        assert (await vm.call('/lookup/2')).status == 200

    run_scenario(scenario)


odd_ids = st.sampled_from(['i-vm0', 'i-other', '', '%0d%0aA:%20b', '%ff', '%'])
odd_heartbeats = st.tuples(
    st.just(HEARTBEAT_TARGET),
    odd_ids,
    make_odd(HEARTBEAT, ODD_VALUES)
    | st.sampled_from([None, 1, [], '', NESTED, {}]),
)
odd_leaves = st.tuples(
    st.just(LEAVE_TARGET),
    odd_ids.filter(lambda id: id != 'i-vm0'),
    make_odd({'born': 101}, ODD_VALUES) | st.sampled_from([None, 1, [], '']),
)


def test_no_announcement_puts_the_upstream_out_of_use(run_scenario):
    """Guards against an announcement of another writer that outdates it."""
    drawn = []

    @settings(derandomize=True, max_examples=120, deadline=None, database=None)
    @given(odd_heartbeats | odd_leaves)
    def draw(announcement):
        drawn.append(announcement)

    draw()

    async def scenario(site):
        vm = await site.add_vm('vm0')
        ids = count()
        for target, id, document in drawn:
            if isinstance(document, dict) and 'address' in document:
                if document['address'] == HEARTBEAT['address']:
                    document['address'] = vm.upstream.address
            body = json.dumps(document).encode()
            status = await vm.send_announcement((target + id, body))
            assert status in (200, 400), (target, id, document)
            assert await vm.send_heartbeat() == 200
            answer = await vm.call('/lookup/1', id=f'r{next(ids)}')
            assert answer.status == 200, (target, id, document)
            assert answer.headers['x-response-seal']
        assert await vm.send_heartbeat('draining') == 200
        assert (await vm.call('/lookup/1')).status == 503

    run_scenario(scenario)


UPSTREAM = UpstreamRecord(
    'i-1', 100, 3, 'entries', 'v1', UpstreamState.READY, 4, RateLimit(5.0, 100)
)
MEMBER = MemberRecord(
    'vm7', 9, 2, 'z1', '127.0.0.1:7', '127.0.0.1:8', False, UPSTREAM
)
OWN_MEMBER = MemberRecord(
    'vm0', (1 << 42) - 1, 2, 'z1', '127.0.0.1:7', '127.0.0.1:8', False, UPSTREAM
)
SUSPECT = Suspect(
    fingerprint=bytes(16), round=1, crashes=('c',), changed_at=5, alone=('c',)
)
SETTLED = SettledOrder(
    order=1, service='entries', target='v2', verdict='running'
)
COUNTS = RouteCounts('lookup', 30, 2, {3: 20}, 1)
MESSAGES = [
    Rumors([MEMBER], [Progress('entries', 0, 1)], [SETTLED], [SUSPECT]),
    Rumors([OWN_MEMBER]),
    Summary('vm1', {'z1': 1, 'z9': 2}, 3, (1, 0), False, 4),
    Digests('vm1', 'z1', [0] * 32),
    Ages('vm1', 'z1', [1, 2], [RecordRevision('vm9', 1, 1)]),
    Wanted('vm1', ['vm0']),
    Records('vm1', [MEMBER]),
    Notice('vm1', (1, 0)),
    Ask('vm1', wants_load=True),
    Alive('vm1', 3, PaceReport(150, 10)),
    Tallies([Tally('vm7', 'i-1/100', 'entries', 'v2', [COUNTS])]),
    TokenRequest('vm1', 1, 1, 0, 2, [TokenDemand(1, 2)]),
    TokenGrant('vm1', 1, True, 2, [Granted(1, 2)]),
]
ODD_DATAGRAM_VALUES = [
    value
    for value in (*ODD_VALUES, (1 << 64) - 1, -(1 << 63), nan, inf, b'\xff')
    if not isinstance(value, int) or -(1 << 63) <= value < 1 << 64
]


def to_lists(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


odd_datagrams = st.one_of(
    [make_odd(to_lists(one), ODD_DATAGRAM_VALUES) for one in MESSAGES]
)


def test_each_kind_of_message_is_drawn():
    assert {type(one) for one in MESSAGES} == {*Message.__args__}


def test_no_field_of_a_datagram_ends_a_daemon(run_scenario):
    """Guards against a datagram with one odd field that ends the process."""
    drawn = []

    @settings(derandomize=True, max_examples=600, deadline=None, database=None)
    @given(odd_datagrams)
    def draw(datagram):
        drawn.append(msgspec.msgpack.encode(datagram))

    draw()
    deep = msgspec.msgpack.encode(MESSAGES[8])
    drawn.append(b'\x94' + deep[1:] + b'\x91' * 50_000 + b'\xc0')

    async def scenario(site):
        vm = await site.add_vm('vm0')
        await site.add_vm('vm1', zone='z2')
        await site.wait_until_converged()
        site.store.write_as_operator(
            'rollout/entries',
            {'service': 'entries', 'targetVersion': 'v2', 'durationS': 60},
        )
        await trio.sleep(3)
        assert vm.daemon._desired_state.running_orders()
        for data in drawn:
            vm.daemon._gossip._handle_datagram(data, Address('127.0.0.1', 9))
            await trio.sleep(0.2)
        await trio.sleep(3)
        assert (await vm.call('/lookup/1')).status in (200, 503)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


ORDER = {'service': 's', 'targetVersion': 'v2', 'durationS': 12}
STATUS = {'state': 'running', 'targetVersion': 'v2', 'order': 4}
DECODERS = (
    decode_configuration,
    lambda value: decode_order('rollout/s', value, 1),
    lambda value: decode_settled_order('rollout/s', value),
)


def test_each_record_is_rejected_or_can_be_passed_on(factories):
    """Guards against a record whose values no datagram can carry."""

    @settings(derandomize=True, max_examples=500, deadline=None, database=None)
    @given(
        make_odd(factories.document(7), ODD_VALUES)
        | make_odd(ORDER, ODD_VALUES)
        | make_odd(STATUS, ODD_VALUES)
    )
    def decode_any(document):
        value = json.dumps(document).encode()
        for decode in DECODERS:
            try:
                decoded = decode(value)
            except ValueError:
                continue
            msgspec.msgpack.encode(decoded)

    decode_any()


@pytest.mark.parametrize('depth', [2000, 100_000])
def test_a_deeply_nested_record_is_rejected(depth):
    """Guards against a record that ends each daemon that follows the store."""
    value = b'{"x":' + b'[' * depth + b']' * depth + b'}'
    for decode in DECODERS:
        with pytest.raises(ValueError, match='nested too deeply'):
            decode(value)
    packed = b'\x91' * depth + b'\xc0'
    record = Record(0, 'suspect/00', packed)
    assert decode_suspects([record]) == ()
    assert decode_members([record]) == ()


def test_ends_of_a_page_are_bounded():
    """Guards against an offset that no message can carry."""
    data = (1 << 63).to_bytes(8, 'big') + bytes(8)
    with pytest.raises(ValueError, match='expected at most'):
        decode_page(data, 0)
