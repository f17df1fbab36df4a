"""Placement: own zone first, then by expected time, around failures."""

from random import Random

from verbenamill_policy.placement import (
    OwnerEstimate,
    PlacementRequest,
    choose_owner,
    find_limit_wait,
)


def make_owner(vm, zone='a', slots=10):
    return OwnerEstimate(vm=vm, availability_zone=zone, slots=slots)


def pick(owners, *, now=0, left=0.3, excluded=(), seed=1, size=2_000):
    return choose_owner(
        owners,
        PlacementRequest(
            mean_time=0.1, time_to_objective=left, byte_count=size
        ),
        zone='a',
        excluded=excluded,
        now=now,
        random=Random(seed),
    )


def test_the_own_zone_goes_first_while_it_is_fast_enough():
    owners = [make_owner('near'), make_owner('far', 'b')]
    assert pick(owners).vm == 'near'


def test_a_full_zone_spills_to_another():
    near = make_owner('near')
    near.record_load(30, 0)
    assert pick([near, make_owner('far', 'b')]).vm == 'far'


def test_a_zone_without_others_keeps_what_it_can():
    near = make_owner('near')
    near.record_load(30, 0)
    assert pick([near]).vm == 'near'


def test_a_slow_upstream_gets_less():
    slow = make_owner('slow')
    for _ in range(20):
        slow.record_service_time(0.5, 0.1)
    slow.record_load(0, 0)
    chosen = [
        pick([slow, make_owner('quick')], seed=seed).vm for seed in range(50)
    ]
    assert chosen.count('slow') < 5


def test_a_failing_upstream_is_avoided_and_tried_again_later():
    # An upstream fails half of its answers while its health is good. Callers
    # see errors as long as it is chosen; when it has recovered, only a
    # request can show it.
    grey = make_owner('grey')
    for place in range(20):
        grey.record_outcome(failed=place % 2 == 0)
    grey.record_load(0, 0)
    owners = [grey, make_owner('well')]
    soon = [pick(owners, seed=seed).vm for seed in range(50)]
    late = [pick(owners, now=30, seed=seed).vm for seed in range(50)]
    assert soon.count('grey') == 0
    assert late.count('grey') > 5


def test_one_out_of_reach_gets_nothing_until_its_pause_is_over():
    down = make_owner('down')
    down.mark_down(0)
    assert pick([down]) is None
    assert pick([down], now=0.3).vm == 'down'
    down.mark_down(0.3)
    assert pick([down], now=0.6) is None


def test_load_that_was_told_long_ago_is_not_believed():
    owner = make_owner('one')
    owner.record_load(40, 0)
    assert owner.estimate_load(0.1) == 40
    assert owner.estimate_load(5) < 1


def make_zone(load, slots=18):
    near = make_owner('near', slots=slots)
    near.record_load(load, 0)
    far = make_owner('far', 'b', slots=slots)
    far.record_load(6, 0)
    return [near, far]


def test_a_busy_zone_keeps_its_requests_while_they_come_in_time():
    # Each zone has one upstream of a service, with most of its slots taken.
    # Another zone always looks a little faster. Requests that leave for that
    # carry their bytes across, and half of all requests did; their callers
    # get nothing for it, since the answer comes in time at home as well.
    assert pick(make_zone(15)).vm == 'near'
    assert pick(make_zone(24), left=0.6).vm == 'near'


def test_a_zone_without_room_sends_out_what_travels_cheapest():
    # The queue at home leaves an even chance to be in time. A small answer
    # is worth the way to another zone, a large one is not yet.
    owners = make_zone(50)
    assert pick(owners, left=0.3, size=1_000).vm == 'far'
    assert pick(owners, left=0.3, size=20_000).vm == 'near'


def test_nobody_is_left_without_an_answer_to_save_bytes():
    owners = make_zone(150)
    assert pick(owners, left=0.5, size=500_000).vm == 'far'


def test_one_failure_of_a_good_upstream_sends_nobody_away():
    # A good upstream fails one request in a hundred. With the belief moved
    # far by each failure, the next seconds' requests leave their zone, each
    # time, and carry their bytes across for nothing.
    near = make_owner('near')
    near.record_outcome(failed=True)
    near.record_load(3, 0)
    assert pick([near, make_owner('far', 'b')], left=0.5).vm == 'near'


def test_an_upstream_that_fails_half_loses_its_zone_within_a_second():
    # A daemon sends some ten requests a second to the upstream of its zone.
    near = make_owner('near')
    for place in range(10):
        near.record_outcome(failed=place % 2 == 0)
    near.record_load(3, 0)
    assert pick([near, make_owner('far', 'b')], left=0.5).vm == 'far'


def limit(owner, pause, *, priority=0, now=1.0):
    """Tell of a request that its limit had no room for."""
    owner.record_limit_result(priority, pause, now, taken=True)


def test_an_owner_at_its_limit_is_left_alone_until_it_has_room():
    """Guards against hops to an upstream that cannot take a request."""
    limited = make_owner('limited')
    limit(limited, 4.0)
    far = make_owner('far', 'b')
    assert pick([limited, far], now=4).vm == 'far'
    assert pick([limited, far], now=5).vm == 'limited'


def test_no_owner_is_chosen_where_limits_have_no_room_in_time():
    """Guards against callers that wait for what cannot come."""
    owners = [make_owner('one'), make_owner('other', 'b')]
    limit(owners[0], 1.0)
    limit(owners[1], 2.0)
    assert pick(owners, now=1) is None
    wish = PlacementRequest(mean_time=0.1, time_to_objective=0.3)
    assert find_limit_wait(owners, wish, excluded=(), now=1) == 1
    assert find_limit_wait(owners, wish, excluded={'one'}, now=1) == 2
    assert find_limit_wait([make_owner('free')], wish, excluded=(), now=1) == 0


def test_what_is_more_urgent_is_not_held_up_by_what_was_told_to_others():
    limited = make_owner('limited')
    limit(limited, 4.0, priority=2)
    assert limited.limit_ready_at(2) == 5
    assert limited.limit_ready_at(3) == 5
    assert limited.limit_ready_at(1) < 0


def test_a_limit_that_ends_holds_nobody_up():
    limited = make_owner('limited')
    limit(limited, 4.0)
    limited.clear_limit()
    assert pick([limited], now=2).vm == 'limited'
    assert not limited.is_limited
