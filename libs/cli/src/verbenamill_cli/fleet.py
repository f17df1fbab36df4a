"""Reports of the daemons, upstreams, configuration and moves of a platform."""

from collections.abc import Iterable
from datetime import UTC, datetime

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.output import Report, format_table
from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ConnectionPool
from verbenamill_model.typing import AvailabilityZone, ServiceName
from verbenamill_policy.evacuations import Evacuation
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.organisations import Organisation
from verbenamill_policy.rollouts import Order, SettledOrder
from verbenamill_policy.routes import Configuration
from verbenamill_sidecar.state.desired_state import StateSnapshot
from verbenamill_sidecar.protocol import PublishedRecords, Store, StoreFault
from verbenamill_sidecar.state.snapshot_client import fetch_snapshot

#: Timeouts of one query of a daemon, and of the connection to it, in seconds.
DAEMON_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
#: Daemons that are queried concurrently.
_MAX_CONCURRENT_REQUESTS = 50
_NO_VERDICT = 'no verdict yet'
_HEADINGS = (
    'DAEMON',
    'ZONE',
    'SERVICE',
    'VERSION',
    'UPSTREAM',
    'LIMIT',
    'RUNS',
)


class DaemonInFleet(Struct, frozen=True, kw_only=True):
    """The record of a daemon in the store, and the daemon's own answer.

    :param version: version of the configuration that the daemon runs;
        ``None`` if it did not answer, -1 if it has no configuration yet.
    :param evacuated: zones that it sends no requests to.
    :param organisations: the organisations in its configuration.
    """

    record: MemberRecord
    version: int | None
    evacuated: frozenset[AvailabilityZone] = frozenset()
    organisations: tuple[Organisation, ...] = ()


async def report_fleet_status(store: Store) -> Result[Report, CliError]:
    """Report the state of all daemons, from the store and each daemon."""
    published = await store.read_newest()
    saved = await store.read_saved_state()
    match published, saved:
        case Success(records), Success(state):
            daemons = await query_daemons(state.members)
            return Success(_format_fleet(records, daemons))
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(store_unavailable(fault))
    raise AssertionError('unreachable: neither Success nor Failure')


async def report_moves(store: Store) -> Result[Report, CliError]:
    """Report the newest order of each service and its verdict."""
    published = await store.read_newest()
    verdicts = await store.read_verdicts()
    match published, verdicts:
        case Success(records), Success(reported):
            return Success(_format_moves(records.orders, reported.settled))
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(store_unavailable(fault))
    raise AssertionError('unreachable: neither Success nor Failure')


async def query_daemons(
    records: Iterable[MemberRecord],
) -> list[DaemonInFleet]:
    """Ask daemons for what they run; the result is ordered by VM."""
    daemons: list[DaemonInFleet] = []
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def query(record: MemberRecord) -> None:
        async with limiter:
            snapshot = await _fetch_snapshot(record)
        daemons.append(
            DaemonInFleet(
                record=record,
                version=_version_of(snapshot),
                evacuated=_evacuated_zones_of(snapshot),
                organisations=organisations_of(
                    None if snapshot is None else snapshot.configuration
                ),
            )
        )

    async with trio.open_nursery() as nursery:
        for record in records:
            nursery.start_soon(query, record)
    return sorted(daemons, key=lambda daemon: daemon.record.vm)


async def _fetch_snapshot(record: MemberRecord) -> StateSnapshot | None:
    pool = ConnectionPool(
        parse_address(record.calls),
        limit=1,
        max_idle=DAEMON_TIMEOUT_S,
        connect_timeout=_CONNECT_TIMEOUT_S,
    )
    with trio.move_on_after(DAEMON_TIMEOUT_S):
        return await fetch_snapshot(pool)
    return None


def _version_of(snapshot: StateSnapshot | None) -> int | None:
    if snapshot is None:
        return None
    configuration = snapshot.configuration
    return -1 if configuration is None else configuration.version


def organisations_of(
    configuration: Configuration | None,
) -> tuple[Organisation, ...]:
    """Return the organisations of a configuration; empty if it has none."""
    if configuration is None:
        return ()
    return configuration.organisations or ()


def _evacuated_zones_of(
    snapshot: StateSnapshot | None,
) -> frozenset[AvailabilityZone]:
    if snapshot is None:
        return frozenset()
    return frozenset(one.zone for one in snapshot.evacuations if one.is_active)


def _format_evacuation(
    evacuation: Evacuation, daemons: list[DaemonInFleet]
) -> str:
    in_force = sum(evacuation.zone in daemon.evacuated for daemon in daemons)
    return (
        f'evacuated: zone {evacuation.zone} by record {evacuation.number}, '
        f'in force at {in_force} of {len(daemons)} daemons'
    )


def _format_fleet(
    records: PublishedRecords,
    daemons: list[DaemonInFleet],
) -> Report:
    configuration = records.configuration
    newest = -1 if configuration is None else configuration.version
    lagging = [
        daemon
        for daemon in daemons
        if _describe_state(daemon, newest) != 'in step'
    ]
    published = 'none' if newest < 0 else str(newest)
    return Report(
        data={
            'published': newest,
            'evacuated': sorted(one.zone for one in records.evacuations),
            'daemons': [_to_plain(daemon, newest) for daemon in daemons],
        },
        lines=(
            f'configuration published: {published}',
            *(_format_evacuation(one, daemons) for one in records.evacuations),
            f'daemons: {len(daemons)}, in step: {len(daemons) - len(lagging)}',
            *format_table(
                _HEADINGS,
                [_row(daemon, newest) for daemon in daemons],
            ),
        ),
        code=ExitCode.LAGGING if lagging else ExitCode.OK,
    )


def _describe_state(daemon: DaemonInFleet, newest: int) -> str:
    if daemon.record.leaving:
        return 'leaving'
    if daemon.version is None:
        return 'out of reach'
    if daemon.version < 0:
        return 'no configuration'
    behind = newest > daemon.version
    return f'{daemon.version}, behind' if behind else 'in step'


def _row(daemon: DaemonInFleet, newest: int) -> tuple[object, ...]:
    record = daemon.record
    upstream = record.upstream
    if upstream is None:
        upstream_cells: tuple[object, ...] = ('-', '-', 'none heard of', '-')
    else:
        upstream_cells = (
            upstream.service,
            upstream.version,
            upstream.state.value,
            _format_limit(upstream.limit),
        )
    return (
        record.vm,
        record.availability_zone,
        *upstream_cells,
        _describe_state(daemon, newest),
    )


def _format_limit(limit: RateLimit | None) -> str:
    if limit is None:
        return '-'
    since = datetime.fromtimestamp(limit.since / 1000, UTC)
    return f'{limit.rate:g}/s since {since:%Y-%m-%dT%H:%M:%SZ}'


def _to_plain(daemon: DaemonInFleet, newest: int) -> dict[str, object]:
    return {
        'record': daemon.record,
        'version': daemon.version,
        'state': _describe_state(daemon, newest),
    }


def _format_moves(
    orders: Iterable[Order],
    settled: dict[ServiceName, SettledOrder],
) -> Report:
    verdicts = {
        order.service: _describe_verdict(order, settled) for order in orders
    }
    return Report(
        data=[
            {'order': order, 'verdict': verdicts[order.service]}
            for order in orders
        ],
        lines=format_table(
            ('SERVICE', 'ORDER', 'TO VERSION', 'WINDOW', 'VERDICT'),
            [
                (
                    order.service,
                    order.id,
                    order.target,
                    f'{order.window:g} s',
                    verdicts[order.service],
                )
                for order in orders
            ],
        ),
    )


def _describe_verdict(
    order: Order,
    settled: dict[ServiceName, SettledOrder],
) -> str:
    settled_order = settled.get(order.service)
    if settled_order is None or settled_order.order < order.id:
        return _NO_VERDICT
    return settled_order.verdict.value


def store_unavailable(fault: StoreFault) -> CliError:
    """Error for a store that did not answer or refused the request."""
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the store does not answer: {fault.value}',
        action=(
            'try again; daemons serve on without it, and their logs and '
            'metrics tell what they run'
        ),
    )
