"""Starting a mesh with a service that is ready to take calls."""

from datetime import datetime, timedelta

import httpx
import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from verbenamill_bench.fleet import Daemon, Fleet, Upstream
from verbenamill_model import (
    Route,
    Service,
    Ticket,
    TicketRecord,
    encode_record,
)
from verbenamill_model.typing import (
    Priority,
    RouteName,
    ServiceName,
    TicketNumber,
    VersionName,
)
from verbenamill_standins import Behaviour

SERVICE = ServiceName('entries')
VERSION = VersionName('v1')
NEW_VERSION = VersionName('v2')
#: Services that a run of small changes goes round.
SERVICES = 50
CALL_TIMEOUT = timedelta(seconds=5)


class _Appended(msgspec.Struct):
    offset: int


def number_of(daemon: Daemon) -> int:
    """Place of a daemon in its availability zone, from 1."""
    return int(daemon.id.rsplit('-', 1)[1])


async def publish(fleet: Fleet, ticket: Ticket) -> Result[int, str]:
    """Append a ticket to the log; its offset."""
    try:
        response = await fleet.client.post(
            f'{fleet.log_url}/streams/config/records',
            content=encode_record(TicketRecord(ticket=ticket)),
        )
    except httpx.HTTPError as error:
        return Failure(f'the log did not answer: {error!r}')
    if response.is_error:
        return Failure(f'the log answered {response.status_code}')
    appended = msgspec.json.decode(response.content, type=_Appended)
    return Success(appended.offset)


def first_ticket() -> Ticket:
    """A service with lookups and fees first, and photos after them."""
    return Ticket(
        number=TicketNumber(1),
        author='bench',
        services=(Service(name=SERVICE, version=VERSION),),
        routes=(
            Route(
                name=RouteName('entries'),
                prefix='/entries',
                service=SERVICE,
                priority=Priority.HIGH,
                timeout=CALL_TIMEOUT,
            ),
            Route(
                name=RouteName('photos'),
                prefix='/photos',
                service=SERVICE,
                priority=Priority.BULK,
                timeout=CALL_TIMEOUT,
            ),
        ),
    )


def change_ticket(number: int, *, author: str = 'bench') -> Ticket:
    """One of a run of small changes, to one service and its route."""
    name = f'service-{number % SERVICES}'
    return Ticket(
        number=TicketNumber(number),
        author=author,
        note=f'change {number}',
        services=(Service(name=ServiceName(name), version=VERSION),),
        routes=(
            Route(
                name=RouteName(name),
                prefix=f'/{name}',
                service=ServiceName(name),
            ),
        ),
    )


def move_ticket(number: int, deadline: datetime) -> Ticket:
    """The service's move to its new version."""
    moved = Service(
        name=SERVICE,
        version=NEW_VERSION,
        deadline=deadline,
    )
    return Ticket(
        number=TicketNumber(number),
        author='bench',
        services=(moved,),
    )


async def start_mesh(
    fleet: Fleet,
    zones: dict[str, int],
    *,
    behaviour: Behaviour,
    slots: int = 16,
    relayed: bool = False,
    owners: int | None = None,
) -> Result[list[Upstream], str]:
    """Start a log, daemons, upstreams and the service.

    :param owners: daemons of each availability zone with an upstream; all
        when left out.
    """
    logged = await fleet.start_log()
    if not is_successful(logged):
        return Failure(logged.failure())
    fleet.add_daemons(zones, relayed=relayed)
    ready = await fleet.wait_ready()
    if not is_successful(ready):
        return Failure(ready.failure())
    upstreams = [
        fleet.add_upstream(
            daemon,
            SERVICE,
            VERSION,
            behaviour=behaviour,
            slots=slots,
        )
        for daemon in fleet.daemons
        if owners is None or number_of(daemon) <= owners
    ]
    published = await publish(fleet, first_ticket())
    if not is_successful(published):
        return Failure(published.failure())
    for waited in (
        await fleet.wait_version(published.unwrap()),
        await fleet.wait_upstreams(),
    ):
        if not is_successful(waited):
            return Failure(waited.failure())
    return Success(upstreams)
