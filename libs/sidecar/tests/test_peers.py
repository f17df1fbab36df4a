"""What an ingress remembers of another daemon's upstream."""

from functools import wraps
from unittest import mock

import pytest
import trio
from msgspec.structs import replace

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import (
    LEAVE_SEQUENCE,
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_sidecar.peers import Peers

LIMIT = RateLimit(2.3, 1000)


def upstream(*, born=100, heartbeat=1, limit=None, state=UpstreamState.READY):
    return UpstreamRecord(
        'i1', born, heartbeat, 'entries', 'v1', state, 4, limit
    )


def record(incarnation, told):
    return MemberRecord(
        'vm1',
        incarnation,
        0,
        'z1',
        '127.0.0.1:1',
        '127.0.0.1:2',
        upstream=told,
    )


def in_trio(test):
    """Run a test where there is a clock."""

    @wraps(test)
    def run(**fixtures):
        async def main():
            test(**fixtures)

        trio.run(main)

    return run


@pytest.fixture
def table():
    made = MemberTable()
    made.merge(record(1, upstream()))
    return made


@pytest.fixture
def peers(table):
    made = Peers(table, 'own')
    made.all()
    return made


@in_trio
def test_a_leave_that_a_reply_told_binds_through_starts_of_its_daemon(
    table, peers
):
    """Guards against an owner that forgot a leave, where nobody reminds it."""
    peer = peers.get('vm1')
    assert peers.for_service('entries') == [peer]
    peers.tell_left(peer, upstream())
    assert not peers.for_service('entries')
    for incarnation, told in ((2, None), (3, upstream(heartbeat=9))):
        table.merge(record(incarnation, told))
        assert not peers.for_service('entries')
    table.merge(record(4, upstream(born=200)))
    assert peers.for_service('entries') == [peers.get('vm1')]


@in_trio
def test_a_leave_that_is_told_again_is_no_news(table, peers):
    """Guards against a look at all daemons with each late reply."""
    peer = peers.get('vm1')
    peers.tell_left(peer, upstream())
    assert not peers.for_service('entries')
    nobody = iter(())
    with mock.patch.object(
        MemberTable, '__iter__', return_value=nobody
    ) as look:
        peers.tell_left(peer, upstream())
        assert not peers.for_service('entries')
    assert not look.called


@in_trio
def test_a_leave_that_a_record_told_binds_through_starts_of_its_daemon(
    table, peers
):
    left = upstream(heartbeat=LEAVE_SEQUENCE, state=UpstreamState.DRAINING)
    table.merge(record(2, left))
    assert not peers.for_service('entries')
    table.merge(record(3, upstream(heartbeat=9)))
    assert not peers.for_service('entries')


@in_trio
def test_a_limit_that_a_reply_told_outlives_starts_of_its_daemon(table, peers):
    """Guards against a limit that all have forgotten with the owner."""
    peer = peers.get('vm1')
    peer.tell_limit(upstream(), LIMIT)
    table.merge(record(2, upstream(heartbeat=9)))
    peers.all()
    assert peer.limit_of(upstream(heartbeat=9)) == LIMIT
    assert peer.limit_of(upstream(born=200)) is None


@in_trio
def test_a_limit_that_a_record_told_outlives_starts_of_its_daemon(table, peers):
    """Guards against a limit that only those who got a reply remember."""
    told = ((2, upstream(limit=LIMIT)), (3, None), (4, upstream(heartbeat=9)))
    for incarnation, one in told:
        table.merge(record(incarnation, one))
        peers.all()
    peer = peers.get('vm1')
    assert peer.limit_of(upstream(heartbeat=9)) == LIMIT
    assert peer.limit_of(upstream(born=200)) is None


@in_trio
def test_a_limit_that_a_record_told_after_a_reply_outlives_starts(table, peers):
    """Guards against a reply from before the limit that hides it."""
    peer = peers.get('vm1')
    peer.tell_limit(upstream(), None)
    for incarnation, one in ((2, upstream(limit=LIMIT)), (3, None)):
        table.merge(record(incarnation, one))
        peers.all()
    assert peer.limit_of(upstream(heartbeat=9)) == LIMIT


@in_trio
def test_a_limit_that_a_reply_ended_is_not_told_again(table, peers):
    """Guards against an old record that brings an ended limit back."""
    peer = peers.get('vm1')
    peer.tell_limit(upstream(), None)
    assert peer.limit_of(upstream(limit=LIMIT)) is None


@in_trio
def test_a_limit_that_a_record_ended_is_not_told_again(table, peers):
    """Guards against a note that outlives what its owner says."""
    told = (upstream(limit=LIMIT), upstream(heartbeat=2))
    for sequence, one in enumerate(told, 1):
        table.merge(replace(record(1, one), sequence=sequence))
        peers.all()
    assert peers.get('vm1').limit_of(upstream(heartbeat=2)) is None


@in_trio
def test_a_new_start_of_an_upstream_is_not_held_up_by_an_old_limit(
    table, peers
):
    """Guards against ingresses that avoid a start that names no limit."""
    peer = peers.get('vm1')
    peer.owner.record_limit_result(0, 1e9, 0, taken=False)
    table.merge(record(2, upstream(born=200)))
    peers.all()
    assert peer.owner.limit_ready_at(0) < 0


@in_trio
def test_a_limit_that_ends_holds_nobody_up(table, peers):
    table.merge(record(2, upstream(limit=LIMIT)))
    peers.all()
    peer = peers.get('vm1')
    peer.owner.record_limit_result(0, 1e9, 0, taken=False)
    table.merge(record(3, upstream()))
    peers.all()
    assert peer.owner.limit_ready_at(0) < 0
