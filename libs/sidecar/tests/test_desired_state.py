"""What a daemon concludes from successive orders and verdicts."""

import zlib

import msgspec

from verbenamill_policy.rollouts import Order, SettledOrder, Verdict
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    decode_snapshot,
    encode_snapshot,
)


def test_a_version_taken_back_gets_no_requests_during_the_next_move():
    # A bad version is taken back, and its upstreams drain some seconds later.
    # Before that, the operator orders a move to the next version. If the bad
    # version counted as an old one, it would get requests again.
    desired_state = DesiredState()
    desired_state.apply_order(Order(id=1, service='s', target='v2', window=6))
    desired_state.apply_verdict(
        SettledOrder(
            order=1,
            service='s',
            target='v2',
            verdict=Verdict.TAKEN_BACK,
        ),
    )
    assert not desired_state.shares('s').allows('v2')
    desired_state.apply_order(Order(id=2, service='s', target='v3', window=6))
    assert desired_state.shares('s').allows('v1')
    assert not desired_state.shares('s').allows('v2')


def _verdict(order, target, verdict):
    return SettledOrder(
        order=order, service='s', target=target, verdict=verdict
    )


def test_a_restarted_daemon_learns_the_versions_taken_back_from_a_neighbour():
    # A daemon restarts during the move that follows a bad one. The store
    # returns only the newest order, so the daemon learns of the bad version
    # from the neighbour that it fetches from. Otherwise it would send requests
    # to that version.
    neighbour = DesiredState()
    neighbour.apply_verdict(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    neighbour.apply_order(Order(id=2, service='s', target='v3', window=6))
    neighbour.apply_verdict(_verdict(2, 'v3', Verdict.RUNNING))
    snapshot = decode_snapshot(encode_snapshot(neighbour.snapshot))
    restarted = DesiredState()
    restarted.apply_order(Order(id=2, service='s', target='v3', window=6))
    restarted.apply_snapshot(snapshot, 'neighbour')
    assert restarted.shares('s').allows('v1')
    assert not restarted.shares('s').allows('v2')


def test_a_version_that_is_done_after_being_taken_back_is_used_again():
    # After a version was taken back, the operator orders it once more under
    # the same name, and it is found good. In the move after that it is the old
    # version, which carries all requests until the next version is trusted.
    desired_state = DesiredState()
    desired_state.apply_verdict(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    desired_state.apply_verdict(_verdict(3, 'v2', Verdict.DONE))
    desired_state.apply_verdict(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    desired_state.apply_order(Order(id=4, service='s', target='v3', window=6))
    assert desired_state.shares('s').allows('v2')


def test_a_configuration_of_older_software_is_left_out():
    """Guards against routes without organisations, which need no keys."""
    neighbour = DesiredState()
    configuration = Configuration(
        version=3, routes=(), services=frozenset(), limits=Limits()
    )
    neighbour.apply_configuration(configuration, 'store')
    neighbour.apply_order(Order(id=2, service='s', target='v3', window=6))
    snapshot = decode_snapshot(encode_snapshot(neighbour.snapshot))
    fields = msgspec.to_builtins(neighbour.snapshot)
    fields.pop('format')
    older = decode_snapshot(zlib.compress(msgspec.msgpack.encode(fields)))
    assert older.configuration == configuration
    restarted = DesiredState()
    restarted.apply_snapshot(older, 'neighbour')
    assert restarted.stamp == (-1, 2)
    restarted.apply_snapshot(snapshot, 'neighbour')
    assert restarted.stamp == (3, 2)
