"""What an ingress records about the upstreams of other daemons."""

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
from verbenamill_sidecar.membership.peers import MAX_FIRST_DELAY, Peers

LIMIT = RateLimit(2.3, 1000)


def make_upstream(
    *, born=100, heartbeat=1, limit=None, state=UpstreamState.READY
):
    return UpstreamRecord(
        'i1', born, heartbeat, 'entries', 'v1', state, 4, limit
    )


def make_record(incarnation, announced):
    return MemberRecord(
        'vm1',
        incarnation,
        0,
        'z1',
        '127.0.0.1:1',
        '127.0.0.1:2',
        upstream=announced,
    )


def run_in_trio(test):
    """Run a test inside trio, as it needs trio's clock."""

    @wraps(test)
    def run(**fixtures):
        async def main():
            test(**fixtures)

        trio.run(main)

    return run


@pytest.fixture
def table():
    created = MemberTable()
    created.merge(make_record(1, make_upstream()))
    return created


@pytest.fixture
def peers(table):
    created = Peers(table, 'own')
    created.all()
    return created


@run_in_trio
def test_a_leave_from_a_reply_outlives_restarts_of_its_daemon(table, peers):
    """Guards against an owner that restarts and loses an upstream's leave."""
    peer = peers.get('vm1')
    assert peers.for_service('entries') == [peer]
    peers.record_leave(peer, make_upstream())
    assert not peers.for_service('entries')
    for incarnation, announced in ((2, None), (3, make_upstream(heartbeat=9))):
        table.merge(make_record(incarnation, announced))
        assert not peers.for_service('entries')
    table.merge(make_record(4, make_upstream(born=200)))
    assert peers.for_service('entries') == [peers.get('vm1')]


@run_in_trio
def test_a_repeated_leave_causes_no_refresh(table, peers):
    """Guards against a scan of all daemons for each late reply."""
    peer = peers.get('vm1')
    peers.record_leave(peer, make_upstream())
    assert not peers.for_service('entries')
    no_records = iter(())
    with mock.patch.object(
        MemberTable, '__iter__', return_value=no_records
    ) as iterate:
        peers.record_leave(peer, make_upstream())
        assert not peers.for_service('entries')
    assert not iterate.called


@run_in_trio
def test_a_leave_from_a_record_outlives_restarts_of_its_daemon(table, peers):
    left = make_upstream(heartbeat=LEAVE_SEQUENCE, state=UpstreamState.DRAINING)
    table.merge(make_record(2, left))
    assert not peers.for_service('entries')
    table.merge(make_record(3, make_upstream(heartbeat=9)))
    assert not peers.for_service('entries')


@run_in_trio
def test_a_limit_from_a_reply_outlives_restarts_of_its_daemon(table, peers):
    """Guards against losing a limit if its owner restarts."""
    peer = peers.get('vm1')
    peer.record_limit(make_upstream(), LIMIT)
    table.merge(make_record(2, make_upstream(heartbeat=9)))
    peers.all()
    assert peer.limit_of(make_upstream(heartbeat=9)) == LIMIT
    assert peer.limit_of(make_upstream(born=200)) is None


@run_in_trio
def test_a_limit_from_a_record_outlives_restarts_of_its_daemon(table, peers):
    """Guards against keeping a limit only where a reply has named it."""
    announced = (
        (2, make_upstream(limit=LIMIT)),
        (3, None),
        (4, make_upstream(heartbeat=9)),
    )
    for incarnation, one in announced:
        table.merge(make_record(incarnation, one))
        peers.all()
    peer = peers.get('vm1')
    assert peer.limit_of(make_upstream(heartbeat=9)) == LIMIT
    assert peer.limit_of(make_upstream(born=200)) is None


@run_in_trio
def test_a_limit_from_a_record_after_a_reply_outlives_restarts(table, peers):
    """Guards against an earlier reply that hides the limit of a record."""
    peer = peers.get('vm1')
    peer.record_limit(make_upstream(), None)
    for incarnation, one in ((2, make_upstream(limit=LIMIT)), (3, None)):
        table.merge(make_record(incarnation, one))
        peers.all()
    assert peer.limit_of(make_upstream(heartbeat=9)) == LIMIT


@run_in_trio
def test_a_limit_that_a_reply_ended_is_not_restored(table, peers):
    """Guards against an old record that restores an ended limit."""
    peer = peers.get('vm1')
    peer.record_limit(make_upstream(), None)
    assert peer.limit_of(make_upstream(limit=LIMIT)) is None


@run_in_trio
def test_a_limit_that_a_record_ended_is_not_restored(table, peers):
    """Guards against keeping a limit that its owner has withdrawn."""
    announced = (make_upstream(limit=LIMIT), make_upstream(heartbeat=2))
    for sequence, one in enumerate(announced, 1):
        table.merge(replace(make_record(1, one), sequence=sequence))
        peers.all()
    assert peers.get('vm1').limit_of(make_upstream(heartbeat=2)) is None


@run_in_trio
def test_an_old_limit_does_not_delay_a_new_start_of_an_upstream(table, peers):
    """Guards against avoiding a restarted upstream that names no limit."""
    peer = peers.get('vm1')
    peer.owner.record_limit_result(0, 1e9, 0, taken=False)
    table.merge(make_record(2, make_upstream(born=200)))
    peers.all()
    assert peer.owner.limit_ready_at(0) < 0


@run_in_trio
def test_an_ended_limit_delays_no_requests(table, peers):
    table.merge(make_record(2, make_upstream(limit=LIMIT)))
    peers.all()
    peer = peers.get('vm1')
    peer.owner.record_limit_result(0, 1e9, 0, taken=False)
    table.merge(make_record(3, make_upstream()))
    peers.all()
    assert peer.owner.limit_ready_at(0) < 0


@run_in_trio
def test_the_first_requests_to_a_cold_upstream_are_spread():
    """Guards against a herd at the upstreams of a zone that comes back cold."""
    cold = RateLimit(5.0, 1000, is_cold=True)
    daemons = 24
    now = trio.current_time()
    ready_at = []
    for number in range(daemons):
        created = MemberTable()
        created.merge(make_record(1, make_upstream()))
        for place in range(daemons - 1):
            created.merge(make_neighbour(place))
        peers = Peers(created, f'ingress{number}')
        assert peers.for_service('entries')
        created.merge(make_record(2, make_upstream(limit=cold)))
        (peer,) = peers.for_service('entries')
        ready_at.append(peer.owner.limit_ready_at(1) - now)
    in_first_second = sum(delay < 1 for delay in ready_at)
    assert 1 <= in_first_second <= 3 * cold.rate
    assert max(ready_at) <= MAX_FIRST_DELAY + 0.1


def make_neighbour(place):
    return MemberRecord(
        f'near{place}',
        1,
        0,
        'z1',
        f'127.0.0.2:{place + 1}',
        f'127.0.0.3:{place + 1}',
    )
