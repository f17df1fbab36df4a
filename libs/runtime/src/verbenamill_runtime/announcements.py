"""Adapter for the announcements that an upstream sends to its daemon.

This is the only module that knows their form: ``PUT /upstream`` on the
daemon's admin address with a JSON body, repeated within the lease.
"""

from datetime import timedelta

import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_model.traffic import Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_http.addresses import parse_address

#: An upstream that was not heard of for this long has left.
UPSTREAM_LEASE = timedelta(seconds=2)
PATH = '/upstream'


class Announcement(Struct, frozen=True, kw_only=True):
    """An upstream and where its daemon reaches it.

    :param address: ``host:port`` where it serves calls over HTTP.
    """

    upstream: Upstream
    address: str


class _Body(Struct, forbid_unknown_fields=True):
    service: str
    version: str
    address: str
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.READY


def read_announcement(body: bytes) -> Result[Announcement, str]:
    """Read an announcement, or say what is wrong with it."""
    try:
        told = msgspec.json.decode(body, type=_Body)
    except msgspec.MsgspecError as error:
        return Failure(f'announcement cannot be read: {error}')
    try:
        parse_address(told.address)
    except ValueError:
        # Taken as it is, it would end the daemon with its first call.
        return Failure(
            f'address {told.address!r} is no IP number and port; write it '
            'like "10.0.0.5:8080"',
        )
    if told.slots < 1 or told.connections < 1:
        return Failure('slots and connections must be at least 1')
    return Success(
        Announcement(
            upstream=msgspec.convert(
                {
                    'service': told.service,
                    'version': told.version,
                    'state': told.state,
                    'slots': told.slots,
                    'connections': told.connections,
                },
                Upstream,
            ),
            address=told.address,
        ),
    )
