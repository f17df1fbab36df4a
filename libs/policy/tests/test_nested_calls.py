"""Requests whose nested calls would find no room are refused before."""

from verbenamill_policy.nested_calls import NestedCallTracker


def learn(nesting, times):
    for _ in range(times):
        nesting.record_call('lookup', 'catalog')
        nesting.record_end('lookup')


def tell(nesting, times, *, refused, now):
    for _ in range(times):
        nesting.record_outcome('lookup', 'catalog', refused=refused, now=now)


def learned():
    nesting = NestedCallTracker()
    learn(nesting, 20)
    (call,) = nesting.calls_of('lookup')
    return nesting, call


def test_calls_are_learned_from_those_that_pass():
    nesting = NestedCallTracker()
    assert not nesting.calls_of('lookup')
    learn(nesting, 20)
    assert [call.service for call in nesting.calls_of('lookup')] == ['catalog']
    assert not nesting.calls_of('fee')


def test_calls_that_stopped_are_forgotten():
    nesting = NestedCallTracker()
    learn(nesting, 20)
    for _ in range(100):
        nesting.record_end('lookup')
    assert not nesting.calls_of('lookup')


def test_a_full_service_is_left_alone_by_those_that_only_call_it():
    # The called service is full and refuses nested calls. A lookup admitted
    # now would hold a slot, have its call refused and fail; its caller learns
    # that after the whole work.
    nesting, call = learned()
    assert call.has_room(0)
    tell(nesting, 6, refused=True, now=1)
    assert not call.has_room(1.1)


def test_calls_that_are_answered_show_room_however_long_the_queue_is():
    # An archive has a long queue of requests that are less urgent than the
    # call, which gets the next slot. Judged by that queue, an idle upstream
    # refused all orders that make the call, and being idle, got them all.
    nesting, call = learned()
    tell(nesting, 50, refused=False, now=1)
    assert call.has_room(1)


def test_an_upstream_that_refuses_everything_tries_again_within_a_second():
    # Refused requests make no calls, so nothing would ever show that the
    # called service has room again.
    nesting, call = learned()
    tell(nesting, 50, refused=True, now=1)
    assert not call.has_room(1.2)
    assert call.has_room(2)


def test_some_refusals_among_many_answers_stop_nothing():
    nesting, call = learned()
    for place in range(100):
        tell(nesting, 1, refused=place % 4 == 0, now=place / 20)
        assert call.has_room(place / 20)
