"""Client of the daemons' admin API."""

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

#: Daemons that are queried concurrently. A higher limit would not be faster on
#: the operator's machine and would open thousands of sockets at once.
MAX_CONCURRENT_REQUESTS = 64
#: Daemons of one availability zone that are asked for its members until one
#: answers.
MAX_ATTEMPTS_PER_ZONE = 2

Response = TypeVar('Response')


class SurveyedDaemon(Struct, frozen=True, kw_only=True):
    """One daemon, and its status or the reason why there is none."""

    member: Member
    answer: Status | str


async def fetch(
    client: httpx.AsyncClient,
    url: str,
    kind: type[Response],
) -> Result[Response, str]:
    """Fetch and decode a JSON document from a daemon.

    A failure holds the end of a sentence that begins with the daemon.
    """
    body = await _get(client, url)
    return body.bind(lambda content: _decode(content, kind))


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


def _decode(body: bytes, kind: type[Response]) -> Result[Response, str]:
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(f'gives an unreadable answer: {error}')


async def find_members(
    client: httpx.AsyncClient,
    url: str,
) -> Result[dict[VmId, Member], CliError]:
    """Find all daemons of the fleet, starting from one of them.

    A daemon knows all members of its own availability zone but only some of
    the other zones, so one daemon of each zone is asked in turn, and a second
    one when the first does not answer.

    :param url: admin URL of any daemon.
    """
    members: dict[VmId, Member] = {}
    match await fetch(client, f'{url}/members', list[Member]):
        case Success(listed):
            members = _by_id(listed)
        case Failure(reason):
            return Failure(daemon_unavailable(url, reason))
    attempts: dict[AvailabilityZone, int] = {}
    asked: set[VmId] = set()
    while True:
        candidate = _next_candidate(members, asked, attempts)
        if candidate is None:
            return Success(members)
        asked.add(candidate.id)
        zone = candidate.availability_zone
        address = f'http://{candidate.admin}/members'
        match await fetch(client, address, list[Member]):
            case Success(listed):
                members = _by_id(listed) | members
                attempts[zone] = MAX_ATTEMPTS_PER_ZONE
            case Failure(_):
                attempts[zone] = attempts.get(zone, 0) + 1


def _next_candidate(
    members: dict[VmId, Member],
    asked: set[VmId],
    attempts: dict[AvailabilityZone, int],
) -> Member | None:
    return next(
        (
            member
            for member in members.values()
            if member.admin
            and member.id not in asked
            and attempts.get(member.availability_zone, 0)
            < MAX_ATTEMPTS_PER_ZONE
        ),
        None,
    )


def _by_id(members: Iterable[Member]) -> dict[VmId, Member]:
    return {member.id: member for member in members}


def daemon_unavailable(url: str, reason: str) -> CliError:
    """Error for a daemon that gave no usable answer.

    :param reason: end of the sentence that begins with the daemon.
    """
    return CliError(
        code=ExitCode.UNAVAILABLE,
        message=f'the daemon at {url} {reason}',
        action=(
            'check the URL (it is the admin address) or name another '
            'daemon with --daemon; any of them will do'
        ),
    )


async def query_daemons(
    client: httpx.AsyncClient,
    members: dict[VmId, Member],
) -> list[SurveyedDaemon]:
    """Query the status of every daemon, with limited concurrency."""
    answers: list[SurveyedDaemon] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def query(member: Member) -> None:
        async with limiter:
            answer = await _query_status(client, member)
        answers.append(SurveyedDaemon(member=member, answer=answer))

    async with trio.open_nursery() as nursery:
        for member in members.values():
            nursery.start_soon(query, member)
    return sorted(answers, key=_sort_key)


async def _query_status(
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
    raise AssertionError('unreachable: neither Success nor Failure')


def _sort_key(daemon: SurveyedDaemon) -> tuple[Any, ...]:
    return daemon.member.availability_zone, daemon.member.id
