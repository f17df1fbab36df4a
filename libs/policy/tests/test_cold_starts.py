"""Cold upstreams under load: the pattern of a zone that comes back cold."""

import heapq
from random import Random

import pytest

from verbenamill_policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionResult,
)
from verbenamill_policy.cold_starts import (
    ColdStartLimit,
    ColdStartMargin,
    ColdStartTracker,
)

LIMIT = ColdStartLimit(duration=3, rate=5.5)
MARGIN = ColdStartMargin(overshoot=1.5, slack=8)
ALLOWED = MARGIN.overshoot * LIMIT.rate + MARGIN.slack
PROBE_TIME = 0.02
HEARTBEAT_PERIOD = 1.5


class World:
    """One upstream, its admission and callers on a virtual clock."""

    def __init__(self, *, seed, slots=2, warm_time=0.037, limit=LIMIT):
        self.random = Random(seed)
        self.now = 0.0
        self.warm_time = warm_time
        self.cold_until = float('-inf')
        self.tracker = ColdStartTracker(lambda: limit, MARGIN)
        self.admission = Admission(slots=slots)
        self.admission.cold_starts = self.tracker
        self.sent = []
        self.refused = 0
        self._events = []
        self._number = 0

    def at(self, time, action):
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action))

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._pace()
        self.now = until

    def load(self, rate, until, since=0):
        time = since
        while time < until:
            time += self.random.expovariate(rate)
            self.at(time, self._arrive)

    def heartbeats(self, until, *, late=0):
        time = 0
        while time < until:
            time += HEARTBEAT_PERIOD
            self.at(time, lambda: self._heartbeat(late))

    def turn_cold(self, duration):
        self.cold_until = self.now + duration

    def _heartbeat(self, late):
        remaining = max(self.cold_until - self.now, 0)
        self.at(
            self.now + late,
            lambda: self.tracker.record_cold(remaining, self.now),
        )

    def _pace(self):
        self.admission.set_rate(self.tracker.rate(self.now), self.now)
        if self.tracker.needs_probe(self.now):
            asked_at = self.now
            self.tracker.record_asked(asked_at)
            self.at(self.now + PROBE_TIME, lambda: self._probed(asked_at))
        self.admission.admit(self.now)

    def _probed(self, asked_at):
        remaining = max(self.cold_until - self.now, 0)
        self.tracker.record_probe(remaining, asked_at=asked_at)

    def _arrive(self):
        request = AdmissionRequest(
            route='r',
            latency_objective=0.327,
            priority=1,
            arrived=self.now,
            due=self.now + 0.327,
            objective=self.now + 0.327,
            deadline=self.now + 0.786,
            on_settled=lambda result: self._settle(request, result),
        )
        result = self.admission.acquire(request, self.now)
        if result is None:
            self._wake()
        else:
            self._settle(request, result)

    def _wake(self):
        wake_at = self.admission.next_start(self.now)
        if wake_at < float('inf'):
            self.at(max(wake_at, self.now + 0.001), lambda: None)

    def _settle(self, request, result):
        if result is not AdmissionResult.ADMITTED:
            self.refused += 1
            return
        self.sent.append(self.now)
        factor = 2 if self.now < self.cold_until else 1
        took = factor * self.warm_time * self.random.lognormvariate(0, 0.3)
        self.at(self.now + took, lambda: self._end(request, took))

    def _end(self, request, took):
        self.admission.release(request, self.now, took=took)
        if self.admission.waiting:
            self._wake()

    def most_in_a_second(self, since, until):
        times = [one for one in self.sent if since <= one < until]
        return max(
            (sum(begin <= one < begin + 1 for one in times) for begin in times),
            default=0,
        )

    def count(self, since, until):
        return sum(since <= one < until for one in self.sent)


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('rate', [8, 20, 50])
def test_an_upstream_that_turns_cold_under_load_is_not_flooded(seed, rate):
    """Guards against a burst before the first heartbeat that says so."""
    world = World(seed=seed)
    world.load(rate, until=20)
    world.heartbeats(20)
    world.at(8, lambda: world.turn_cold(3))
    world.run(20)
    assert world.most_in_a_second(8, 11) <= ALLOWED


@pytest.mark.parametrize('seed', range(5))
def test_a_heartbeat_that_is_late_does_not_make_an_upstream_warm(seed):
    """Guards against a delayed heartbeat from before it turned cold."""
    world = World(seed=seed)
    world.load(40, until=20)
    world.heartbeats(20, late=2)
    world.at(8, lambda: world.turn_cold(3))
    world.run(20)
    assert world.most_in_a_second(8, 11) <= ALLOWED


@pytest.mark.parametrize('seed', range(5))
def test_a_cold_upstream_gets_what_it_tolerates(seed):
    """Guards against a cold upstream that starves although callers wait."""
    world = World(seed=seed)
    world.cold_until = 3.0
    world.tracker.begin(age=0, now=0)
    world.load(40, until=10)
    world.run(10)
    assert world.most_in_a_second(0, 3) <= ALLOWED
    assert world.count(0, 3) >= 0.9 * (LIMIT.rate * 3 - 1)
    assert world.count(4, 10) >= 6 * 30


def test_an_upstream_without_a_bound_is_never_probed_or_delayed():
    """Guards against probes and waits for services without cold starts."""
    world = World(seed=1, limit=ColdStartLimit(duration=3))
    world.tracker.begin(age=0, now=0)
    world.load(40, until=5)
    world.run(5)
    assert not world.tracker.needs_probe(5)
    assert world.tracker.rate(1) is None
    assert world.count(0, 1) >= 25


def test_a_sign_ends_when_it_says_so():
    """Guards against an upstream that is held back for good."""
    tracker = ColdStartTracker(lambda: LIMIT, MARGIN)
    tracker.record_cold(2, 10)
    assert tracker.rate(11.9) == LIMIT.rate
    assert tracker.rate(12.1) is None
    for unreadable in (float('nan'), float('inf'), -5):
        tracker.record_cold(unreadable, 20)
        assert tracker.rate(20) is None


def test_the_safer_of_two_contradictory_signs_counts():
    """Guards against a sign without cold that undoes one with it."""
    tracker = ColdStartTracker(lambda: LIMIT, MARGIN)
    tracker.record_cold(2, 10)
    tracker.record_probe(0, asked_at=10.1)
    assert tracker.rate(11) == LIMIT.rate


@pytest.mark.parametrize('remaining', [0, 1.5])
def test_a_returned_zone_is_cold_until_a_probe_says_otherwise(remaining):
    """Guards against a herd at the upstreams of a zone that is taken back."""
    tracker = ColdStartTracker(lambda: LIMIT, MARGIN)
    tracker.assume(10)
    assert tracker.needs_probe(10)
    tracker.record_cold(0, 10.01)
    assert tracker.rate(10.02) == LIMIT.rate
    tracker.record_probe(remaining, asked_at=10.02)
    assert tracker.rate(10.1) == (LIMIT.rate if remaining else None)


def test_a_start_is_cold_by_the_configuration_before_any_heartbeat():
    """Guards against the first second after a restart of the upstream."""
    tracker = ColdStartTracker(lambda: LIMIT, MARGIN)
    tracker.begin(age=0.5, now=10)
    assert tracker.rate(12.4) == LIMIT.rate
    assert tracker.rate(12.6) is None
