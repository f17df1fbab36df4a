"""Load on a service whose VMs are slow for moments, on a virtual clock.

The model has the owners' queues and the ingresses' estimates and load probes,
but no network: a message takes a fixed time.
"""

import heapq
import math
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

import pytest

from verbenamill_policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionResult,
)
from verbenamill_policy.pace import mean_pace
from verbenamill_policy.placement import (
    OwnerEstimate,
    PlacementRequest,
    choose_owner,
)
from verbenamill_policy.service_times import ServiceTimes, is_hopeless

SLOW_FACTOR = 2.5
SLOW_TIME = 0.6
SWING = 0.55
SWING_PERIOD = 17
TIME_DEVIATION = 0.5
LATENCY = {True: 0.0002, False: 0.0005}
PROBED = 3
MAX_ASKED = 3
WARM_UP = 3


class Kind(NamedTuple):
    """A route and its load, in requests per second and seconds."""

    name: str
    rate: float
    time: float
    objective: float
    deadline: float
    priority: int
    value: float = 1


class Load(NamedTuple):
    """A service and the load on it."""

    kinds: tuple
    owners: int
    slots: int
    zones: int
    ingresses: int
    factors: tuple
    slow_share: float


CHECK_IN = Load(
    kinds=(
        Kind('lookup', 463, 0.26, 0.81, 2.025, 2),
        Kind('issue', 149, 0.35, 1.219, 3.048, 1, 2),
    ),
    owners=44,
    slots=9,
    zones=4,
    ingresses=74,
    factors=(0.7, 0.7, 1.7),
    slow_share=0.15,
)
FEW_SLOTS = Load(
    kinds=(
        Kind('search', 515, 0.12, 0.407, 1.527, 1, 0.81),
        Kind('book', 194, 0.16, 0.508, 2.032, 1, 1.6),
    ),
    owners=54,
    slots=3,
    zones=3,
    ingresses=85,
    factors=(1,),
    slow_share=0,
)


class Request:
    """A request of a caller."""

    def __init__(self, kind, zone, ingress, arrived, work):
        self.kind = kind
        self.zone = zone
        self.ingress = ingress
        self.arrived = arrived
        self.work = work
        self.objective = arrived + kind.objective
        self.deadline = arrived + kind.deadline
        self.tried = set()
        self.asked = 0
        self.found_full = False
        self.latency = None
        self.left_zone = False


class Vm:
    """An upstream, its daemon's queue, and the moments in which it is slow."""

    def __init__(self, index, load, seed, reports_pace):
        self.name = f'vm{index}'
        self.zone = index % load.zones
        self.factor = load.factors[index // load.zones % len(load.factors)]
        self.admission = Admission(slots=load.slots)
        self.reports_pace = reports_pace
        self._random = Random(f'{seed}/{index}')
        share = load.slow_share
        self._gap = SLOW_TIME * (1 - share) / share if share else math.inf
        is_slow = self._random.random() < share
        self._slow_from = -self._random.random() * SLOW_TIME
        if not is_slow:
            self._slow_from += SLOW_TIME + self._draw_gap()

    def pace(self, now):
        """Return how long requests take at this moment; never goes back."""
        while now >= self._slow_from + SLOW_TIME:
            self._slow_from += SLOW_TIME + self._draw_gap()
        return SLOW_FACTOR if now >= self._slow_from else 1

    def _draw_gap(self):
        return self._gap * self._random.expovariate(1)


class Ingress:
    """What one daemon knows of the owners and the routes."""

    def __init__(self, index, load, vms):
        self.zone = index % load.zones
        self.own = index if index < len(vms) else None
        self.estimates = [
            OwnerEstimate(
                vm=vm.name, availability_zone=vm.zone, slots=load.slots
            )
            for vm in vms
        ]
        self.places = {
            estimate.vm: place for place, estimate in enumerate(self.estimates)
        }
        self.times = ServiceTimes(half_life=5)


class Model:
    """Runs a load for a time and keeps the requests."""

    def __init__(self, load, seed, *, scale=1, reports_pace=True):
        self.load = load
        self.now = 0
        self.random = Random(seed)
        self.requests = []
        self.vms = [
            Vm(index, load, seed, reports_pace) for index in range(load.owners)
        ]
        self.ingresses = [
            Ingress(index, load, self.vms) for index in range(load.ingresses)
        ]
        self._scale = scale
        self._events = []
        self._order = count()
        self._arrivals = Random(f'{seed}/arrivals')

    def at(self, time, action, *args):
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def run(self, seconds):
        for kind in self.load.kinds:
            for zone in range(self.load.zones):
                random = Random(f'{kind.name}/{zone}/{self._arrivals.random()}')
                self._schedule_arrival(kind, zone, random, 0, seconds)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return [
            request
            for request in self.requests
            if WARM_UP <= request.arrived < seconds
        ]

    def _schedule_arrival(self, kind, zone, random, time, end):
        """Thin a Poisson process to the demand that swings in this zone."""
        share = kind.rate * self._scale / self.load.zones
        while time < end:
            time += random.expovariate(share * (1 + SWING))
            phase = time / SWING_PERIOD + zone / self.load.zones
            wanted = 1 + SWING * math.sin(2 * math.pi * phase)
            if random.random() * (1 + SWING) <= wanted:
                self.at(time, self._arrive, kind, zone, random, end)
                return

    def _arrive(self, kind, zone, random, end):
        self._schedule_arrival(kind, zone, random, self.now, end)
        here = range(zone, self.load.ingresses, self.load.zones)
        ingress = self.ingresses[random.choice(here)]
        sigma = TIME_DEVIATION
        work = kind.time * random.lognormvariate(-sigma * sigma / 2, sigma)
        request = Request(kind, zone, ingress, self.now, work)
        self.requests.append(request)
        self._attempt(request)

    def _attempt(self, request):
        """Send a request to the next owner, or give it up."""
        ingress = request.ingress
        kind = request.kind
        mean = ingress.times.expect(kind.name, objective=kind.objective)
        deviation = ingress.times.log_deviation(kind.name)
        left = request.deadline - self.now
        place = None
        if not is_hopeless(mean, deviation, left) and (
            request.asked < MAX_ASKED - request.found_full
        ):
            place = self._select(request, mean)
        if place is None:
            return
        request.asked += 1
        request.tried.add(self.vms[place].name)
        ingress.estimates[place].sent()
        vm = self.vms[place]
        delay = 0 if place == ingress.own else self._latency(ingress, vm)
        self.at(self.now + delay, self._receive, request, vm, place, delay)

    def _latency(self, ingress, vm):
        return LATENCY[vm.zone == ingress.zone]

    def _select(self, request, mean):
        ingress = request.ingress
        everywhere = range(len(self.vms))
        place = self._choose(request, mean, everywhere)
        if place is None or place == ingress.own:
            return place
        chosen = ingress.estimates[place]
        age = self.now - chosen.load_reported_at
        if chosen.slots - chosen.load > 3 or age <= 0.3 * mean:
            return place
        may_ask = [
            other
            for other in everywhere
            if other != ingress.own
            and self.vms[other].name not in request.tried
        ]
        near = [one for one in may_ask if self.vms[one].zone == ingress.zone]
        far = [one for one in may_ask if self.vms[one].zone != ingress.zone]
        asked = self._probe(ingress, near)
        if self._are_full(ingress, asked):
            asked += self._probe(ingress, far)
            request.found_full = self._are_full(ingress, asked)
        else:
            far = []
        skipped = {*near, *far}.difference(asked)
        kept = [one for one in everywhere if one not in skipped]
        return self._choose(request, mean, kept)

    def _probe(self, ingress, places):
        asked = self.random.sample(places, min(PROBED, len(places)))
        for place in asked:
            estimate = ingress.estimates[place]
            admission = self.vms[place].admission
            estimate.observe_load(admission.load, self.now)
            estimate.pace.record_report(
                admission.pace.report(self.now), self.now
            )
        return asked

    def _are_full(self, ingress, places):
        chosen = [ingress.estimates[place] for place in places]
        return all(one.load >= one.slots for one in chosen)

    def _choose(self, request, mean, places):
        ingress = request.ingress
        own = None
        if ingress.own is not None:
            own = ingress.estimates[ingress.own]
            admission = self.vms[ingress.own].admission
            own.observe_load(admission.load, self.now)
            own.pace.record_report(admission.pace.report(self.now), self.now)
        left = request.deadline - self.now
        owner = choose_owner(
            [ingress.estimates[place] for place in places],
            PlacementRequest(
                mean_time=mean,
                log_deviation=ingress.times.log_deviation(request.kind.name),
                time_to_objective=max(request.objective - self.now, left / 2),
                time_to_deadline=left,
                byte_count=2000,
                priority=request.kind.priority,
            ),
            zone=ingress.zone,
            excluded=request.tried,
            now=self.now,
            random=self.random,
            own=own if ingress.own in places else None,
        )
        return None if owner is None else ingress.places[owner.vm]

    def _receive(self, request, vm, place, delay):
        """Queue a request at its owner."""
        admission = vm.admission
        settled = partial(self._settle, request, vm, place, delay)
        queued = AdmissionRequest(
            route=request.kind.name,
            latency_objective=request.kind.objective,
            priority=request.kind.priority,
            arrived=self.now,
            due=request.objective,
            objective=min(request.objective, request.deadline),
            deadline=request.deadline,
            on_settled=lambda result: settled(queued, result),
        )
        result = admission.acquire(queued, self.now)
        if result is None:
            self.at(queued.latest_start, self._expire, admission)
        else:
            settled(queued, result)

    def _expire(self, admission):
        admission.admit(self.now)
        admission.shed_hopeless(self.now)

    def _settle(self, request, vm, place, delay, queued, result):
        admission = vm.admission
        retry = partial(self._attempt, request)
        if result is AdmissionResult.SHED:
            self._reply(request, vm, place, delay, retry)
        elif admission.is_worth_starting(queued, self.now):
            self._run(request, vm, place, delay, queued)
        else:
            admission.release(queued, self.now, took=None)
            self._reply(request, vm, place, delay, retry)

    def _run(self, request, vm, place, delay, queued):
        slowdown = 1 + 0.3 * vm.admission.running / vm.admission.slots
        time = request.work * vm.factor * slowdown * vm.pace(self.now)
        request.left_zone = vm.zone != request.zone
        pace = vm.admission.pace.factor(self.now)
        end = self.now + time
        ended = (request, vm, place, delay, queued, self.now, pace)
        if end <= request.deadline:
            self.at(end, self._finish, *ended[:-1])
        else:
            self.at(request.deadline, self._abandon, *ended)

    def _finish(self, request, vm, place, delay, queued, started):
        admission = vm.admission
        if vm.reports_pace:
            admission.pace.record(100 * vm.pace(self.now), self.now)
        took = self.now - started
        mean = admission.times.expect(
            request.kind.name, objective=request.kind.objective
        )
        admission.release(queued, self.now, took=took)
        reply = partial(self._record_answer, request, place, took, mean)
        self._reply(request, vm, place, delay, reply)

    def _abandon(self, request, vm, place, delay, queued, started, pace):
        admission = vm.admission
        elapsed = self.now - started
        usual = elapsed / mean_pace(pace, admission.pace.factor(self.now))
        mean = admission.times.expect(
            request.kind.name, objective=request.kind.objective
        )
        took = elapsed if usual >= 2 * mean else None
        admission.release(queued, self.now, took=took)

    def _reply(self, request, vm, place, delay, action):
        load = vm.admission.load
        report = vm.admission.pace.report(self.now)
        self.at(
            self.now + delay, self._hear, request, place, load, report, action
        )

    def _hear(self, request, place, load, report, action):
        estimate = request.ingress.estimates[place]
        estimate.pace.record_report(report, self.now)
        estimate.record_load(load, self.now)
        action()

    def _record_answer(self, request, place, took, mean):
        ingress = request.ingress
        fleet_mean = ingress.times.expect(
            request.kind.name, objective=request.kind.objective
        )
        ingress.estimates[place].record_service_time(mean, fleet_mean)
        ingress.times.add(request.kind.name, took, self.now)
        request.latency = self.now - request.arrived


def run(load, *, scale, reports_pace, seed=1, seconds=12):
    model = Model(load, seed, scale=scale, reports_pace=reports_pace)
    return model.run(seconds)


def share_in_time(requests, name):
    """Return the share of a route's requests that met their objective."""
    latencies = [one.latency for one in requests if one.kind.name == name]
    objective = next(
        one.kind.objective for one in requests if one.kind.name == name
    )
    in_time = sum(
        latency is not None and latency <= objective for latency in latencies
    )
    return in_time / len(latencies)


@pytest.mark.parametrize('scale', [1, 1.4])
def test_a_known_pace_brings_more_answers_within_their_objective(scale):
    """Guards against requests that are placed on VMs slow at the moment."""
    blind = run(CHECK_IN, scale=scale, reports_pace=False)
    aware = run(CHECK_IN, scale=scale, reports_pace=True)
    assert len(blind) == len(aware)
    for kind in CHECK_IN.kinds:
        late = 1 - share_in_time(aware, kind.name)
        assert late < 0.95 * (1 - share_in_time(blind, kind.name))


def test_a_fleet_of_few_slots_at_the_usual_pace_is_not_affected():
    """Guards against a placement that changes though nothing is slow."""
    outcomes = [
        [one.latency for one in run(FEW_SLOTS, scale=1, reports_pace=reported)]
        for reported in (False, True)
    ]
    assert outcomes[0] == outcomes[1]
