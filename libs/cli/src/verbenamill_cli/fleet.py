"""What runs on a platform: daemons, upstreams, configuration, moves."""

from collections.abc import Iterable
from datetime import UTC, datetime

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.output import Report, table
from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ConnectionPool
from verbenamill_model.typing import ServiceName
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.rollouts import Order, SettledOrder
from verbenamill_sidecar.snapshot_client import fetch_snapshot
from verbenamill_sidecar.desired_state import StateSnapshot
from verbenamill_sidecar.protocol import PublishedRecords, Store, StoreFault

#: Time for one daemon to answer, and for a connection to it, in seconds.
ANSWER_TIMEOUT = 2.0
_CONNECT_TIMEOUT = 1.0
#: Daemons asked at a time.
_AT_ONCE = 50
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


class Seen(Struct, frozen=True, kw_only=True):
    """A daemon as the store has it, and what it says itself.

    :param version: configuration that it runs; ``None`` if it gave no
        answer, -1 if it runs none yet.
    """

    record: MemberRecord
    version: int | None


async def report_fleet_status(store: Store) -> Result[Report, CliError]:
    """Ask the store and every daemon."""
    published = await store.read_newest()
    remembered = await store.read_saved_state()
    match published, remembered:
        case Success(told), Success(kept):
            seen = await _ask_all(kept.members)
            return Success(_report_fleet(told, seen))
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(unavailable(fault))
    raise AssertionError('a result is a success or a failure')


async def report_moves(store: Store) -> Result[Report, CliError]:
    """Ask the store for the newest order of each service, and its verdict."""
    published = await store.read_newest()
    settlements = await store.read_verdicts()
    match published, settlements:
        case Success(told), Success(known):
            return Success(_report_moves(told.orders, known.settled))
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(unavailable(fault))
    raise AssertionError('a result is a success or a failure')


async def _ask_all(records: Iterable[MemberRecord]) -> list[Seen]:
    found: list[Seen] = []
    limit = trio.CapacityLimiter(_AT_ONCE)

    async def ask(record: MemberRecord) -> None:
        async with limit:
            known = await _ask(record)
        found.append(Seen(record=record, version=_version_of(known)))

    async with trio.open_nursery() as nursery:
        for record in records:
            nursery.start_soon(ask, record)
    return sorted(found, key=lambda seen: seen.record.vm)


async def _ask(record: MemberRecord) -> StateSnapshot | None:
    pool = ConnectionPool(
        parse_address(record.calls),
        limit=1,
        max_idle=ANSWER_TIMEOUT,
        connect_timeout=_CONNECT_TIMEOUT,
    )
    with trio.move_on_after(ANSWER_TIMEOUT):
        return await fetch_snapshot(pool)
    return None


def _version_of(known: StateSnapshot | None) -> int | None:
    if known is None:
        return None
    configuration = known.configuration
    return -1 if configuration is None else configuration.version


def _report_fleet(told: PublishedRecords, fleet: list[Seen]) -> Report:
    configuration = told.configuration
    newest = -1 if configuration is None else configuration.version
    late = [seen for seen in fleet if _judge(seen, newest) != 'in step']
    published = 'none' if newest < 0 else str(newest)
    return Report(
        data={
            'published': newest,
            'daemons': [_plain(seen, newest) for seen in fleet],
        },
        lines=(
            f'configuration published: {published}',
            f'daemons: {len(fleet)}, in step: {len(fleet) - len(late)}',
            *table(
                _HEADINGS,
                [_row(seen, newest) for seen in fleet],
            ),
        ),
        code=ExitCode.LAGGING if late else ExitCode.OK,
    )


def _judge(seen: Seen, newest: int) -> str:
    if seen.record.leaving:
        return 'leaving'
    if seen.version is None:
        return 'out of reach'
    if seen.version < 0:
        return 'no configuration'
    behind = newest > seen.version
    return f'{seen.version}, behind' if behind else 'in step'


def _row(seen: Seen, newest: int) -> tuple[object, ...]:
    record = seen.record
    upstream = record.upstream
    if upstream is None:
        about: tuple[object, ...] = ('-', '-', 'none heard of', '-')
    else:
        about = (
            upstream.service,
            upstream.version,
            upstream.state.value,
            _show_limit(upstream.limit),
        )
    return record.vm, record.availability_zone, *about, _judge(seen, newest)


def _show_limit(limit: RateLimit | None) -> str:
    if limit is None:
        return '-'
    since = datetime.fromtimestamp(limit.since / 1000, UTC)
    return f'{limit.rate:g}/s since {since:%Y-%m-%dT%H:%M:%SZ}'


def _plain(seen: Seen, newest: int) -> dict[str, object]:
    return {
        'record': seen.record,
        'version': seen.version,
        'state': _judge(seen, newest),
    }


def _report_moves(
    orders: Iterable[Order],
    settled: dict[ServiceName, SettledOrder],
) -> Report:
    told = {order.service: _verdict_on(order, settled) for order in orders}
    return Report(
        data=[
            {'order': order, 'verdict': told[order.service]} for order in orders
        ],
        lines=table(
            ('SERVICE', 'ORDER', 'TO VERSION', 'WINDOW', 'VERDICT'),
            [
                (
                    order.service,
                    order.id,
                    order.target,
                    f'{order.window:g} s',
                    told[order.service],
                )
                for order in orders
            ],
        ),
    )


def _verdict_on(order: Order, settled: dict[ServiceName, SettledOrder]) -> str:
    found = settled.get(order.service)
    if found is None or found.order < order.id:
        return _NO_VERDICT
    return found.verdict.value


def unavailable(fault: StoreFault) -> CliError:
    """The store gave no answer, or refused."""
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the store does not answer: {fault.value}',
        action=(
            'try again; daemons serve on without it, and their logs and '
            'metrics tell what they run'
        ),
    )
