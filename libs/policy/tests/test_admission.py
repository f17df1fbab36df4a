"""Slots, order and refusals of one upstream's queue, on a clock of its own."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.admission import (
    Admission,
    AdmissionResult,
    AdmissionRequest,
)


class Waiting:
    """A request in the queue, and how it was settled."""

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
        self.entry = None
        self.ticket = AdmissionRequest(
            route=route,
            priority=priority,
            latency_objective=latency_objective,
            arrived=now,
            due=now + objective,
            objective=now + objective,
            deadline=now + deadline,
            on_settled=self._settle,
        )

    def _settle(self, entry):
        assert self.entry is None
        self.entry = entry


def make_admission(slots, mean):
    admission = Admission(slots=slots)
    admission.times.add('r', mean, 0)
    return admission


def acquire(admission, priority=0, now=0, **times):
    waiting = Waiting(priority, now=now, **times)
    entry = admission.acquire(waiting.ticket, now)
    if entry is not None:
        waiting.entry = entry
    return waiting


def test_urgent_requests_get_the_next_slot():
    # A fee waits behind lookups that came first. Its deadline does not
    # care; it goes in front of all of them.
    admission = make_admission(1, 0.1)
    first = acquire(admission, 2)
    lookup = acquire(admission, 2)
    fee = acquire(admission, 1)
    admission.release(first.ticket, 0.1, took=0.1)
    assert fee.entry is AdmissionResult.ADMITTED
    assert lookup.entry is None


def test_who_cannot_be_served_in_time_is_refused_at_once():
    admission = make_admission(1, 0.3)
    acquire(admission)
    assert acquire(admission, objective=0.8).entry is None
    assert acquire(admission, objective=0.8).entry is AdmissionResult.SHED


def test_who_is_overtaken_is_refused_when_that_is_known():
    # A lookup waits with little time to spare. Urgent requests come and push
    # it back; held on, it would be refused only when its time is over.
    admission = make_admission(1, 0.2)
    acquire(admission)
    lookup = acquire(admission, 2, objective=0.55)
    assert lookup.entry is None
    acquire(admission, 1)
    assert lookup.entry is AdmissionResult.SHED


def test_a_late_request_is_measured_by_its_deadline():
    admission = make_admission(1, 0.2)
    acquire(admission)
    assert acquire(admission, objective=0.1, deadline=1).entry is None
    assert (
        acquire(admission, objective=0.1, deadline=0.3).entry
        is AdmissionResult.SHED
    )


def test_a_leaving_upstream_refuses_all_who_wait():
    admission = make_admission(1, 0.1)
    acquire(admission)
    waiting = [acquire(admission) for _ in range(3)]
    admission.shed_all()
    assert {one.entry for one in waiting} == {AdmissionResult.SHED}
    assert not admission.waiting


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=60),
)
def test_slots_are_never_exceeded_and_nobody_is_forgotten(slots, steps):
    admission = make_admission(slots, 0.05)
    present = []
    now = 0
    for priority, ends in steps:
        now += 0.01
        if ends:
            running = [
                one for one in present if one.entry is AdmissionResult.ADMITTED
            ]
            if running:
                present.remove(running[0])
                admission.release(running[0].ticket, now, took=0.05)
        else:
            present.append(acquire(admission, priority, now))
        present = [
            one for one in present if one.entry is not AdmissionResult.SHED
        ]
        running = [
            one for one in present if one.entry is AdmissionResult.ADMITTED
        ]
        waiting = [one for one in present if one.entry is None]
        assert len(running) == admission.running <= slots
        assert len(waiting) == admission.waiting
        # An idle slot never stands beside a request that waits.
        assert not waiting or len(running) == slots


def test_late_requests_do_not_make_others_late():
    # In overload some requests miss their objective whatever is done. They
    # are due first; in front of the queue they would push the others over
    # their objectives too, one after the other.
    admission = make_admission(1, 0.1)
    running = acquire(admission)
    late = acquire(admission, objective=0.1, deadline=2)
    fresh = acquire(admission, objective=0.5, deadline=2)
    admission.release(running.ticket, 0.1, took=0.1)
    assert fresh.entry is AdmissionResult.ADMITTED
    assert late.entry is None


def test_a_daemon_that_knows_no_times_admits_no_crowd():
    # All daemons were killed at once and start again; their callers come
    # back in the same moment with requests of some 0.6 s that are due in 2 s.
    # With two slots, those beyond the first few would all come late, having
    # taken the slots from those who come in time.
    admission = Admission(slots=2)
    present = [
        acquire(admission, objective=2, deadline=8, latency_objective=2)
        for _ in range(30)
    ]
    kept = [one for one in present if one.entry is not AdmissionResult.SHED]
    assert 4 <= len(kept) <= 8


def test_long_work_keeps_its_place_before_short_work_that_came_later():
    # A caller fetches a large pack: 0.64 s of work, due in 2 s. While it
    # waits, drawings of 0.3 s come that are due earlier, though they can
    # start later. Put behind each of them, the pack would be refused in the
    # end, having waited for most of its time.
    admission = make_admission(1, 0.3)
    admission.times.add('pack', 0.64, 0)
    running = acquire(admission, objective=9)
    pack = acquire(admission, objective=2, deadline=8, route='pack')
    drawing = acquire(admission, now=0.25, objective=1.7, deadline=5)
    assert drawing.entry is None
    admission.release(running.ticket, 0.4, took=0.3)
    assert pack.entry is AdmissionResult.ADMITTED


def test_requests_beyond_a_limit_wait_for_it():
    # Four slots are free, but the upstream takes two requests a second.
    admission = make_admission(4, 0.05)
    admission.set_rate(2, 0)
    first = acquire(admission, now=1)
    second = acquire(admission, now=1)
    third = acquire(admission, now=1)
    assert (first.entry, second.entry) == (
        AdmissionResult.ADMITTED,
        AdmissionResult.ADMITTED,
    )
    assert third.entry is None
    assert admission.next_start(1) == 1.5
    admission.admit(1.5)
    assert third.entry is AdmissionResult.ADMITTED


def test_a_request_that_a_limit_would_make_late_is_refused_at_once():
    """Guards against requests that wait for a limit until their deadline."""
    admission = make_admission(4, 0.05)
    admission.set_rate(0.5, 0)
    assert (
        acquire(admission, now=1, objective=0.3).entry is AdmissionResult.SHED
    )
    assert admission.expected_wait(0, 1) == 1


def test_those_who_wait_are_refused_when_a_limit_falls():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    waiting = [acquire(admission, now=0) for _ in range(3)]
    assert [one.entry for one in waiting] == [None, None, None]
    admission.set_rate(0.2, 0)
    assert {one.entry for one in waiting} == {AdmissionResult.SHED}


def test_those_who_wait_go_on_when_a_limit_ends():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    waiting = [acquire(admission, now=0) for _ in range(3)]
    admission.set_rate(None, 0)
    assert {one.entry for one in waiting} == {AdmissionResult.ADMITTED}


def test_urgent_requests_get_the_next_token():
    admission = make_admission(4, 0.05)
    admission.set_rate(4, 0)
    lookup = acquire(admission, 2, now=0)
    fee = acquire(admission, 1, now=0)
    assert admission.rate_limit_wait(1, 0) == 0.5
    assert admission.rate_limit_wait(2, 0) == 0.75
    admission.admit(0.25)
    assert (fee.entry, lookup.entry) == (AdmissionResult.ADMITTED, None)


@given(
    st.lists(
        st.tuples(st.floats(0, 0.3), st.sampled_from([None, 0, 1, 10])),
        max_size=80,
    ),
)
@settings(max_examples=100)
def test_every_request_is_settled_under_any_limits(moves):
    """Guards against a request that a limit forgets in the queue."""
    admission = make_admission(2, 0.05)
    admission.set_rate(5, 0)
    now = 0.0
    waiting = []
    for pause, rate in moves:
        now += pause
        if rate is not None:
            admission.set_rate(rate, now)
        waiting.append(acquire(admission, now=now))
    for _ in range(10_000):
        if not admission.load:
            break
        running = [
            one for one in waiting if one.entry is AdmissionResult.ADMITTED
        ]
        waiting = [one for one in waiting if one.entry is None]
        for one in running:
            admission.release(one.ticket, now, took=0.05)
        now = max(now, min(admission.next_start(now), now + 10))
        admission.admit(now)
    assert not admission.load
