"""Report of the organisations, and of the daemons that know their keys."""

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.fleet import (
    DaemonInFleet,
    organisations_of,
    query_daemons,
    store_unavailable,
)
from verbenamill_cli.output import Report, format_table
from verbenamill_model.typing import OrganisationName
from verbenamill_policy.organisations import Organisation, Quota
from verbenamill_sidecar.protocol import PublishedRecords, Store

_HEADINGS = ('ORGANISATION', 'PRIORITY', 'QUOTA', 'KEYS', 'IN FORCE')


class _Row(Struct, frozen=True, kw_only=True):
    """An organisation as published, and at how many daemons it is in force.

    :param keys: number of its keys.
    :param is_published: whether the newest configuration still has it.
    :param in_force: number of daemons that have it exactly as published, or
        that lack it if it is not published.
    """

    name: OrganisationName
    priority: int | None
    quota: Quota | None
    keys: int
    is_published: bool
    in_force: int


async def report_organisations(store: Store) -> Result[Report, CliError]:
    """Report all organisations, without their keys."""
    published = await store.read_newest()
    saved = await store.read_saved_state()
    match published, saved:
        case Success(records), Success(state):
            daemons = await query_daemons(
                record for record in state.members if not record.leaving
            )
            return Success(_format_organisations(records, daemons))
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(store_unavailable(fault))
    raise AssertionError('unreachable: neither Success nor Failure')


def _format_organisations(
    records: PublishedRecords, daemons: list[DaemonInFleet]
) -> Report:
    configuration = records.configuration
    newest = -1 if configuration is None else configuration.version
    requires_keys = (
        configuration is not None and configuration.organisations is not None
    )
    reached = [daemon for daemon in daemons if daemon.version is not None]
    current = sum(daemon.version == newest for daemon in reached)
    rows = _make_rows(organisations_of(configuration), reached)
    silent = [daemon.record.vm for daemon in daemons if daemon.version is None]
    unknown = [f'out of reach: {", ".join(silent)}'] if silent else []
    return Report(
        data={
            'published': newest,
            'requiresKeys': requires_keys,
            'daemons': len(daemons),
            'current': current,
            'outOfReach': silent,
            'organisations': rows,
        },
        lines=(
            f'configuration published: {newest if newest >= 0 else "none"}, '
            f'in force at {current} of {len(daemons)} daemons',
            f'keys required: {"yes" if requires_keys else "no"}',
            *unknown,
            *format_table(
                _HEADINGS, [_format_row(row, len(daemons)) for row in rows]
            ),
        ),
        code=ExitCode.OK if current == len(daemons) else ExitCode.LAGGING,
    )


def _make_rows(
    published: tuple[Organisation, ...], daemons: list[DaemonInFleet]
) -> list[_Row]:
    """Make the rows, also of organisations that only daemons still have."""
    expected = {one.name: one for one in published}
    held = [
        {one.name: one for one in daemon.organisations} for daemon in daemons
    ]
    names = sorted(expected.keys() | {name for one in held for name in one})
    return [
        _Row(
            name=name,
            priority=found.priority if found else None,
            quota=found.quota if found else None,
            keys=len(found.keys) if found else 0,
            is_published=found is not None,
            in_force=sum(one.get(name) == found for one in held),
        )
        for name in names
        for found in (expected.get(name),)
    ]


def _format_row(row: _Row, daemons: int) -> tuple[object, ...]:
    in_force = f'{row.in_force} of {daemons}'
    if not row.is_published:
        return (row.name, '-', '-', 'removed', in_force)
    return (
        row.name,
        'of the route' if row.priority is None else row.priority,
        _format_quota(row.quota),
        row.keys,
        in_force,
    )


def _format_quota(quota: Quota | None) -> str:
    if quota is None:
        return 'none'
    return f'{quota.rate:g}/s, burst {quota.burst:g}'
