"""How the calls of a simulated move end, and what an oracle makes of them."""

from datetime import timedelta
from math import exp, log
from random import Random

from msgspec import Struct

from verbenamill_bench.moves_scenario import (
    ROUTE_WEIGHTS,
    ROUTES,
    SLOW,
    Kind,
    Scenario,
)
from verbenamill_model.traffic import Observation, Outcome
from verbenamill_model.typing import RouteName, ServiceName, VersionName

OLD = VersionName('v1')
NEW = VersionName('v2')
SERVICE = ServiceName('entries')

#: Evidence (logarithm) at which the oracle knows. It knows what the fault is
#: like, but not where it shows: one in 2,000 by chance over 20 places.
ORACLE_KNOWS = log(2000 * 20)
_SHARED_FAILURES = 0.5
_SHARED_SLOWNESS = 5.0
_COLD_CALLS = 8
_COLD_FACTOR = 8.0
_SHED = 0.3
_SHED_UNTIL = 0.3
_LITTLE = 1.1
#: A failing-and-recovering version is well for twice the time it fails.
_CYCLE = 3
#: Lowest rate of failures that the old version can be trusted to have.
_LOWEST = 0.005
_TINY = 0.001


class Call(Struct, frozen=True, kw_only=True):
    """One call and where it goes.

    :param warm: calls that its upstream has answered before.
    :param share: share of the new version in the call's zone.
    """

    at: float
    version: VersionName
    zone: int
    route: RouteName
    share: float
    warm: int
    crashing: bool


class Answer(Struct, frozen=True, kw_only=True):
    """How a call ended.

    :param harmed: it would have gone well with a good version.
    :param evidence: what the oracle learns from it; above 0 against.
    """

    observation: Observation
    latency: float
    harmed: bool
    touched: bool
    evidence: float


class Upstreams:
    """Answers of all upstreams of a scenario."""

    def __init__(self, scenario: Scenario, random: Random) -> None:
        self._scenario = scenario
        self._random = random

    def pick_route(self) -> RouteName:
        """Route of the next call."""
        return self._random.choices(ROUTES, ROUTE_WEIGHTS)[0]

    def answer(self, call: Call) -> Answer:
        """Let an upstream answer a call."""
        scenario = self._scenario
        bad = call.version == NEW and self._is_bad(call)
        usual = self._failures(call)
        wanted = usual
        factor = self._slowness(call)
        if bad and scenario.kind in SLOW:
            factor *= scenario.severity
        elif bad:
            wanted = max(usual, scenario.severity)
        failed = self._random.random() < wanted
        deviation = self._random.gauss(0, scenario.spread)
        latency = scenario.latency * factor * exp(deviation)
        outcome = Outcome.FAILED if failed else Outcome.OK
        if self._sheds(call):
            outcome = Outcome.SHED
        evidence = float(0)
        # Cold starts must not count, so no slow call of a cold upstream does.
        cold = scenario.kind in SLOW and call.warm < _COLD_CALLS
        if bad and outcome is not Outcome.SHED and not cold:
            evidence = self._learn(usual, wanted, deviation, failed=failed)
        return Answer(
            observation=Observation(
                service=SERVICE,
                version=call.version,
                route=call.route,
                outcome=outcome,
                latency=timedelta(seconds=latency),
            ),
            latency=latency,
            harmed=bad and (failed or scenario.kind in SLOW),
            touched=bad,
            evidence=evidence,
        )

    def _failures(self, call: Call) -> float:
        if call.crashing:
            return 1
        shared = self._scenario.kind is Kind.SHARED_FAILURES
        if shared and self._passes(call.at):
            return _SHARED_FAILURES
        return self._scenario.failures

    def _slowness(self, call: Call) -> float:
        scenario = self._scenario
        kind = scenario.kind
        if kind is Kind.SHARED_SLOWNESS and self._passes(call.at):
            return _SHARED_SLOWNESS
        if call.version == NEW and kind is Kind.LITTLE_SLOWER:
            return _LITTLE
        cold = kind is Kind.COLD_START and call.warm < scenario.cold
        return _COLD_FACTOR if cold and call.version == NEW else 1

    def _sheds(self, call: Call) -> bool:
        scenario = self._scenario
        return (
            scenario.kind is Kind.SHEDS_AT_FIRST
            and call.version == NEW
            and call.at < scenario.window * _SHED_UNTIL
            and self._random.random() < _SHED
        )

    def _passes(self, at: float) -> bool:
        return 0 <= at - self._scenario.begins < self._scenario.lasts

    def _is_bad(self, call: Call) -> bool:
        scenario = self._scenario
        tests = {
            Kind.FAILS: True,
            Kind.SLOW: True,
            Kind.FAILS_LATER: call.at >= scenario.begins,
            Kind.SLOW_LATER: call.at >= scenario.begins,
            Kind.FAILS_UNDER_LOAD: call.share >= scenario.load,
            Kind.FAILS_ON_ROUTE: call.route == scenario.route,
            Kind.FAILS_IN_ZONE: call.zone == 0,
            Kind.FAILS_AND_RECOVERS: ((call.at / scenario.lasts) % _CYCLE < 1),
        }
        return tests.get(scenario.kind, False)

    def _learn(
        self,
        usual: float,
        wanted: float,
        deviation: float,
        *,
        failed: bool,
    ) -> float:
        """Logarithm of the likelihood ratio, all rates being known."""
        if self._scenario.kind in SLOW:
            shift = log(self._scenario.severity) / self._scenario.spread
            usual_deviation = deviation / self._scenario.spread + shift
            return shift * usual_deviation - shift * shift / 2
        usual = max(usual, _LOWEST)
        if failed:
            return log(wanted / usual)
        return log(max(1 - wanted, _TINY) / (1 - usual))
