"""Placement of requests by zone, expected time, failures and rate limits."""

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


def test_the_own_zone_is_preferred_while_it_is_fast_enough():
    owners = [make_owner('near'), make_owner('far', 'b')]
    assert pick(owners).vm == 'near'


def test_an_overloaded_zone_sends_requests_to_another():
    near = make_owner('near')
    near.record_load(30, 0)
    assert pick([near, make_owner('far', 'b')]).vm == 'far'


def test_an_overloaded_owner_is_used_if_there_is_no_other():
    near = make_owner('near')
    near.record_load(30, 0)
    assert pick([near]).vm == 'near'


def test_a_slow_upstream_gets_fewer_requests():
    slow = make_owner('slow')
    for _ in range(20):
        slow.record_service_time(0.5, 0.1)
    slow.record_load(0, 0)
    chosen = [
        pick([slow, make_owner('quick')], seed=seed).vm for seed in range(50)
    ]
    assert chosen.count('slow') < 5


def test_a_failing_upstream_is_avoided_and_retried_later():
    # A grey failure: half of the requests fail while health checks pass.
    # Callers get errors while the owner is chosen. After its recovery, only
    # requests can show that it works again.
    grey = make_owner('grey')
    for number in range(20):
        grey.record_outcome(failed=number % 2 == 0)
    grey.record_load(0, 0)
    owners = [grey, make_owner('well')]
    soon = [pick(owners, seed=seed).vm for seed in range(50)]
    late = [pick(owners, now=30, seed=seed).vm for seed in range(50)]
    assert soon.count('grey') == 0
    assert late.count('grey') > 5


def test_an_unreachable_owner_gets_no_requests_during_its_backoff():
    down = make_owner('down')
    down.mark_down(0)
    assert pick([down]) is None
    assert pick([down], now=0.3).vm == 'down'
    down.mark_down(0.3)
    assert pick([down], now=0.6) is None


def test_a_load_report_decays_with_its_age():
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


def test_a_busy_zone_keeps_its_requests_while_they_meet_their_objective():
    # Each zone has one upstream of a service with most of its slots in use,
    # and another zone always appears slightly faster. Half of all requests
    # left their zone for that and caused cross-zone traffic without any
    # benefit, since the own zone answers within the objective as well.
    assert pick(make_zone(15)).vm == 'near'
    assert pick(make_zone(24), left=0.6).vm == 'near'


def test_an_overloaded_zone_sends_small_requests_away_first():
    # The queue in the own zone leaves an even chance to meet the objective. A
    # small answer is worth the transfer to another zone, a large one is not.
    owners = make_zone(50)
    assert pick(owners, left=0.3, size=1_000).vm == 'far'
    assert pick(owners, left=0.3, size=20_000).vm == 'near'


def test_saving_bytes_does_not_leave_a_caller_without_an_answer():
    owners = make_zone(150)
    assert pick(owners, left=0.5, size=500_000).vm == 'far'


def test_a_single_failure_of_a_good_upstream_diverts_no_requests():
    # A good upstream fails one request in a hundred. If each failure changed
    # the estimate by much, the requests of the next seconds would leave the
    # zone each time and cause cross-zone traffic without any benefit.
    near = make_owner('near')
    near.record_outcome(failed=True)
    near.record_load(3, 0)
    assert pick([near, make_owner('far', 'b')], left=0.5).vm == 'near'


def test_an_upstream_that_fails_half_is_avoided_within_a_second():
    # A daemon sends about ten requests a second to the upstream of its zone.
    near = make_owner('near')
    for number in range(10):
        near.record_outcome(failed=number % 2 == 0)
    near.record_load(3, 0)
    assert pick([near, make_owner('far', 'b')], left=0.5).vm == 'far'


def limit(owner, wait, *, priority=0, now=1.0):
    """Record that the owner's rate limit requires a wait."""
    owner.record_limit_result(priority, wait, now, taken=True)


def test_an_owner_at_its_limit_gets_no_requests_until_it_has_room():
    """Guards against requests that are sent to an upstream at its limit."""
    limited = make_owner('limited')
    limit(limited, 4.0)
    far = make_owner('far', 'b')
    assert pick([limited, far], now=4).vm == 'far'
    assert pick([limited, far], now=5).vm == 'limited'


def test_no_owner_is_chosen_if_no_limit_has_room_in_time():
    """Guards against callers that wait for an answer in vain."""
    owners = [make_owner('one'), make_owner('other', 'b')]
    limit(owners[0], 1.0)
    limit(owners[1], 2.0)
    assert pick(owners, now=1) is None
    request = PlacementRequest(mean_time=0.1, time_to_objective=0.3)
    assert find_limit_wait(owners, request, excluded=(), now=1) == 1
    assert find_limit_wait(owners, request, excluded={'one'}, now=1) == 2
    assert (
        find_limit_wait([make_owner('free')], request, excluded=(), now=1) == 0
    )


def test_a_limit_reported_for_low_priorities_does_not_delay_urgent_requests():
    limited = make_owner('limited')
    limit(limited, 4.0, priority=2)
    assert limited.limit_ready_at(2) == 5
    assert limited.limit_ready_at(3) == 5
    assert limited.limit_ready_at(1) < 0


def test_a_limit_that_ends_delays_no_requests():
    limited = make_owner('limited')
    limit(limited, 4.0)
    limited.clear_limit()
    assert pick([limited], now=2).vm == 'limited'
    assert not limited.is_limited


def pick_beside(own, others, *, left=0.4, seed=1):
    return choose_owner(
        [own, *others],
        PlacementRequest(mean_time=0.1, time_to_objective=left),
        zone='a',
        excluded=(),
        now=0,
        random=Random(seed),
        own=own,
    )


def test_a_free_slot_beside_the_caller_is_used_first():
    """Guards against a hop to an owner whose load is only guessed."""
    own = make_owner('own', slots=2)
    own.observe_load(1, 0)
    others = [make_owner(f'vm{place}', slots=2) for place in range(5)]
    assert all(pick_beside(own, others, seed=seed) is own for seed in range(20))


def test_a_busy_upstream_beside_the_caller_is_passed_over():
    """Guards against a queue beside the caller while others are free."""
    own = make_owner('own', slots=2)
    own.observe_load(4, 0)
    others = [make_owner(f'vm{place}', slots=2) for place in range(5)]
    assert pick_beside(own, others) is not own


def test_a_slow_or_failing_upstream_beside_the_caller_is_passed_over():
    """Guards against callers that stay with a faulty upstream of their VM."""
    others = [make_owner(f'vm{place}', slots=2) for place in range(5)]
    slow = make_owner('slow', slots=2)
    for _ in range(30):
        slow.record_service_time(0.5, 0.1)
    slow.record_load(0, 0)
    assert pick_beside(slow, others) is not slow
    grey = make_owner('grey', slots=2)
    for number in range(30):
        grey.record_outcome(failed=number % 2 == 0)
    grey.record_load(0, 0)
    assert pick_beside(grey, others) is not grey


def test_the_less_loaded_of_two_owners_with_free_slots_is_chosen():
    """Guards against full upstreams, which are slower, beside idle ones."""
    chosen = []
    for seed in range(40):
        idle = make_owner('idle', slots=2)
        half = make_owner('half', slots=2)
        idle.observe_load(0, 0)
        half.observe_load(1, 0)
        chosen.append(pick([idle, half], seed=seed).vm)
    assert chosen.count('idle') > 30
