"""What a daemon concludes from orders and verdicts as they follow."""

from verbenamill_policy.rollouts import Order, Settled, Verdict
from verbenamill_sidecar.knowledge import Wishes


def test_a_version_that_was_taken_back_gets_nothing_in_the_next_move():
    # A bad version is taken back; its upstreams drain some seconds later.
    # Before that, the operator orders the move to the next version. Counted
    # among the old versions, the bad one would get requests again.
    wishes = Wishes()
    wishes.take_order(Order(id=1, service='s', target='v2', window=6))
    wishes.take_settled(
        Settled(
            order=1,
            service='s',
            target='v2',
            verdict=Verdict.TAKEN_BACK,
        ),
    )
    assert not wishes.shares('s').allows('v2')
    wishes.take_order(Order(id=2, service='s', target='v3', window=6))
    assert wishes.shares('s').allows('v1')
    assert not wishes.shares('s').allows('v2')
