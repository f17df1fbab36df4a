"""What happens in a run, drawn from a seed before anything starts."""

from collections.abc import Iterator
from enum import Enum, unique
from random import Random

from msgspec import Struct


@unique
class Kind(Enum):
    """A trouble that comes from outside the daemons.

    :cvar STOP: SIGTERM, and a new start after the end.
    :cvar CLOCK: killed and started with a clock that is set back.
    :cvar LATE_PEERS: datagrams and new connections to a daemon are held, while
        open connections still work and its upstream works for long.
    :cvar DRAIN: the upstream drains, leaves and is replaced.
    :cvar UNTOLD: it leaves without saying before that it drains.
    :cvar REPLACE: the upstream dies and another one takes its address.
    :cvar CRASH: the upstream crashes of no request's fault, and starts again.
    :cvar DEADLY: a request that crashes each upstream that runs it comes to
        the VM's daemon.
    :cvar LIMIT: the upstream names a limit in its answers, a smaller one later,
        and then none.
    :cvar LEAVES_IN_BAND: its answers say that it leaves, its heartbeats that
        it is ready; then it ends and is replaced.
    :cvar STORE_LOSES: writes take effect and their answers are lost.
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


#: Troubles that touch the store or the wishes and so no single VM.
GLOBAL = frozenset(
    (
        Kind.STORE_DOWN,
        Kind.STORE_SILENT,
        Kind.STORE_LOSES,
        Kind.STORE_COMPACT,
        Kind.CONFIGURE,
        Kind.ORDER,
    ),
)
#: Changes come often; the rest is drawn evenly.
_WEIGHTS = {Kind.CONFIGURE: 4, Kind.STOP: 2, Kind.DRAIN: 2}
#: Drawn apart, so that the seeds of before draw what they drew.
_APART = frozenset(
    (
        Kind.LATE_PEERS,
        Kind.CRASH,
        Kind.DEADLY,
        Kind.LIMIT,
        Kind.LEAVES_IN_BAND,
    ),
)
#: How long a limit holds, in seconds: until it has to be kept, and some spans
#: in which it is counted. It begins in the first part of a run.
_LIMITED = (8.0, 12.0)
_LIMITED_FROM = 0.25
#: Comings of the deadly request, and pause between two, in seconds. They begin
#: in the first part of a run, so that most come when it has long been known.
_COMINGS = (10, 30)
_COMING_GAP = (0.1, 1.0)
_DEADLY_FROM = 0.3
#: Seconds of a run for each time that a third of the upstreams crash.
_CRASH_EVERY = 6.0
#: How long what is new is held, in seconds: longer than a daemon is trusted
#: without a sign of life, and shorter than a deadline.
_LATE = (0.7, 1.5)
#: Seconds of a run for each time that signs of life are late.
_LATE_EVERY = 5.0
#: Longest trouble, and longest pause within a series, in seconds.
_LONGEST = 3.0
_LONGEST_GAP = 1.0
_MOST_REPEATS = 4
#: Troubles begun in each second of a run, for each VM; series overlap.
_RATE = 0.12


class Trouble(Struct, frozen=True, kw_only=True):
    """One trouble of a run.

    :param at: seconds from the begin of the traffic.
    :param vm: place of the VM that it touches; -1 where it is global.
    :param lasts: seconds until it is lifted, where that fits.
    :param draw: decides what the kind leaves open.
    """

    at: float
    kind: Kind
    vm: int
    lasts: float
    draw: int


def draw_plan(seed: int, *, vms: int, seconds: float) -> list[Trouble]:
    """Draw the troubles of a run, in order of time."""
    random = Random(seed)
    kinds = [kind for kind in Kind if kind not in _APART]
    weights = [_WEIGHTS.get(kind, 1) for kind in kinds]
    found: list[Trouble] = []
    wanted = max(4, int(seconds * vms * _RATE))
    while len(found) < wanted:
        kind = random.choices(kinds, weights)[0]
        at = random.uniform(0, seconds)
        for _ in range(random.choice((1, 1, 1, 2, _MOST_REPEATS))):
            found.append(
                Trouble(
                    at=round(at, 2),
                    kind=kind,
                    vm=-1 if kind in GLOBAL else random.randrange(vms),
                    lasts=round(random.uniform(0.2, _LONGEST), 2),
                    draw=random.randrange(1 << 16),
                ),
            )
            at = min(at + random.uniform(0, _LONGEST_GAP), seconds)
    found.extend(_draw_late(seed, vms, seconds))
    found.extend(_draw_deadly(seed, vms, seconds))
    found.extend(_draw_crashes(seed, vms, seconds))
    found.extend(_draw_in_band(seed, vms, seconds))
    return sorted(found, key=lambda trouble: trouble.at)


def _draw_late(seed: int, vms: int, seconds: float) -> Iterator[Trouble]:
    """Series of late signs of life, each with the stop of several daemons."""
    random = Random(f'late {seed}')
    for _ in range(max(1, int(seconds / _LATE_EVERY))):
        at = random.uniform(0, seconds - _LONGEST_GAP)
        touched = random.sample(range(vms), max(1, vms // 2))
        stopped = random.sample(range(vms), max(1, vms // 3))
        held = (Kind.LATE_PEERS, touched)
        for kind, places in (held, (Kind.STOP, stopped)):
            for vm in places:
                yield Trouble(
                    at=round(at + random.uniform(0, _LONGEST_GAP), 2),
                    kind=kind,
                    vm=vm,
                    lasts=round(random.uniform(*_LATE), 2),
                    draw=random.randrange(1 << 16),
                )


def _draw_deadly(seed: int, vms: int, seconds: float) -> Iterator[Trouble]:
    """Comings of one deadly request, each at any VM."""
    random = Random(f'deadly {seed}')
    at = random.uniform(0, seconds * _DEADLY_FROM)
    for _ in range(random.randint(*_COMINGS)):
        if at > seconds:
            return
        yield Trouble(
            at=round(at, 2),
            kind=Kind.DEADLY,
            vm=random.randrange(vms),
            lasts=0,
            draw=random.randrange(1 << 16),
        )
        at += random.uniform(*_COMING_GAP)


def _draw_crashes(seed: int, vms: int, seconds: float) -> Iterator[Trouble]:
    """Upstreams that crash together, for a cause of their own."""
    random = Random(f'crash {seed}')
    for _ in range(max(1, int(seconds / _CRASH_EVERY))):
        at = random.uniform(0, seconds)
        for vm in random.sample(range(vms), max(1, vms // 3)):
            yield Trouble(
                at=round(at, 2),
                kind=Kind.CRASH,
                vm=vm,
                lasts=0,
                draw=random.randrange(1 << 16),
            )


def _draw_in_band(seed: int, vms: int, seconds: float) -> Iterator[Trouble]:
    """Limits and leaves that upstreams name in their answers.

    The daemon of a limited upstream is stopped or killed meanwhile.
    """
    random = Random(f'in band {seed}')
    places = random.sample(range(vms), max(2, vms // 2))
    leaving = places.pop()
    for vm in places:
        at = random.uniform(0, seconds * _LIMITED_FROM)
        lasts = random.uniform(*_LIMITED)
        yield _at(at, Kind.LIMIT, vm, lasts, random)
        for _ in range(random.randint(0, 2)):
            kind = random.choice((Kind.STOP, Kind.KILL))
            later = min(at + random.uniform(1, lasts), seconds)
            yield _at(later, kind, vm, random.uniform(0.2, 1), random)
    at = random.uniform(0, seconds * (1 - _LIMITED_FROM))
    yield _at(at, Kind.LEAVES_IN_BAND, leaving, 0, random)
    later = min(at + random.uniform(0.1, 2), seconds)
    yield _at(later, Kind.KILL, leaving, random.uniform(0.2, 1), random)


def _at(
    at: float,
    kind: Kind,
    vm: int,
    lasts: float,
    random: Random,
) -> Trouble:
    return Trouble(
        at=round(at, 2),
        kind=kind,
        vm=vm,
        lasts=round(lasts, 2),
        draw=random.randrange(1 << 16),
    )
