"""Adapter for the announcements that an upstream sends to its daemon.

Only this module depends on their format: the upstream sends ``PUT /upstream``
with a JSON body to the daemon's admin address and repeats it within the lease.
"""

from datetime import timedelta

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_model.traffic import Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_http.addresses import parse_address

#: An upstream that sends no announcement for this long counts as gone.
UPSTREAM_LEASE = timedelta(seconds=2)
ANNOUNCEMENT_PATH = '/upstream'


class Announcement(Struct, frozen=True, kw_only=True):
    """An upstream and the address at which its daemon reaches it.

    :param address: ``host:port`` at which the upstream serves HTTP calls.
    """

    upstream: Upstream
    address: str


class _AnnouncementBody(Struct, forbid_unknown_fields=True):
    service: str
    version: str
    address: str
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.READY


def read_announcement(body: bytes) -> Result[Announcement, str]:
    """Decode and validate an announcement.

    :returns: the announcement, or a message that describes the fault.
    """
    try:
        announced = msgspec.json.decode(body, type=_AnnouncementBody)
    except msgspec.MsgspecError as error:
        return Failure(f'announcement cannot be read: {error}')
    try:
        parse_address(announced.address)
    except ValueError:
        # If the address were accepted, the first call to it would end the
        # daemon.
        return Failure(
            f'address {announced.address!r} is not an IP number and port; '
            'use the form "10.0.0.5:8080"',
        )
    if announced.slots < 1 or announced.connections < 1:
        return Failure('slots and connections must be at least 1')
    return Success(
        Announcement(
            upstream=msgspec.convert(
                {
                    'service': announced.service,
                    'version': announced.version,
                    'state': announced.state,
                    'slots': announced.slots,
                    'connections': announced.connections,
                },
                Upstream,
            ),
            address=announced.address,
        ),
    )
