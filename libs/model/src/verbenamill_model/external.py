"""Formats of fields that are filled from outside the process.

Announcements of upstreams, records of the store, and headers and datagrams of
other daemons are decoded into structs whose fields have these types. A value
outside its range is rejected where it is read: further inside, sums of such
values are computed, and they are encoded as integers of 64 bits again.
"""

import zlib
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta

from verbenamill_model.typing import (
    AvailabilityZone,
    RouteName,
    ServiceName,
    VersionName,
    VmId,
)

#: Highest value of counters, sequence numbers and positions.
MAX_NUMBER = 1 << 62
#: Latest Unix time, in milliseconds: in the year 2109.
MAX_UNIX_MS = (1 << 42) - 1
#: Longest name, in characters.
MAX_NAME_LENGTH = 200
#: Longest text that is composed of a name, in characters.
MAX_TEXT_LENGTH = 255
#: Longest duration, in milliseconds: about 115 days.
MAX_DURATION_MS = 10_000_000_000
#: Highest number of requests that one upstream runs concurrently.
MAX_SLOTS = 10_000
MAX_CHECKSUM = (1 << 32) - 1
_MAX_STAGE = 1000
_MAX_LOAD = 1_000_000_000
_MAX_PRIORITY = 1_000_000
_MAX_RATE = 1e20

#: A counter, a sequence number or a position.
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
#: The same, or -1 for none.
NumberOrNone = Annotated[int, Meta(ge=-1, le=MAX_NUMBER)]
#: An amount that may be negative.
Amount = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
#: Sequence number of a heartbeat, below that of a leaving upstream.
HeartbeatNumber = Annotated[int, Meta(ge=0, lt=MAX_NUMBER)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
DurationMs = Annotated[int, Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
NonNegativeMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS / 1000)]
Checksum = Annotated[int, Meta(ge=0, le=MAX_CHECKSUM)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
StageNumber = Annotated[int, Meta(ge=0, le=_MAX_STAGE)]
#: Requests running and queued; -1 if unknown.
Load = Annotated[int, Meta(ge=-1, le=_MAX_LOAD)]
PriorityNumber = Annotated[int, Meta(ge=-_MAX_PRIORITY, le=_MAX_PRIORITY)]
#: Requests per second.
Rate = Annotated[float, Meta(ge=0, le=_MAX_RATE)]

_name = Meta(max_length=MAX_NAME_LENGTH)
VmField = Annotated[VmId, _name]
ZoneField = Annotated[AvailabilityZone, _name]
ServiceField = Annotated[ServiceName, _name]
VersionField = Annotated[VersionName, _name]
RouteField = Annotated[RouteName, _name]
TextField = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
#: Id of an upstream. It is sent as the value of a header.
InstanceField = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=MAX_NAME_LENGTH,
        pattern=r'^[^\x00-\x20\x7f]+\Z',
    ),
]

_T_co = TypeVar('_T_co', covariant=True)


class _Decoder(Protocol[_T_co]):
    """A decoder of msgspec."""

    def decode(self, data: bytes, /) -> _T_co:
        """Decode a value."""


def decode_external(decoder: _Decoder[_T_co], data: bytes) -> _T_co:
    """Decode a value that was made outside the process.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        raise msgspec.DecodeError('the value is nested too deeply') from None


def decompress_external(data: bytes, *, limit: int) -> bytes:
    """Decompress bytes that were compressed outside the process.

    :param limit: longest result, in bytes.
    :raises ValueError: if they are malformed, or the result is longer.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, limit)
    except zlib.error as error:
        raise ValueError(f'the bytes cannot be decompressed: {error}') from None
    if not decompressor.eof:
        raise ValueError(
            f'the decompressed bytes are cut short, or more than {limit}'
        )
    return decompressed
