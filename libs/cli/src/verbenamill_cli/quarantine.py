"""Which requests are blocked on a platform, and letting them run again."""

from datetime import UTC, datetime

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.fleet import unavailable
from verbenamill_cli.output import Report, table
from verbenamill_policy.quarantine import Suspect
from verbenamill_sidecar.protocol import Store

_HEADINGS = ('FINGERPRINT', 'REQUEST', 'SINCE', 'CRASHES', 'BLOCKED FOR')


async def list_blocked_requests(
    store: Store,
    *,
    now: datetime,
) -> Result[Report, CliError]:
    """Ask the store which requests are blocked."""
    match await store.read_saved_state():
        case Success(remembered):
            blocked = [one for one in remembered.suspects if one.is_blocked]
            return Success(_report(blocked, now))
        case Failure(fault):
            return Failure(unavailable(fault))
    raise AssertionError('a result is a success or a failure')


async def unblock_request(
    store: Store,
    fingerprint: str,
    *,
    now: datetime,
) -> Result[Report, CliError]:
    """Clear a request; daemons that read the store tell all others.

    :param fingerprint: in hexadecimal digits.
    """
    match await store.read_saved_state():
        case Success(remembered):
            found = [
                one
                for one in remembered.suspects
                if one.is_blocked and one.fingerprint.hex() == fingerprint
            ]
        case Failure(fault):
            return Failure(unavailable(fault))
    if not found:
        return Failure(_not_blocked(fingerprint))
    cleared = replace(
        found[0],
        round=found[0].round + 1,
        crashes=(),
        changed_at=int(now.timestamp()),
    )
    match await store.save_suspects([cleared]):
        case Success(_):
            return Success(_report_cleared(cleared))
        case Failure(fault):
            return Failure(unavailable(fault))
    raise AssertionError('a result is a success or a failure')


def _report(blocked: list[Suspect], now: datetime) -> Report:
    return Report(
        data=[_plain(one, now) for one in blocked],
        lines=table(
            _HEADINGS,
            [tuple(_plain(one, now).values()) for one in blocked],
        ),
    )


def _plain(suspect: Suspect, now: datetime) -> dict[str, object]:
    """One line; some daemons let it run again later, by up to half."""
    since = datetime.fromtimestamp(suspect.changed_at, UTC)
    left = suspect.changed_at + suspect.block_time - now.timestamp()
    return {
        'fingerprint': suspect.fingerprint.hex(),
        'request': suspect.about,
        'since': f'{since:%Y-%m-%dT%H:%M:%SZ}',
        'crashes': ' '.join(suspect.crashes),
        'blocked_for': f'{max(left, 0):.0f} s',
    }


def _report_cleared(suspect: Suspect) -> Report:
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
