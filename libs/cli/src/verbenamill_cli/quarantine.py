"""Listing and unblocking of the blocked requests of a platform."""

from datetime import UTC, datetime

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.fleet import store_unavailable
from verbenamill_cli.output import Report, format_table
from verbenamill_policy.quarantine import Suspect
from verbenamill_sidecar.protocol import Store

_HEADINGS = ('FINGERPRINT', 'REQUEST', 'SINCE', 'CRASHES', 'BLOCKED FOR')


async def list_blocked_requests(
    store: Store,
    *,
    now: datetime,
) -> Result[Report, CliError]:
    """Report the blocked requests that the store holds."""
    match await store.read_saved_state():
        case Success(saved):
            blocked = [
                suspect for suspect in saved.suspects if suspect.is_blocked
            ]
            return Success(_format_blocked(blocked, now))
        case Failure(fault):
            return Failure(store_unavailable(fault))
    raise AssertionError('unreachable: neither Success nor Failure')


async def unblock_request(
    store: Store,
    fingerprint: str,
    *,
    now: datetime,
) -> Result[Report, CliError]:
    """Unblock a request in the store.

    The daemons that read the store pass this on to all others.

    :param fingerprint: hexadecimal fingerprint of the request.
    """
    match await store.read_saved_state():
        case Success(saved):
            matching = [
                suspect
                for suspect in saved.suspects
                if suspect.is_blocked
                and suspect.fingerprint.hex() == fingerprint
            ]
        case Failure(fault):
            return Failure(store_unavailable(fault))
    if not matching:
        return Failure(_not_blocked(fingerprint))
    cleared = replace(
        matching[0],
        round=matching[0].round + 1,
        crashes=(),
        changed_at=int(now.timestamp()),
    )
    match await store.save_suspects([cleared]):
        case Success(_):
            return Success(_format_unblocked(cleared))
        case Failure(fault):
            return Failure(store_unavailable(fault))
    raise AssertionError('unreachable: neither Success nor Failure')


def _format_blocked(blocked: list[Suspect], now: datetime) -> Report:
    return Report(
        data=[_to_row(suspect, now) for suspect in blocked],
        lines=format_table(
            _HEADINGS,
            [tuple(_to_row(suspect, now).values()) for suspect in blocked],
        ),
    )


def _to_row(suspect: Suspect, now: datetime) -> dict[str, object]:
    """Fields of one blocked request.

    Some daemons extend the block by up to half of the time shown.
    """
    since = datetime.fromtimestamp(suspect.changed_at, UTC)
    left = suspect.changed_at + suspect.block_time - now.timestamp()
    return {
        'fingerprint': suspect.fingerprint.hex(),
        'request': suspect.about,
        'since': f'{since:%Y-%m-%dT%H:%M:%SZ}',
        'crashes': ' '.join(suspect.crashes),
        'blocked_for': f'{max(left, 0):.0f} s',
    }


def _format_unblocked(suspect: Suspect) -> Report:
    text = f'{suspect.about}: runs again within three minutes'
    return Report(
        data={'fingerprint': suspect.fingerprint.hex(), 'cleared': True},
        lines=(text,),
    )


def _not_blocked(fingerprint: str) -> CliError:
    return CliError(
        code=ExitCode.NOT_FOUND,
        message=f'no request with fingerprint {fingerprint!r} is blocked',
        action='look at `verbenamill fleet blocked` for those that are',
    )
