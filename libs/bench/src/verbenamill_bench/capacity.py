"""``verbenamill-bench capacity``: the capacity page from the benches' JSON."""

from collections.abc import Iterable, Sequence

from verbenamill_bench import two_years as size
from verbenamill_bench.calls_bench import CallsReport
from verbenamill_bench.estimates import (
    all_fleets,
    estimate_roles,
)
from verbenamill_bench.figures import Latencies, Machine
from verbenamill_bench.measured import Measured

_INTRO = f"""\
# Capacity

Written by `verbenamill-bench capacity` from the benches' JSON; change the
code or measure again, do not edit. Where this is going decides the design:
{size.DAEMONS:,} upstreams with a daemon each, {size.SERVICES:,} services,
{size.REGIONS} regions with {size.ZONES} availability zones,
{size.CALLS_PER_SECOND:,} calls a second ({size.CALLS_A_DAEMON:.0f} a daemon),
{size.CHANGES_A_DAY:,} changes a day in force within 10 s,
{size.RESTARTS_A_DAY:,} VMs restarted, replaced or failed a day. For control a
daemon has {size.CONTROL_CPU:.1%} of a core, 256 MB and 8 kB a second.

Changes and restarts are counted at {size.PEAK} times their mean rate, since
they come in working hours and bursts. Lines are fitted by least squares.

This page is about the former daemon. The daemon on the users' platform has a
page of its own: [capacity there](measurements/platform-capacity.md).

## What stands behind each figure

All runs shared one machine with other work on it; its load average is given
with each. Latencies are therefore worse than on a quiet machine, and
processor times include what the load did to caches. Loopback has no delay:
the 1 to 1.5 ms between availability zones and the delays between regions are
not in any figure here.
"""
_METHOD = """\
## How the figures are worked out

* Control bytes and messages: the line of the idle figures over daemons a
  zone, at a zone of 1,190, or the highest measured where it falls; plus the
  bytes of a change and of four news a restart. The bytes are those of the
  daemons' messages, without TCP's own and without the log's.
* Control processor time: the lowest idle share measured, plus the measured
  times of folding in a change with its digest (at 1,200 services) and of
  taking a member's news (at 25,000 members), at the peak rates.
* Memory: an idle daemon, plus the measured growth for 25,000 members, plus
  eight times the encoded configuration (an assumption, not measured).
* Log requests: the highest rate a zone that was measured, for 21 zones.
"""
_WHAT_NEXT = """
What is likely to help, to be measured before it is built: a table of members
that is changed in place of being built anew; for calls, fewer tasks and
copies on the way, and a relay in compiled code.
"""
_FAILURES = """\
## With failures

* 42 VMs fail and 1,600 are replaced a day: the news of them is in the table
  above, at ten times the mean rate.
* A rack or an availability zone (1,190 daemons) that dies or returns at
  once: each survivor takes that many news. Digests carry them together, and
  state transfers are limited on each peer; see the returned third above.
* Regions that lose each other for an hour: each side goes on with what the
  log gives it; one without the log keeps what it has. Measured only with
  availability zones on loopback (`verbenamill-bench faults`).
"""


def render_capacity(measured: Measured) -> str:
    """The whole page."""
    parts = (
        _INTRO,
        _runs(measured),
        '## Roles at the two-year size\n',
        _roles(measured),
        _gaps(measured),
        _METHOD,
        _FAILURES,
        '## Raw figures\n',
        _convergence(measured),
        _states(measured),
        *(_calls(report) for report in measured.calls),
        _faults(measured),
    )
    return '\n'.join(parts)


def _runs(measured: Measured) -> str:
    machines = [
        *(report.machine for report in measured.convergence),
        *(report.machine for report in measured.states),
        *(report.machine for report in measured.calls),
        *(report.machine for report in measured.faults),
    ]
    return _table(
        ('command', 'at', 'cores', 'load average'),
        map(_machine_row, machines),
    )


def _machine_row(machine: Machine) -> Sequence[object]:
    return (
        f'`{machine.command}`',
        f'{machine.at:%Y-%m-%d %H:%M} UTC',
        machine.cores,
        f'{machine.load:.1f}',
    )


def _roles(measured: Measured) -> str:
    return _table(
        (
            'role',
            'state',
            'messages',
            'CPU',
            'memory',
            'carried by',
            'targets',
        ),
        (
            (
                role.name,
                role.state,
                role.messages,
                role.cpu,
                role.memory,
                role.mechanism,
                role.met,
            )
            for role in estimate_roles(measured)
        ),
    )


def _gaps(measured: Measured) -> str:
    unmet = [role for role in estimate_roles(measured) if 'NOT MET' in role.met]
    lines = ['## Targets that are not met yet\n']
    lines += [f'* {role.name}: {role.met}' for role in unmet]
    if not unmet:
        lines.append('None of those that were measured.')
    lines.append(_WHAT_NEXT)
    return '\n'.join(lines)


def _convergence(measured: Measured) -> str:
    table = _table(
        (
            'daemons',
            'zones',
            'ms p50 / p99 / max',
            'ms, log down after the first reader',
            'ms, a third returns (process start included)',
            'ms, each reads the log',
            'idle B/s',
            'idle messages/s',
            'idle CPU',
            'MB',
            'bytes a change (record)',
            'log requests/s idle (each reads)',
        ),
        (
            (
                one.daemons,
                one.zones,
                _spread(one.steady.proxies),
                _spread(one.outage.proxies),
                _spread(one.returned),
                _spread(one.baseline.proxies),
                one.idle.bytes_sent,
                one.idle.messages,
                f'{one.idle.cpu:.2%}',
                round(one.idle.rss_max / 1024 / 1024),
                f'{one.bytes_per_change:.0f} ({one.change_bytes})',
                f'{one.idle.log_requests} ({one.baseline_log_requests})',
            )
            for one in all_fleets(measured)
        ),
    )
    return f'### Convergence and control\n\n{table}'


def _states(measured: Measured) -> str:
    services = _table(
        ('services', 'bytes', 'ms a change'),
        (
            (one.services, one.state_bytes, one.accept_ms)
            for report in measured.states
            for one in report.states
        ),
    )
    members = _table(
        ('members', 'bytes', 'memory', 'ms a news', 'ms a table'),
        (
            (
                one.members,
                one.value_bytes,
                one.memory,
                one.learn_ms,
                one.alive_ms,
            )
            for report in measured.states
            for one in report.members
        ),
    )
    return f'### State\n\n{services}\n{members}'


def _calls(report: CallsReport) -> str:
    latency = _table(
        (
            'calls/s a daemon',
            'direct p50 / p99',
            'local p50 / p99',
            'hop p50 / p99',
            'added p50 / p99 / p99.9',
            'CPU ms a call',
            'endings',
        ),
        (
            (
                one.rate,
                f'{one.direct.p50} / {one.direct.p99}',
                f'{one.local.p50} / {one.local.p99}',
                f'{one.hop.p50} / {one.hop.p99}',
                f'{one.added_p50} / {one.added_p99} / {one.added_p999}',
                one.cpu_per_call,
                _endings(one.endings),
            )
            for one in report.latency
        ),
    )
    experiments = _table(
        (
            'experiment',
            'endings',
            'p50 / p99 / max',
            'cut',
            'broken promises',
            'answers/s',
        ),
        (
            (
                one.name,
                _endings(one.endings),
                f'{one.latency.p50} / {one.latency.p99} / {one.latency.max}',
                one.cut,
                one.broken.total,
                f'{one.goodput:.1f}',
            )
            for one in report.experiments
        ),
    )
    sections = [
        table
        for table, rows in (
            (latency, report.latency),
            (experiments, report.experiments),
        )
        if rows
    ]
    return '\n'.join(('### Calls (ms)\n', *sections, _most(report)))


def _most(report: CallsReport) -> str:
    most = report.throughput
    if most is None:
        return ''
    return (
        f'One daemon, closed loop: {most.calls_per_second} calls a second, '
        f'{most.cpu_per_call} ms of its processor a call, '
        f'p99 {most.latency.p99} ms.\n'
    )


def _faults(measured: Measured) -> str:
    table = _table(
        ('seed', 'faults', 'endings', 'in force after', 'verdict', 'broken'),
        (
            (
                run.seed,
                ', '.join(run.faults),
                _endings(run.endings),
                f'{run.mended} s',
                run.verdict.split(':', 1)[0],
                len(run.broken),
            )
            for report in measured.faults
            for run in report.runs
        ),
    )
    runs = [run for report in measured.faults for run in report.runs]
    what = [
        f'* seed {run.seed}: {broken.splitlines()[0]}'
        for run in runs
        for broken in run.broken
    ]
    return '\n'.join(('### Faults, two at a time\n', table, *what, ''))


def _spread(latencies: Latencies) -> str:
    return f'{latencies.p50:.0f} / {latencies.p99:.0f} / {latencies.max:.0f}'


def _endings(endings: dict[str, int]) -> str:
    return ', '.join(f'{name} {count}' for name, count in endings.items())


def _table(
    head: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> str:
    rule = ['---' for _ in head]
    lines = [_row(head), _row(rule), *map(_row, rows), '']
    return '\n'.join(lines)


def _row(cells: Sequence[object]) -> str:
    return f'| {" | ".join(map(str, cells))} |'
