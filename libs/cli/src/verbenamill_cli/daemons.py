"""Questions to the daemons' admin API."""

from collections.abc import Iterable
from typing import Any, TypeVar

import httpx
import msgspec
import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_model.status import Status
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, VmId

#: Daemons that are asked at a time. More would not be faster on the
#: operator's machine and would open thousands of sockets at once.
CONCURRENCY = 64
#: Daemons of an availability zone that are asked for its members.
MAX_TRIES = 2

Answered = TypeVar('Answered')


class Surveyed(Struct, frozen=True, kw_only=True):
    """One daemon, and its answer or why there is none."""

    member: Member
    answer: Status | str


async def fetch(
    client: httpx.AsyncClient,
    url: str,
    kind: type[Answered],
) -> Result[Answered, str]:
    """Ask a daemon; a failure says why in a few words."""
    body = await _get(client, url)
    return body.bind(lambda found: _decode(found, kind))


async def _get(client: httpx.AsyncClient, url: str) -> Result[bytes, str]:
    try:
        response = await client.get(url)
    except httpx.ConnectError:
        return Failure('refuses connections')
    except httpx.TimeoutException:
        return Failure('does not answer in time')
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        return Failure(f'cannot be asked: {error}')
    if response.status_code != httpx.codes.OK:
        return Failure(f'answers status {response.status_code}')
    return Success(response.content)


def _decode(body: bytes, kind: type[Answered]) -> Result[Answered, str]:
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(f'gives an unreadable answer: {error}')


async def find_members(
    client: httpx.AsyncClient,
    url: str,
) -> Result[dict[VmId, Member], CliError]:
    """All daemons that can be heard of, from one of them on.

    A daemon knows all of its own availability zone but only some of the
    others, so one daemon of each zone is asked in turn, and a second one
    when the first does not answer.

    :param url: admin URL of any daemon.
    """
    members: dict[VmId, Member] = {}
    match await fetch(client, f'{url}/members', list[Member]):
        case Success(found):
            members = _by_id(found)
        case Failure(reason):
            return Failure(unreachable(url, reason))
    tries: dict[AvailabilityZone, int] = {}
    asked: set[VmId] = set()
    while True:
        candidate = _next_to_ask(members, asked, tries)
        if candidate is None:
            return Success(members)
        asked.add(candidate.id)
        zone = candidate.availability_zone
        address = f'http://{candidate.admin}/members'
        match await fetch(client, address, list[Member]):
            case Success(found):
                members = _by_id(found) | members
                tries[zone] = MAX_TRIES
            case Failure(_):
                tries[zone] = tries.get(zone, 0) + 1


def _next_to_ask(
    members: dict[VmId, Member],
    asked: set[VmId],
    tries: dict[AvailabilityZone, int],
) -> Member | None:
    return next(
        (
            member
            for member in members.values()
            if member.admin
            and member.id not in asked
            and tries.get(member.availability_zone, 0) < MAX_TRIES
        ),
        None,
    )


def _by_id(members: Iterable[Member]) -> dict[VmId, Member]:
    return {member.id: member for member in members}


def unreachable(url: str, reason: str) -> CliError:
    """Error for a daemon that gave no usable answer."""
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the daemon at {url} {reason}',
        action=(
            'check the URL (it is the admin address) or name another '
            'daemon with --daemon; any of them will do'
        ),
    )


async def survey(
    client: httpx.AsyncClient,
    members: dict[VmId, Member],
) -> list[Surveyed]:
    """Ask every daemon for its status, a bounded number at a time."""
    answers: list[Surveyed] = []
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def ask(member: Member) -> None:
        async with limiter:
            answer = await _ask_status(client, member)
        answers.append(Surveyed(member=member, answer=answer))

    async with trio.open_nursery() as nursery:
        for member in members.values():
            nursery.start_soon(ask, member)
    return sorted(answers, key=_place)


async def _ask_status(
    client: httpx.AsyncClient,
    member: Member,
) -> Status | str:
    if not member.admin:
        return 'tells no admin address'
    match await fetch(client, f'http://{member.admin}/status', Status):
        case Success(Status() as status) if status.id == member.id:
            return status
        case Success(Status() as status):
            return f'is {status.id} now: the address was taken over'
        case Failure(reason):
            return str(reason)
    raise AssertionError('a result is a success or a failure')


def _place(surveyed: Surveyed) -> tuple[Any, ...]:
    return surveyed.member.availability_zone, surveyed.member.id
