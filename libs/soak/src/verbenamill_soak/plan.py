"""Generates the faults of a run from its seed, before the run starts."""

from collections.abc import Iterator
from enum import Enum, unique
from random import Random

from msgspec import Struct


@unique
class FaultKind(Enum):
    """A fault that is injected from outside the daemons.

    :cvar STOP: the daemon gets SIGTERM and is restarted after its exit.
    :cvar CLOCK: the daemon is killed and restarted with its clock set back.
    :cvar LATE_PEERS: datagrams and new connections to a daemon are held, while
        open connections still work and its upstream takes long per request.
    :cvar DRAIN: the upstream drains, leaves and is replaced.
    :cvar UNTOLD: the upstream leaves without announcing that it drains.
    :cvar REPLACE: the upstream ends abruptly and another takes its address.
    :cvar CRASH: the upstream crashes and restarts, independently of requests.
    :cvar DEADLY: the daemon receives a request that crashes every upstream
        that executes it.
    :cvar LIMIT: the upstream announces a limit in its responses, later a lower
        one, and then none.
    :cvar LEAVES_IN_BAND: the responses of the upstream announce that it leaves
        while its heartbeats say that it is ready; then it is replaced.
    :cvar STORE_LOSES: writes to the store take effect but their responses are
        lost.
    """

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RELOAD = 'reload'
    CLOCK = 'clock'
    CUT_STORE = 'cut-store'
    CUT_PEERS = 'cut-peers'
    CUT_ONE_WAY = 'cut-one-way'
    SLOW_PEERS = 'slow-peers'
    LATE_PEERS = 'late-peers'
    RESET_PEERS = 'reset-peers'
    RESET_UPSTREAM = 'reset-upstream'
    SILENT_UPSTREAM = 'silent-upstream'
    DRAIN = 'drain'
    UNTOLD = 'untold'
    REPLACE = 'replace'
    CRASH = 'crash'
    DEADLY = 'deadly'
    LIMIT = 'limit'
    LEAVES_IN_BAND = 'leaves-in-band'
    STORE_DOWN = 'store-down'
    STORE_SILENT = 'store-silent'
    STORE_LOSES = 'store-loses'
    STORE_COMPACT = 'store-compact'
    CONFIGURE = 'configure'
    ORDER = 'order'


#: Faults of the store and changes by operators, which affect no single VM.
GLOBAL_KINDS = frozenset(
    (
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_LOSES,
        FaultKind.STORE_COMPACT,
        FaultKind.CONFIGURE,
        FaultKind.ORDER,
    ),
)
#: Relative frequency of kinds, 1 for all others; configuration changes come
#: most often.
_WEIGHTS = {FaultKind.CONFIGURE: 4, FaultKind.STOP: 2, FaultKind.DRAIN: 2}
#: Times that a site may allow for a planned stop, in seconds.
_GRACES_S = (3, 4, 6, 10)
#: Kinds with their own random generators, so that older seeds still generate
#: the same faults of the other kinds.
_SEPARATELY_GENERATED = frozenset(
    (
        FaultKind.LATE_PEERS,
        FaultKind.CRASH,
        FaultKind.DEADLY,
        FaultKind.LIMIT,
        FaultKind.LEAVES_IN_BAND,
    ),
)
#: Duration of a limit: the time until it is enforced plus several windows in
#: which requests are counted.
_LIMIT_DURATION_S = (8.0, 12.0)
#: Limits start in this first part of a run.
_IN_BAND_START_SHARE = 0.25
#: A key is revoked in this first part of a run.
_REVOCATION_SHARE = 0.5
#: Number of deadly requests, and the pause between two of them.
_DEADLY_REQUEST_COUNT = (10, 30)
_DEADLY_REQUEST_GAP_S = (0.1, 1.0)
#: Deadly requests start in this first part of a run, so that most of them come
#: long after the daemons have identified the request.
_DEADLY_START_SHARE = 0.3
#: Mean time between simultaneous crashes of a third of the upstreams.
_CRASH_INTERVAL_S = 6.0
#: Duration of a hold: longer than the time after which a silent daemon is
#: suspected, and shorter than a deadline.
_HOLD_DURATION_S = (0.7, 1.5)
#: Mean time between groups of holds.
_HOLD_INTERVAL_S = 5.0
#: Longest duration of a fault, and longest pause within a series.
_MAX_DURATION_S = 3.0
_MAX_SERIES_GAP_S = 1.0
_MAX_SERIES_LENGTH = 4
#: Number of faults per VM and second of a run; series may overlap.
_FAULTS_PER_VM_SECOND = 0.12


class Fault(Struct, frozen=True, kw_only=True):
    """One fault of a run.

    :param at: seconds since the start of the traffic.
    :param vm: index of the affected VM; -1 for a global fault.
    :param duration: seconds until the fault is lifted, if its kind has an end.
    :param random_value: selects among the variants of the kind.
    """

    at: float
    kind: FaultKind
    vm: int
    duration: float
    random_value: int


def draw_grace(seed: int) -> int:
    """Draw the time that daemons have for a planned stop, in seconds."""
    return Random(f'grace {seed}').choice(_GRACES_S)


def generate_plan(seed: int, *, vms: int, seconds: float) -> list[Fault]:
    """Generate the faults of a run, ordered by time."""
    random = Random(seed)
    kinds = [kind for kind in FaultKind if kind not in _SEPARATELY_GENERATED]
    weights = [_WEIGHTS.get(kind, 1) for kind in kinds]
    plan: list[Fault] = []
    fault_count = max(4, int(seconds * vms * _FAULTS_PER_VM_SECOND))
    while len(plan) < fault_count:
        kind = random.choices(kinds, weights)[0]
        at = random.uniform(0, seconds)
        for _ in range(random.choice((1, 1, 1, 2, _MAX_SERIES_LENGTH))):
            plan.append(
                Fault(
                    at=round(at, 2),
                    kind=kind,
                    vm=-1 if kind in GLOBAL_KINDS else random.randrange(vms),
                    duration=round(random.uniform(0.2, _MAX_DURATION_S), 2),
                    random_value=random.randrange(1 << 16),
                ),
            )
            at = min(at + random.uniform(0, _MAX_SERIES_GAP_S), seconds)
    plan.extend(_generate_holds(seed, vms, seconds))
    plan.extend(_generate_deadly_requests(seed, vms, seconds))
    plan.extend(_generate_crashes(seed, vms, seconds))
    plan.extend(_generate_in_band_signals(seed, vms, seconds))
    plan.append(_generate_revocation(seed, seconds))
    return sorted(plan, key=lambda fault: fault.at)


def _generate_holds(seed: int, vms: int, seconds: float) -> Iterator[Fault]:
    """Generate groups of held peer links, with several daemon stops in each."""
    random = Random(f'late {seed}')
    for _ in range(max(1, int(seconds / _HOLD_INTERVAL_S))):
        at = random.uniform(0, seconds - _MAX_SERIES_GAP_S)
        held_vms = random.sample(range(vms), max(1, vms // 2))
        stopped_vms = random.sample(range(vms), max(1, vms // 3))
        hold = (FaultKind.LATE_PEERS, held_vms)
        for kind, vm_indexes in (hold, (FaultKind.STOP, stopped_vms)):
            for vm in vm_indexes:
                yield Fault(
                    at=round(at + random.uniform(0, _MAX_SERIES_GAP_S), 2),
                    kind=kind,
                    vm=vm,
                    duration=round(random.uniform(*_HOLD_DURATION_S), 2),
                    random_value=random.randrange(1 << 16),
                )


def _generate_deadly_requests(
    seed: int, vms: int, seconds: float
) -> Iterator[Fault]:
    """Generate repeated sending of one deadly request to random VMs."""
    random = Random(f'deadly {seed}')
    at = random.uniform(0, seconds * _DEADLY_START_SHARE)
    for _ in range(random.randint(*_DEADLY_REQUEST_COUNT)):
        if at > seconds:
            return
        yield Fault(
            at=round(at, 2),
            kind=FaultKind.DEADLY,
            vm=random.randrange(vms),
            duration=0,
            random_value=random.randrange(1 << 16),
        )
        at += random.uniform(*_DEADLY_REQUEST_GAP_S)


def _generate_crashes(seed: int, vms: int, seconds: float) -> Iterator[Fault]:
    """Generate simultaneous upstream crashes that no request causes."""
    random = Random(f'crash {seed}')
    for _ in range(max(1, int(seconds / _CRASH_INTERVAL_S))):
        at = random.uniform(0, seconds)
        for vm in random.sample(range(vms), max(1, vms // 3)):
            yield Fault(
                at=round(at, 2),
                kind=FaultKind.CRASH,
                vm=vm,
                duration=0,
                random_value=random.randrange(1 << 16),
            )


def _generate_in_band_signals(
    seed: int, vms: int, seconds: float
) -> Iterator[Fault]:
    """Generate limits and leaves that upstreams announce in responses.

    The daemon of a limited upstream is stopped or killed during the limit.
    """
    random = Random(f'in band {seed}')
    vm_indexes = random.sample(range(vms), max(2, vms // 2))
    leaving_vm = vm_indexes.pop()
    for vm in vm_indexes:
        at = random.uniform(0, seconds * _IN_BAND_START_SHARE)
        duration = random.uniform(*_LIMIT_DURATION_S)
        yield _make_fault(at, FaultKind.LIMIT, vm, duration, random)
        for _ in range(random.randint(0, 2)):
            kind = random.choice((FaultKind.STOP, FaultKind.KILL))
            later = min(at + random.uniform(1, duration), seconds)
            yield _make_fault(later, kind, vm, random.uniform(0.2, 1), random)
    at = random.uniform(0, seconds * (1 - _IN_BAND_START_SHARE))
    yield _make_fault(at, FaultKind.LEAVES_IN_BAND, leaving_vm, 0, random)
    later = min(at + random.uniform(0.1, 2), seconds)
    yield _make_fault(
        later, FaultKind.KILL, leaving_vm, random.uniform(0.2, 1), random
    )


def _generate_revocation(seed: int, seconds: float) -> Fault:
    """Generate a change of the configuration early in the run.

    Each change revokes a key, and most runs would have none in time otherwise.
    """
    random = Random(f'revocation {seed}')
    at = random.uniform(0, seconds * _REVOCATION_SHARE)
    return _make_fault(at, FaultKind.CONFIGURE, -1, 0, random)


def _make_fault(
    at: float,
    kind: FaultKind,
    vm: int,
    duration: float,
    random: Random,
) -> Fault:
    return Fault(
        at=round(at, 2),
        kind=kind,
        vm=vm,
        duration=round(duration, 2),
        random_value=random.randrange(1 << 16),
    )
