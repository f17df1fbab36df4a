"""Statistics of routes and owners from the responses that pass an ingress."""

import trio

from verbenamill_model.typing import RouteName
from verbenamill_policy.placement import OwnerEstimate, PlacementRequest
from verbenamill_policy.retry_detection import RetryDetector
from verbenamill_policy.routes import Route
from verbenamill_policy.service_times import (
    ServiceTimes,
    is_hopeless,
    probability_within,
)
from verbenamill_sidecar.routing.call import (
    RETRIABLE_STATUSES,
    Call,
    ExecutionStatus,
    Outcome,
)

#: Half-life of a route's mean service time over all owners, in seconds. Owners
#: are compared with this mean, so it need not follow a single one of them, and
#: one daemon sees few requests of a route.
_HALF_LIFE = 5.0
#: Weight of the newest response in the mean response size of a route.
_SIZE_WEIGHT = 0.05


class RouteStatistics:
    """Service times, response sizes and caller timeouts by route."""

    def __init__(self) -> None:
        self._times = ServiceTimes(half_life=_HALF_LIFE)
        self._retry_detector = RetryDetector()
        self._sizes: dict[RouteName, float] = {}

    def mean_service_time(self, route: Route) -> float:
        """Return the mean service time of a route over all owners, in s."""
        return self._times.expect(route.name, objective=route.objective)

    def elapsed(self, route: Route, deadline_ms: int) -> float:
        """Return how long ago a caller first sent a request, in seconds.

        :param deadline_ms: time that the caller allows now, in milliseconds.
        """
        return self._retry_detector.time_since_first_attempt(
            route.name, deadline_ms
        )

    def is_hopeless(self, call: Call, now: float) -> bool:
        """Whether a request is too unlikely to be answered by its deadline."""
        route = call.route
        return is_hopeless(
            self.mean_service_time(route),
            self._times.log_deviation(route.name),
            call.deadline - now,
        )

    def chance_within(self, route: Route, seconds: float) -> float:
        """Return the probability that a request of a route ends in a time."""
        return probability_within(
            self.mean_service_time(route),
            self._times.log_deviation(route.name),
            seconds,
        )

    def placement_request(self, call: Call, now: float) -> PlacementRequest:
        """Return the requirements of a request for the choice of an owner."""
        route = call.route
        time_left = call.deadline - now
        return PlacementRequest(
            mean_time=self.mean_service_time(route),
            log_deviation=self._times.log_deviation(route.name),
            time_to_objective=max(call.objective - now, time_left / 2),
            time_to_deadline=time_left,
            byte_count=len(call.body) + self._sizes.get(route.name, 0),
            priority=call.priority,
        )

    def record(
        self, call: Call, owner: OwnerEstimate, outcome: Outcome
    ) -> None:
        """Update the statistics with the outcome of a request at an owner."""
        now = trio.current_time()
        owner.pace.record_report(outcome.pace, now)
        if outcome.load >= 0:
            owner.record_load(outcome.load, now)
        if outcome.knows_limit:
            _record_limit(call, owner, outcome, now)
        if outcome.service_time is not None:
            mean = outcome.mean_service_time or outcome.service_time
            owner.record_service_time(mean, self.mean_service_time(call.route))
            self._times.add(call.route.name, outcome.service_time, now)
        answer = outcome.answer
        if answer is not None:
            self._record_size(call.route.name, len(answer.body))
        is_at_limit = (
            outcome.execution is ExecutionStatus.NOT_RUN
            and outcome.limit is not None
        )
        if outcome.reached and not is_at_limit:
            failed = answer is None or answer.status in RETRIABLE_STATUSES
            owner.record_outcome(failed=failed and not outcome.everywhere)

    def _record_size(self, route: RouteName, size: int) -> None:
        mean = self._sizes.get(route, size)
        self._sizes[route] = mean + _SIZE_WEIGHT * (size - mean)


def _record_limit(
    call: Call,
    owner: OwnerEstimate,
    outcome: Outcome,
    now: float,
) -> None:
    if outcome.limit is None:
        owner.clear_limit()
        return
    owner.record_limit_result(
        call.priority,
        outcome.pause,
        now,
        taken=outcome.execution is not ExecutionStatus.NOT_RUN,
    )
