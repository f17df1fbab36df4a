"""Random kinds of version, call rates, faults and deadlines for moves."""

from enum import Enum, unique
from math import exp, log
from random import Random

from msgspec import Struct

from verbenamill_model.typing import RouteName

ROUTES = tuple(map(RouteName, ('lookup', 'list', 'update', 'photo')))
ROUTE_WEIGHTS = (0.4, 0.3, 0.2, 0.1)

_RATES = (1, 2000)
_WINDOWS = (15, 300)
#: Calls of one run; fast services get a shorter window.
_MAX_CALLS = 20000


@unique
class Kind(str, Enum):
    """What the new version is like."""

    SAME = 'same'
    LITTLE_SLOWER = 'little-slower'
    COLD_START = 'cold-start'
    SHARED_FAILURES = 'shared-failures'
    SHARED_SLOWNESS = 'shared-slowness'
    LATE_UPSTREAMS = 'late-upstreams'
    ONE_CRASHES = 'one-crashes'
    SHEDS_AT_FIRST = 'sheds-at-first'
    FAILS = 'fails'
    FAILS_LATER = 'fails-later'
    FAILS_UNDER_LOAD = 'fails-under-load'
    FAILS_ON_ROUTE = 'fails-on-route'
    FAILS_IN_ZONE = 'fails-in-zone'
    FAILS_AND_RECOVERS = 'fails-and-recovers'
    SLOW = 'slow'
    SLOW_LATER = 'slow-later'
    MISSING = 'missing'


_KINDS = tuple(Kind)
#: Versions that an operator wants to see done.
GOOD = frozenset(_KINDS[: _KINDS.index(Kind.FAILS)])
#: Bad from their first call on, for all calls.
BAD_AT_ONCE = frozenset((Kind.FAILS, Kind.SLOW))
SLOW = frozenset((Kind.SLOW, Kind.SLOW_LATER))


@unique
class Disturbance(str, Enum):
    """What else goes wrong during the move."""

    NONE = 'none'
    DECIDER_DIES = 'decider-dies'
    DECIDER_PAUSES = 'decider-pauses'
    HERD_DIES = 'herd-dies'
    ZONE_CUT_OFF = 'zone-cut-off'
    LOG_OUTAGE = 'log-outage'


class Scenario(Struct, frozen=True, kw_only=True):
    """One move; times are in seconds after acceptance, rates per second.

    :param severity: failing share of the calls, or the factor of slowness.
    :param begins: when a later fault begins.
    :param lasts: how long a passing fault lasts.
    :param load: share from which a version fails under load.
    :param spread: sigma of the lognormal latency.
    :param cold: slow calls of each upstream after a cold start.
    """

    seed: int
    index: int
    kind: Kind
    disturbance: Disturbance
    disturbed_at: float
    disturbed_for: float
    rate: float
    window: float
    zones: int
    old_per_zone: int
    new_per_zone: int
    failures: float
    latency: float
    spread: float
    cold: int
    severity: float
    begins: float
    lasts: float
    load: float
    route: RouteName


def draw(seed: int, index: int) -> Scenario:
    """Draw the scenario of a seed and number."""
    random = Random(f'{seed}/{index}')
    kind = random.choice(_KINDS)
    rate = _log_uniform(random, *_RATES)
    window = _log_uniform(random, *_WINDOWS)
    window = max(_WINDOWS[0], min(window, _MAX_CALLS / rate))
    disturbance = Disturbance.NONE
    if random.randrange(2):
        disturbance = random.choice(tuple(Disturbance))
    severity = _log_uniform(random, 0.1, 1)
    if kind in SLOW:
        severity = _log_uniform(random, 2, 10)
    disturbed_at = window * random.random()
    disturbed_for = random.uniform(3, 15)
    if disturbance is Disturbance.LOG_OUTAGE:
        disturbed_at = window * 0.8
        disturbed_for = window * 0.2 + random.uniform(5, 30)
    return Scenario(
        seed=seed,
        index=index,
        kind=kind,
        disturbance=disturbance,
        disturbed_at=disturbed_at,
        disturbed_for=disturbed_for,
        rate=rate,
        window=window,
        zones=random.randint(2, 4),
        old_per_zone=random.randint(1, 3),
        new_per_zone=random.randint(1, 3),
        failures=random.choice((0, 0.0005, 0.005, 0.02)),
        latency=_log_uniform(random, 0.005, 0.2),
        spread=random.uniform(0.2, 0.8),
        severity=severity,
        cold=random.randint(1, 8),
        begins=window * random.uniform(0.1, 0.85),
        lasts=random.uniform(3, 10),
        load=random.uniform(0.2, 0.7),
        route=random.choice(ROUTES),
    )


def _log_uniform(random: Random, low: float, high: float) -> float:
    return exp(random.uniform(log(low), log(high)))
