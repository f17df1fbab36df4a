"""Each role at the two-year size, worked out from measured slopes."""

from msgspec import Struct

from verbenamill_bench import two_years as size
from verbenamill_bench.calls_bench import LatencyFigures, ThroughputFigures
from verbenamill_bench.convergence import FleetFigures
from verbenamill_bench.measured import Measured
from verbenamill_bench.slopes import fit

_MB = 1024 * 1024
_KB = 1024


class Role(Struct, frozen=True, kw_only=True):
    """One line of the table.

    :param met: whether the targets are met, and what would meet them.
    """

    name: str
    state: str
    messages: str
    cpu: str
    memory: str
    mechanism: str
    met: str


class Control(Struct, frozen=True, kw_only=True):
    """What every daemon spends on control at the two-year size.

    :param cpu: share of a core.
    """

    bytes_idle: float
    bytes_changes: float
    messages: float
    cpu_idle: float
    cpu_changes: float
    memory: float
    state_bytes: float
    member_bytes: float
    log_requests_a_zone: float

    @property
    def bytes_sent(self) -> float:
        """Bytes a second."""
        return self.bytes_idle + self.bytes_changes

    @property
    def cpu(self) -> float:
        """Share of a core."""
        return self.cpu_idle + self.cpu_changes


def estimate_control(measured: Measured) -> Control:
    """Control of one daemon, from the slopes of all reports."""
    fleets = all_fleets(measured)
    states = [one for report in measured.states for one in report.states]
    members = [one for report in measured.states for one in report.members]
    zone_size = size.DAEMONS / size.ZONES
    changes = size.PEAK * size.CHANGES_A_DAY / size.DAY
    restarts = size.PEAK * size.RESTARTS_A_DAY / size.DAY
    state_bytes = fit([(one.services, one.state_bytes) for one in states])
    accept = fit([(one.services, one.accept_ms) for one in states])
    memory = fit([(one.members, one.memory) for one in members])
    learn = fit([(one.members, one.learn_ms) for one in members])
    alive = fit([(one.members, one.alive_ms) for one in members])
    value = fit([(one.members, one.value_bytes) for one in members])
    change_ms = accept.at(size.SERVICES)
    news_ms = learn.at(size.DAEMONS) + alive.at(size.DAEMONS)
    mates = [one.daemons / one.zones for one in fleets]
    idle = [one.idle for one in fleets]
    largest = fleets[-1]
    bare = min(one.idle.rss_max for one in fleets)
    return Control(
        bytes_idle=_extend(mates, [one.bytes_sent for one in idle], zone_size),
        bytes_changes=changes * largest.bytes_per_change
        # A restart is told as four news: gone, back, and its upstream twice.
        + 4 * restarts * value.slope,
        messages=_extend(mates, [one.messages for one in idle], zone_size),
        cpu_idle=min(one.cpu for one in idle),
        cpu_changes=(changes * change_ms + 4 * restarts * news_ms) / 1000,
        memory=bare
        + memory.at(size.DAEMONS)
        # The state as objects takes a few times its encoded size; and two
        # are held while one replaces the other.
        + 8 * state_bytes.at(size.SERVICES),
        state_bytes=state_bytes.at(size.SERVICES),
        member_bytes=value.at(size.DAEMONS),
        log_requests_a_zone=max(
            one.idle.log_requests / one.zones for one in fleets
        ),
    )


def estimate_roles(measured: Measured) -> list[Role]:
    """The lines of the table."""
    control = estimate_control(measured)
    latency = [one for report in measured.calls for one in report.latency]
    most = next(
        (one.throughput for one in measured.calls if one.throughput),
        None,
    )
    return [
        _every_daemon(control),
        _ingress(latency, most),
        _owner(),
        _reader(control),
        _zone_link(control),
        _decider(),
    ]


def all_fleets(measured: Measured) -> list[FleetFigures]:
    """Measured fleets by their size."""
    fleets = [one for report in measured.convergence for one in report.fleets]
    return sorted(fleets, key=_daemons_of)


def _extend(sizes: list[float], values: list[float], wanted: float) -> float:
    """Value on the line at a size, or the highest measured.

    A figure that falls over small fleets would be put below 0 at a large
    one; that it goes on falling is not what was measured.
    """
    line = fit(list(zip(sizes, values, strict=True)))
    return max(line.at(wanted), *values, 0)


def _daemons_of(fleet: FleetFigures) -> int:
    return fleet.daemons


def _every_daemon(control: Control) -> Role:
    return Role(
        name='every daemon (control)',
        state=(
            f'configuration of {size.SERVICES} services '
            f'{control.state_bytes / _KB:.0f} kB, {size.DAEMONS} members '
            f'{control.member_bytes / _MB:.1f} MB, both as they travel'
        ),
        messages=(
            f'{control.messages:.1f} a second, {control.bytes_sent:.0f} B/s '
            f'at {size.PEAK} times the mean rate of changes'
        ),
        cpu=(
            f'{control.cpu:.2%} of a core: idle {control.cpu_idle:.2%}, '
            f'changes {control.cpu_changes:.2%} at {size.PEAK} times their '
            f'mean rate, {control.cpu_changes / size.PEAK:.2%} at the mean'
        ),
        memory=f'{control.memory / _MB:.0f} MB',
        mechanism=(
            'probes of a few neighbours, push along a bounded tree, digests '
            'by bucket; snapshots swapped whole'
        ),
        met='; '.join(
            (
                _target('CPU', control.cpu <= size.CONTROL_CPU),
                _target('memory', control.memory <= size.CONTROL_MEMORY),
                _target('bytes', control.bytes_sent <= size.CONTROL_BYTES),
            ),
        ),
    )


def _ingress(
    latency: list[LatencyFigures],
    most: ThroughputFigures | None,
) -> Role:
    slow = next(
        (one for one in latency if one.rate == size.CALLS_A_DAEMON),
        None,
    )
    return Role(
        name='ingress',
        state='calls in hand, retry budget, at most 64 connections an owner',
        messages=f'{size.CALLS_A_DAEMON:.0f} calls a second',
        cpu=_call_cost(slow),
        memory='bounded: 64 kB of a body a call, 2000 connections',
        mechanism='own zone first, two choices by load, one hop at most',
        met=f'{_latency_target(slow)}; {_most_calls(most)}',
    )


def _call_cost(slow: LatencyFigures | None) -> str:
    if slow is None:
        return 'not measured'
    cost = slow.cpu_per_call
    share = cost * size.CALLS_A_DAEMON / 1000
    return (
        f'{cost:.2f} ms a call of all daemons on its way, control included: '
        f'{share:.1%} of a core'
    )


def _most_calls(most: ThroughputFigures | None) -> str:
    if most is None:
        return 'most calls a second not measured'
    return f'{most.calls_per_second:.0f} calls a second at most'


def _latency_target(slow: LatencyFigures | None) -> str:
    if slow is None:
        return 'added latency not measured'
    met = _target(
        f'{size.ADDED_P99_MS} ms added at p99',
        slow.added_p99 <= size.ADDED_P99_MS,
    )
    return f'{met} ({slow.added_p99:.1f} ms measured)'


def _owner() -> Role:
    return Role(
        name='owner',
        state='queue of one upstream; at most 50,000 ids, 16 MB of answers',
        messages=f'{size.CALLS_A_DAEMON:.0f} calls a second, its share',
        cpu='in the figure of ingress',
        memory='bounded by the limits of its state',
        mechanism='one owner an upstream, so its counts are exact',
        met='does not grow with the fleet',
    )


def _reader(control: Control) -> Role:
    appends = size.PEAK * size.CHANGES_A_DAY / size.DAY
    reads = control.log_requests_a_zone * size.ZONES
    return Role(
        name='log reader',
        state='as every daemon; two in each availability zone',
        messages=(
            f'{control.log_requests_a_zone:.2f} requests a second and zone '
            f'when idle, {reads:.0f} in all at the log; '
            f'{appends:.1f} appends a second'
        ),
        cpu='as every daemon',
        memory='as every daemon',
        mechanism='rendezvous hashing over live members; long poll',
        met=_target(
            f'appends within {size.LOG_APPENDS} a second',
            appends <= size.LOG_APPENDS,
        )
        + '; does not grow with the daemons of a zone',
    )


def _zone_link(control: Control) -> Role:
    others = size.ZONES - 1
    changes = size.PEAK * size.CHANGES_A_DAY / size.DAY
    restarts = size.PEAK * size.RESTARTS_A_DAY / size.DAY
    per_member = control.member_bytes / size.DAEMONS
    sent = others * 4 * restarts * per_member / size.ZONES
    return Role(
        name='link between availability zones',
        state='as every daemon; the two readers of each zone are its gateways',
        messages=(
            f'news of the own members to {others} zones: {sent:.0f} B/s; '
            f'offers of {changes:.1f} changes a second'
        ),
        cpu='not measured apart',
        memory='as every daemon',
        mechanism='gateways tell offsets and digests; the rest is fetched',
        met='convergence across regions not measured: loopback has no delay',
    )


def _decider() -> Role:
    return Role(
        name='decider',
        state='tallies of one move: counts and histograms by version and route',
        messages='2 reports a second of each owner of the service in its zone',
        cpu='see `verbenamill-bench moves`',
        memory='bounded by the owners of the service in its zone',
        mechanism=(
            'rendezvous hashing over the owners of the service in each zone; '
            'states join, vetoes win, the first verdict on the log counts'
        ),
        met='not measured on processes at size',
    )


def _target(name: str, is_met: bool) -> str:
    return f'{name}: {"met" if is_met else "NOT MET"}'
