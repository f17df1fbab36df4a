"""Requests whose nested calls would find no room are refused before."""

from verbenamill_policy.nesting import Nesting, has_room
from verbenamill_policy.placement import Owner


def learn(nesting, times):
    for _ in range(times):
        nesting.tell_call('lookup', 'catalog', usual=0.03, objective=0.12)
        nesting.tell_end('lookup')


def make_owner(load):
    owner = Owner(vm='one', availability_zone='z', slots=10)
    owner.tell_load(load, 0)
    return owner


def test_calls_are_learned_from_those_that_pass():
    nesting = Nesting()
    assert not nesting.calls_of('lookup')
    learn(nesting, 20)
    assert [call.service for call in nesting.calls_of('lookup')] == ['catalog']
    assert not nesting.calls_of('fee')


def test_calls_that_stopped_are_forgotten():
    nesting = Nesting()
    learn(nesting, 20)
    for _ in range(100):
        nesting.tell_end('lookup')
    assert not nesting.calls_of('lookup')


def test_a_full_service_is_left_alone_by_those_that_only_call_it():
    # The called service is full: its queue is longer than the objective of
    # the nested call. A lookup admitted now would hold a slot, have its call
    # refused and fail; its caller learns that after the whole work.
    nesting = Nesting()
    learn(nesting, 20)
    (call,) = nesting.calls_of('lookup')
    assert has_room(call, [make_owner(10)], 0)
    assert not has_room(call, [make_owner(60)], 0)
    assert has_room(call, [make_owner(60), make_owner(5)], 0)


def test_one_out_of_reach_has_no_room():
    nesting = Nesting()
    learn(nesting, 20)
    (call,) = nesting.calls_of('lookup')
    owner = make_owner(0)
    owner.mark_down(0)
    assert not has_room(call, [owner], 0)


def test_a_slow_service_with_free_slots_is_not_a_full_one():
    # The called service was slow for some seconds, and its time is remembered
    # as longer than the call's objective. The upstream that calls it refuses
    # its requests, so it makes no calls that would show the recovery: nearly
    # idle, and so the first choice of all daemons, it would refuse for ever.
    nesting = Nesting()
    for _ in range(20):
        nesting.tell_call('lookup', 'catalog', usual=0.17, objective=0.15)
        nesting.tell_end('lookup')
    (call,) = nesting.calls_of('lookup')
    owner = make_owner(3)
    assert has_room(call, [owner], 0)
    owner.tell_load(30, 1)
    assert not has_room(call, [owner], 1)
    assert has_room(call, [owner], 9)
