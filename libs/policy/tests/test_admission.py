"""Slots, order and refusals of one upstream's queue, on a simulated clock."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.admission import (
    Admission,
    AdmissionResult,
    AdmissionRequest,
)


class QueuedRequest:
    """A request in the queue, and the result of its admission."""

    def __init__(
        self,
        priority,
        *,
        now=0,
        objective=1,
        deadline=2,
        latency_objective=0,
        route='r',
    ):
        self.result = None
        self.request = AdmissionRequest(
            route=route,
            priority=priority,
            latency_objective=latency_objective,
            arrived=now,
            due=now + objective,
            objective=now + objective,
            deadline=now + deadline,
            on_settled=self._settle,
        )

    def _settle(self, result):
        assert self.result is None
        self.result = result


def make_admission(slots, mean):
    admission = Admission(slots=slots)
    admission.times.add('r', mean, 0)
    return admission


def acquire(admission, priority=0, now=0, **times):
    queued = QueuedRequest(priority, now=now, **times)
    result = admission.acquire(queued.request, now)
    if result is not None:
        queued.result = result
    return queued


def test_urgent_requests_get_the_next_slot():
    # A fee request arrives after lookup requests with a lower priority. It
    # overtakes all of them, whatever their deadlines.
    admission = make_admission(1, 0.1)
    first = acquire(admission, 2)
    lookup = acquire(admission, 2)
    fee = acquire(admission, 1)
    admission.release(first.request, 0.1, took=0.1)
    assert fee.result is AdmissionResult.ADMITTED
    assert lookup.result is None


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once():
    admission = make_admission(1, 0.3)
    acquire(admission)
    assert acquire(admission, objective=0.8).result is None
    assert acquire(admission, objective=0.8).result is AdmissionResult.SHED


def test_an_overtaken_request_is_refused_as_soon_as_it_will_be_late():
    # A lookup waits with little spare time, and more urgent requests overtake
    # it. Kept in the queue, it would be refused only after its objective.
    admission = make_admission(1, 0.2)
    acquire(admission)
    lookup = acquire(admission, 2, objective=0.55)
    assert lookup.result is None
    acquire(admission, 1)
    assert lookup.result is AdmissionResult.SHED


def test_a_late_request_is_judged_by_its_deadline():
    admission = make_admission(1, 0.2)
    acquire(admission)
    assert acquire(admission, objective=0.1, deadline=1).result is None
    assert (
        acquire(admission, objective=0.1, deadline=0.3).result
        is AdmissionResult.SHED
    )


def test_a_leaving_upstream_refuses_all_waiting_requests():
    admission = make_admission(1, 0.1)
    acquire(admission)
    queued = [acquire(admission) for _ in range(3)]
    admission.shed_all()
    assert {one.result for one in queued} == {AdmissionResult.SHED}
    assert not admission.waiting


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=60),
)
def test_slots_are_never_exceeded_and_no_request_is_lost(slots, steps):
    admission = make_admission(slots, 0.05)
    active = []
    now = 0
    for priority, ends in steps:
        now += 0.01
        if ends:
            running = [
                one for one in active if one.result is AdmissionResult.ADMITTED
            ]
            if running:
                active.remove(running[0])
                admission.release(running[0].request, now, took=0.05)
        else:
            active.append(acquire(admission, priority, now))
        active = [
            one for one in active if one.result is not AdmissionResult.SHED
        ]
        running = [
            one for one in active if one.result is AdmissionResult.ADMITTED
        ]
        queued = [one for one in active if one.result is None]
        assert len(running) == admission.running <= slots
        assert len(queued) == admission.waiting
        # No slot is idle while a request waits.
        assert not queued or len(running) == slots


def test_late_requests_do_not_make_others_late():
    # In overload some requests miss their objective in any case. They are due
    # first; at the front of the queue they would make the others miss their
    # objectives too, one after the other.
    admission = make_admission(1, 0.1)
    running = acquire(admission)
    late = acquire(admission, objective=0.1, deadline=2)
    fresh = acquire(admission, objective=0.5, deadline=2)
    admission.release(running.request, 0.1, took=0.1)
    assert fresh.result is AdmissionResult.ADMITTED
    assert late.result is None


def test_a_daemon_without_known_service_times_admits_few_requests():
    # All daemons were killed and restarted at once. Their callers reconnect
    # simultaneously with requests of about 0.6 s that are due in 2 s. With two
    # slots, all requests beyond the first few would be late, and would take
    # the slots from later requests that could be in time.
    admission = Admission(slots=2)
    active = [
        acquire(admission, objective=2, deadline=8, latency_objective=2)
        for _ in range(30)
    ]
    kept = [one for one in active if one.result is not AdmissionResult.SHED]
    assert 4 <= len(kept) <= 8


def test_a_long_request_stays_ahead_of_short_ones_that_arrive_later():
    # A caller fetches a large pack: 0.64 s of work, due in 2 s. While it
    # waits, requests for drawings of 0.3 s arrive that are due earlier but can
    # start later. If each of them overtook the pack, it would be refused in
    # the end, after it had waited for most of its time.
    admission = make_admission(1, 0.3)
    admission.times.add('pack', 0.64, 0)
    running = acquire(admission, objective=9)
    pack = acquire(admission, objective=2, deadline=8, route='pack')
    drawing = acquire(admission, now=0.25, objective=1.7, deadline=5)
    assert drawing.result is None
    admission.release(running.request, 0.4, took=0.3)
    assert pack.result is AdmissionResult.ADMITTED


def test_requests_beyond_a_rate_limit_wait():
    # Four slots are free, but the upstream accepts two requests a second.
    admission = make_admission(4, 0.05)
    admission.set_rate(2, 0)
    first = acquire(admission, now=1)
    second = acquire(admission, now=1)
    third = acquire(admission, now=1)
    assert (first.result, second.result) == (
        AdmissionResult.ADMITTED,
        AdmissionResult.ADMITTED,
    )
    assert third.result is None
    assert admission.next_start(1) == 1.5
    admission.admit(1.5)
    assert third.result is AdmissionResult.ADMITTED


def test_a_request_that_a_rate_limit_would_make_late_is_refused_at_once():
    """Guards against requests that wait for a limit until their deadline."""
    admission = make_admission(4, 0.05)
    admission.set_rate(0.5, 0)
    assert (
        acquire(admission, now=1, objective=0.3).result is AdmissionResult.SHED
    )
    assert admission.expected_wait(0, 1) == 1


def test_waiting_requests_are_refused_when_a_rate_limit_falls():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    queued = [acquire(admission, now=0) for _ in range(3)]
    assert [one.result for one in queued] == [None, None, None]
    admission.set_rate(0.2, 0)
    assert {one.result for one in queued} == {AdmissionResult.SHED}


def test_waiting_requests_are_admitted_when_a_rate_limit_ends():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    queued = [acquire(admission, now=0) for _ in range(3)]
    admission.set_rate(None, 0)
    assert {one.result for one in queued} == {AdmissionResult.ADMITTED}


def test_urgent_requests_get_the_next_token():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    lookup = acquire(admission, 2, now=0)
    fee = acquire(admission, 1, now=0)
    assert admission.rate_limit_wait(1, 0) == 0.5
    assert admission.rate_limit_wait(2, 0) == 0.75
    admission.admit(0.25)
    assert (fee.result, lookup.result) == (AdmissionResult.ADMITTED, None)


@given(
    st.lists(
        st.tuples(st.floats(0, 0.3), st.sampled_from([None, 0, 1, 10])),
        max_size=80,
    ),
)
@settings(max_examples=100)
def test_every_request_is_settled_under_any_rate_limits(steps):
    """Guards against a request that a limit leaves in the queue for ever."""
    admission = make_admission(2, 0.05)
    admission.set_rate(5, 0)
    now = 0.0
    queued = []
    for pause, rate in steps:
        now += pause
        if rate is not None:
            admission.set_rate(rate, now)
        queued.append(acquire(admission, now=now))
    for _ in range(10_000):
        if not admission.load:
            break
        running = [
            one for one in queued if one.result is AdmissionResult.ADMITTED
        ]
        queued = [one for one in queued if one.result is None]
        for one in running:
            admission.release(one.request, now, took=0.05)
        now = max(now, min(admission.next_start(now), now + 10))
        admission.admit(now)
    assert not admission.load


def test_a_waiting_request_is_refused_once_it_is_hopeless():
    """Guards against a request that waits for its deadline behind slow ones.

    The pattern: every slot is held by an upstream that has turned slow.
    """
    admission = Admission(slots=1)
    settled = []

    def make(deadline):
        return AdmissionRequest(
            route='r',
            latency_objective=0.4,
            priority=1,
            arrived=0,
            due=0.4,
            objective=0.4,
            deadline=deadline,
            on_settled=settled.append,
        )

    assert admission.acquire(make(5), 0) is AdmissionResult.ADMITTED
    waiting = make(0.9)
    assert admission.acquire(waiting, 0) is None
    admission.shed_hopeless(waiting.latest_start - 0.01)
    assert not settled
    admission.shed_hopeless(waiting.latest_start)
    assert settled == [AdmissionResult.SHED]
    assert not admission.waiting


@pytest.mark.parametrize(('left', 'expected'), [(0.01, False), (0.3, True)])
def test_a_request_without_enough_time_is_not_sent(left, expected):
    """Guards against a slot that is spent on an answer nobody gets."""
    admission = Admission(slots=1)
    for number in range(20):
        admission.times.add('r', 0.09, number / 10)
    request = AdmissionRequest(
        route='r',
        latency_objective=0.4,
        priority=1,
        arrived=0,
        due=0.4,
        objective=0.4,
        deadline=left,
        on_settled=lambda _: None,
    )
    admission.acquire(request, 0)
    assert admission.is_worth_starting(request, 0) is expected
