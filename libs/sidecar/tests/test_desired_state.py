"""What a daemon concludes from orders and verdicts as they follow."""

from verbenamill_policy.rollouts import Order, SettledOrder, Verdict
from verbenamill_sidecar.desired_state import (
    DesiredState,
    decode_snapshot,
    encode_snapshot,
)


def test_a_version_that_was_taken_back_gets_nothing_in_the_next_move():
    # A bad version is taken back; its upstreams drain some seconds later.
    # Before that, the operator orders the move to the next version. Counted
    # among the old versions, the bad one would get requests again.
    desired_state = DesiredState()
    desired_state.take_order(Order(id=1, service='s', target='v2', window=6))
    desired_state.take_settled(
        SettledOrder(
            order=1,
            service='s',
            target='v2',
            verdict=Verdict.TAKEN_BACK,
        ),
    )
    assert not desired_state.shares('s').allows('v2')
    desired_state.take_order(Order(id=2, service='s', target='v3', window=6))
    assert desired_state.shares('s').allows('v1')
    assert not desired_state.shares('s').allows('v2')


def _verdict(order, target, verdict):
    return SettledOrder(
        order=order, service='s', target=target, verdict=verdict
    )


def test_a_restarted_daemon_learns_what_was_taken_back_from_a_neighbour():
    # A daemon is restarted while the move after a bad one runs. The store
    # tells the newest order only, so the daemon hears of the bad version
    # from whom it fetches the rest; without that it would send it requests.
    neighbour = DesiredState()
    neighbour.take_settled(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    neighbour.take_order(Order(id=2, service='s', target='v3', window=6))
    neighbour.take_settled(_verdict(2, 'v3', Verdict.RUNNING))
    told = decode_snapshot(encode_snapshot(neighbour.known))
    restarted = DesiredState()
    restarted.take_order(Order(id=2, service='s', target='v3', window=6))
    restarted.take_all(told, 'neighbour')
    assert restarted.shares('s').allows('v1')
    assert not restarted.shares('s').allows('v2')


def test_a_version_that_was_mended_under_its_name_is_used_again():
    # An operator orders the version once more after it was taken back, and
    # it is found good. In the move after that it is the old version, which
    # has to carry all requests until the next one is trusted.
    desired_state = DesiredState()
    desired_state.take_settled(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    desired_state.take_settled(_verdict(3, 'v2', Verdict.DONE))
    desired_state.take_settled(_verdict(1, 'v2', Verdict.TAKEN_BACK))
    desired_state.take_order(Order(id=4, service='s', target='v3', window=6))
    assert desired_state.shares('s').allows('v2')
