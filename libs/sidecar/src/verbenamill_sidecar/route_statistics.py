"""What an ingress learns of routes and owners from the answers that pass."""

import trio

from verbenamill_model.typing import RouteName
from verbenamill_policy.placement import OwnerEstimate, PlacementRequest
from verbenamill_policy.retry_detection import RetryDetector
from verbenamill_policy.routes import Route
from verbenamill_policy.service_times import ServiceTimes
from verbenamill_sidecar.call import RETRIED, Call, ExecutionStatus, Outcome

#: After this long, half of a route's mean over all owners is forgotten, in s.
#: It is the measure that owners are compared by and need not follow one of
#: them; a daemon sees few requests of a route.
_FLEET_HALVES = 5.0
#: Weight of the newest answer in the usual size of a route's answers.
_WEIGHT = 0.05


class Learned:
    """Service times, sizes and patience by route, over all owners."""

    def __init__(self) -> None:
        self._times = ServiceTimes(half_life=_FLEET_HALVES)
        self._returning = RetryDetector()
        self._sizes: dict[RouteName, float] = {}

    def usual(self, route: Route) -> float:
        """Mean service time of a route over all owners, in seconds."""
        return self._times.expect(route.name, objective=route.objective)

    def elapsed(self, route: Route, told: int) -> float:
        """How long ago the caller of a request first asked, in seconds.

        :param told: time that it gives, in milliseconds.
        """
        return self._returning.time_since_first_attempt(route.name, told)

    def wish(self, call: Call, now: float) -> PlacementRequest:
        """What a request expects of an owner."""
        route = call.route
        patience = call.deadline - now
        return PlacementRequest(
            mean_time=self.usual(route),
            log_deviation=self._times.log_deviation(route.name),
            time_to_objective=max(call.objective - now, patience / 2),
            time_to_deadline=patience,
            byte_count=len(call.body) + self._sizes.get(route.name, 0),
            priority=route.priority,
        )

    def learn(self, call: Call, owner: OwnerEstimate, outcome: Outcome) -> None:
        """Take in what became of a request at an owner."""
        now = trio.current_time()
        if outcome.load >= 0:
            owner.record_load(outcome.load, now)
        if outcome.knows_limit:
            _learn_limit(call, owner, outcome, now)
        if outcome.took is not None:
            told = outcome.usual or outcome.took
            owner.record_service_time(told, self.usual(call.route))
            self._times.add(call.route.name, outcome.took, now)
        answer = outcome.answer
        if answer is not None:
            self._learn_size(call.route.name, len(answer.body))
        is_at_limit = (
            outcome.execution is ExecutionStatus.NOT_RUN
            and outcome.limit is not None
        )
        if outcome.reached and not is_at_limit:
            failed = answer is None or answer.status in RETRIED
            owner.record_outcome(failed=failed and not outcome.everywhere)

    def _learn_size(self, route: RouteName, size: int) -> None:
        known = self._sizes.get(route, size)
        self._sizes[route] = known + _WEIGHT * (size - known)


def _learn_limit(
    call: Call,
    owner: OwnerEstimate,
    outcome: Outcome,
    now: float,
) -> None:
    if outcome.limit is None:
        owner.clear_limit()
        return
    owner.record_limit_result(
        call.route.priority,
        outcome.pause,
        now,
        taken=outcome.execution is not ExecutionStatus.NOT_RUN,
    )
