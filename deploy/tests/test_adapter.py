"""Formats of the platform; its names must not occur outside the adapter."""

import re
from pathlib import Path

import pytest
from msgspec.structs import replace

from verbenamill_model.typing import UpstreamState
from verbenamill_platform import read_announcement
from verbenamill_platform.configurations import decode_configuration
from verbenamill_platform.documents import (
    decode_order,
    decode_settled_order,
    encode_settled_order,
)
from verbenamill_platform.members import (
    decode_members,
    encode_announcement,
    encode_member,
    encode_zone,
)
from verbenamill_platform.records import decode_page, encode_record
from verbenamill_policy.members import (
    LEAVE_SEQUENCE,
    MemberRecord,
    UpstreamRecord,
)
from verbenamill_policy.rollouts import SettledOrder, Verdict
from verbenamill_sidecar.protocol import InvalidAnnouncement, LeaveAnnouncement

ROOT = Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r'X-(Attempt-Id|Deadline-Ms|Expect-Instance|Response-Seal|'
    r'Caller-Service|Not-Executed|Instance-Id|Server-Load)|'
    r'Server-(Limit|Leaving)|'
    r'keyed\.(op|status|servers)|log-(append|read|newest|join|commit|trim)|'
    r'Api-Key|X-Tenant|apiKeys|ratePerS|'
    r'routeType|pathPrefix|trafficSplit|heartbeatAddr|coldRemainingMs|'
    r'targetLatencyMs',
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_adapter():
    sources = [*(ROOT / 'libs').rglob('src/**/*.py')]
    sources += (ROOT / 'deploy' / 'node').rglob('*.py')
    assert len(sources) > 100
    leaks = [
        path.name for path in sources if PLATFORM_NAMES.search(path.read_text())
    ]
    assert not leaks


def test_encoded_records_are_decoded():
    records = encode_record('a', b'1') + encode_record('b', b'')
    header = (9).to_bytes(8, 'big') + (2).to_bytes(8, 'big')
    page = decode_page(header + records, 7)
    assert page.end == 9
    assert [tuple(record) for record in page.records] == [
        (7, 'a', b'1'),
        (8, 'b', b''),
    ]


@pytest.mark.parametrize('cut', [1, 5, 17, 20])
def test_a_truncated_page_is_rejected(cut):
    header = (9).to_bytes(8, 'big') + (2).to_bytes(8, 'big')
    with pytest.raises(ValueError, match='cut short|no ends'):
        decode_page((header + encode_record('a', b'1'))[:cut], 0)


def test_a_configuration_is_decoded(factories):
    value = __import__('json').dumps(factories.document(0x1F)).encode()
    found = decode_configuration(value)
    assert found.version == 31
    assert [route.name for route in found.routes] == [
        'lookup',
        'fee',
        'photo',
        'brief',
    ]
    assert found.routes[3].timeout == 0.15
    assert not found.routes[1].is_idempotent
    assert found.limits.max_body == 200_000
    assert found.services == {'entries', 'catalog'}


def test_encoded_verdicts_are_decoded():
    for verdict in Verdict:
        settled = SettledOrder(
            order=4, service='s', target='v2', verdict=verdict
        )
        key, value = encode_settled_order(settled)
        assert decode_settled_order(key, value) == settled


def test_an_order_for_another_service_than_its_key_is_rejected():
    value = b'{"service": "a", "targetVersion": "v2", "durationS": 12}'
    assert decode_order('rollout/a', value, 3).window == 12
    with pytest.raises(ValueError, match='an order for service a'):
        decode_order('rollout/b', value, 3)


def test_announcements_are_decoded_or_rejected():
    target = b'/v1/rpc?call=instances.heartbeat&of=i-1'
    body = (
        b'{"address":"10.0.0.1:80","born":7,"info":{"service":"s",'
        b'"version":"v1","zone":"z","slots":3},'
        b'"status":{"state":"draining","sequence":2,"coldRemainingMs":500}}'
    )
    heartbeat = read_announcement(b'POST', target, body)
    assert (heartbeat.instance, heartbeat.born, heartbeat.slots) == (
        'i-1',
        7,
        3,
    )
    assert heartbeat.state is UpstreamState.DRAINING
    assert heartbeat.cold == 0.5
    leave = b'/v1/rpc?call=instances.deregister&of=i-1'
    assert read_announcement(b'POST', leave, b'') == LeaveAnnouncement(
        instance='i-1', born=0
    )
    for invalid in (b'', b'{', b'{"address":"x"}', body.replace(b'3}', b'0}')):
        found = read_announcement(b'POST', target, invalid)
        assert isinstance(found, InvalidAnnouncement)
        assert found.reason


def make_member(vm, *, incarnation=1):
    return MemberRecord(
        vm=vm,
        incarnation=incarnation,
        sequence=0,
        availability_zone='z',
        calls=f'{vm}:1',
        gossip=f'{vm}:2',
    )


def decode_newest(data):
    header = (0).to_bytes(8, 'big') * 2
    newest = {
        record.key: record for record in decode_page(header + data, 0).records
    }
    return newest, decode_members(newest.values())


@pytest.mark.parametrize('count', [0, 1, 500, 501, 1700])
def test_the_members_of_a_zone_are_saved_in_few_records(count):
    members = [make_member(f'vm{number}') for number in range(count)]
    newest, found = decode_newest(encode_zone('z', members, ()))
    assert {member.vm for member in found} == {made.vm for made in members}
    assert len([record for record in newest.values() if record.value]) <= 4
    assert all(len(record.value) < 262_144 for record in newest.values())


def test_a_zone_that_shrinks_keeps_no_former_members():
    before = [make_member(f'vm{number}') for number in range(700)]
    data = encode_zone('z', before, ()) + encode_zone('z', before[:3], ())
    assert len(decode_newest(data)[1]) == 3


def test_the_newest_record_of_a_member_is_used_wherever_it_is_saved():
    # A daemon has saved its own record, because its upstream leaves. A reader
    # that does not know this yet saves the zone with an older record.
    older, newer = make_member('vm1'), make_member('vm1', incarnation=2)
    data = encode_member(newer) + encode_zone('z', [older], ())
    assert decode_newest(data)[1] == (newer,)


def test_the_upstream_of_a_previous_record_is_kept():
    """Guards against a restart whose first save hides an announced leave."""
    upstream = UpstreamRecord(
        'i1', 5, LEAVE_SEQUENCE, 's', 'v1', UpstreamState.GONE, 4
    )
    left = replace(make_member('vm1'), upstream=upstream)
    restarted = make_member('vm1', incarnation=2)
    data = encode_member(left) + encode_zone('z', [restarted], ())
    assert decode_newest(data)[1] == (left, restarted)


def test_an_announcement_is_deleted_once_its_zone_is_saved():
    member = make_member('vm1')
    data = encode_announcement(member)
    assert decode_newest(data)[1] == (member,)
    newest, found = decode_newest(data + encode_zone('z', [member], ['vm1']))
    assert found == (member,)
    assert len([record for record in newest.values() if record.value]) == 1


def test_a_record_in_an_unknown_format_has_no_members():
    assert decode_newest(encode_record('vm1', b'{"vm": 7}'))[1] == ()
