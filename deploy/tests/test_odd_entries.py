"""Entries of other writers in the list of daemons and their upstreams."""

import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_platform_standins.odd_values import (
    MISSING,
    find_paths,
    replace_at,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import MemberRecord, UpstreamRecord

TOPIC = 'keyed.verbenamill-members'
MEMBER = MemberRecord(
    *('vm7', 9, 2, 'z1', '127.0.0.1:7', '127.0.0.1:8', False),
    UpstreamRecord(
        *('i-1', 100, 3, 'entries', 'v1', UpstreamState.READY, 4),
        RateLimit(5.0, 100),
    ),
)
DEPTH = 200_000
NESTED = '[' * 60 + ']' * 60
ODD_VALUES = [
    *(MISSING, None, [], {}, '', 'x' * 300, 'a\r\nb: c', True, 1.5),
    *(-1, 1 << 62, 1 << 63, (1 << 64) - 1, -(1 << 63)),
    *('127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:0'),
    *('127.0.0.1', '[::1]:99999', '127.0.0.1:' + '9' * 5000, ':', '::'),
]
#: Entries that are no list of records at all.
UNREADABLE = {
    'nested': zlib.compress(b'\x91' * DEPTH + b'\xc0'),
    'nested field': zlib.compress(b'\x91\x98' + b'\x91' * DEPTH + b'\xc0'),
    'huge': zlib.compress(bytes(64_000_000)),
    'not compressed': b'\x91\xc0',
    'cut short': zlib.compress(msgspec.msgpack.encode([MEMBER]))[:-9],
    'JSON': b'[{"address": "127.0.0.1:99999"}]',
    'empty list': zlib.compress(b'\x90'),
}


def draw_entries():
    """Draw records of a daemon in which one value is odd."""
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(MEMBER))
    drawn = []

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(
        st.sampled_from([*find_paths(plain)]),
        st.sampled_from(ODD_VALUES),
        st.sampled_from(['vm7', 'vm0', 'vm1']),
    )
    def draw(path, value, vm):
        entry = [vm, *plain[1:]]
        drawn.append(replace_at(entry, path, value))

    draw()
    return drawn


def encode_entry(entry):
    return zlib.compress(msgspec.msgpack.encode([entry]))


@pytest.mark.parametrize('key', ['vm{}', 'announced/vm{}', 'zone/z{}/0'])
def test_no_entry_of_another_writer_ends_a_daemon_or_its_following(
    run_scenario, factories, key
):
    """Guards against one odd entry that ends each daemon that reads it."""

    async def scenario(site):
        vms = [await site.add_vm('vm0'), await site.add_vm('vm1', zone='z2')]
        await site.wait_until_converged()
        topic = site.store.topic(TOPIC)
        for number, entry in enumerate(draw_entries()):
            # Real keys are used as well, as far as daemons write them again.
            topic.append(key.format(number), encode_entry(entry))
        for name, value in UNREADABLE.items():
            topic.append(key.format(name), value)
        # Daemons read the list when they start.
        for vm in vms:
            await vm.kill()
            await vm.start()
            await vm.send_heartbeat()
        vms.append(await site.add_vm('vm2'))
        site.store.write_as_operator('config', factories.document(2))
        await site.wait_until_configured(2)
        for number, vm in enumerate(vms):
            assert await vm.send_heartbeat() == 200
            answer = await vm.call('/lookup/1', id=f'r{number}')
            assert answer.status == 200
            assert not vm.ended.is_set()
        # A later change is followed as well.
        site.store.write_as_operator('config', factories.document(3))
        await site.wait_until_configured(3)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


ODD_NAMES = ['s' * 240, 'a b&after=c#d', 'ä%zz', 'a\r\nb: c', '']


@pytest.mark.parametrize('name', ODD_NAMES)
def test_no_name_in_a_key_keeps_daemons_from_following(
    run_scenario, factories, name
):
    """Guards against a key whose name no other daemon accepts."""

    async def scenario(site):
        vm = await site.add_vm('vm0')
        other = await site.add_vm('vm1', zone='z2')
        await site.wait_until_converged()
        await site.wait_until_configured(1)
        document = {'service': name, 'targetVersion': 'v2', 'durationS': 60}
        site.store.write_as_operator(f'rollout/{name}', document)
        site.store.write_as_operator(f'evacuate/{name}', {'zone': name})
        status = {'state': 'complete', 'targetVersion': 'v2', 'order': 1}
        for key in (f'rollout/{name}', f'zz/{name}', 'zzz'):
            site.store.topic('keyed.status').append(
                key, msgspec.json.encode(status)
            )
        site.store.write_as_operator('config', factories.document(2))
        await site.wait_until_configured(2)
        # Without the store, daemons that start learn from the others.
        site.store.is_down = True
        await other.kill()
        await other.start()
        await other.send_heartbeat()
        await site.wait_until_configured(2)
        site.store.is_down = False
        await vm.kill()
        await vm.start()
        await vm.send_heartbeat()
        await site.wait_until_configured(2)
        for one in (vm, other):
            assert (await one.call('/lookup/1')).status == 200

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
