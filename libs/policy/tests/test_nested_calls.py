"""Requests are refused early if their nested calls would be refused."""

from verbenamill_policy.nested_calls import NestedCallTracker


def record_calls(tracker, times):
    for _ in range(times):
        tracker.record_call('lookup', 'catalog')
        tracker.record_end('lookup')


def record_outcomes(tracker, times, *, refused, now):
    for _ in range(times):
        tracker.record_outcome('lookup', 'catalog', refused=refused, now=now)


def make_learned():
    tracker = NestedCallTracker()
    record_calls(tracker, 20)
    (call,) = tracker.calls_of('lookup')
    return tracker, call


def test_nested_calls_are_learned_from_observed_calls():
    tracker = NestedCallTracker()
    assert not tracker.calls_of('lookup')
    record_calls(tracker, 20)
    assert [call.service for call in tracker.calls_of('lookup')] == ['catalog']
    assert not tracker.calls_of('fee')


def test_nested_calls_that_ended_are_forgotten():
    tracker = NestedCallTracker()
    record_calls(tracker, 20)
    for _ in range(100):
        tracker.record_end('lookup')
    assert not tracker.calls_of('lookup')


def test_no_room_is_seen_while_the_called_service_refuses_calls():
    # The called service is full and refuses nested calls. A lookup admitted
    # now would hold a slot, have its call refused and fail, and its caller
    # would learn that only at the end.
    tracker, call = make_learned()
    assert call.has_room(0)
    record_outcomes(tracker, 6, refused=True, now=1)
    assert not call.has_room(1.1)


def test_answered_calls_show_room_regardless_of_the_queue_length():
    # An archive has a long queue of requests that are less urgent than the
    # call, which gets the next slot. Judged by that queue, an idle upstream
    # refused all orders that make the call, and got them all because it was
    # idle.
    tracker, call = make_learned()
    record_outcomes(tracker, 50, refused=False, now=1)
    assert call.has_room(1)


def test_requests_are_admitted_again_within_a_second_of_refusals():
    # Refused requests make no calls, so without the decay nothing would ever
    # show that the called service has room again.
    tracker, call = make_learned()
    record_outcomes(tracker, 50, refused=True, now=1)
    assert not call.has_room(1.2)
    assert call.has_room(2)


def test_a_few_refusals_among_many_answers_have_no_effect():
    tracker, call = make_learned()
    for number in range(100):
        record_outcomes(tracker, 1, refused=number % 4 == 0, now=number / 20)
        assert call.has_room(number / 20)
