"""Requests and answers between daemons, encoded as MessagePack by msgspec.

Fields are encoded by position, so a new field goes last and has a default.
"""

import msgspec
from msgspec import Struct

from verbenamill_mesh.ring import Arc
from verbenamill_mesh.store import KeyValueHash, Update
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone, Offset, VmId

#: Arc of a push that the receiver does not forward.
EMPTY_ARC = Arc(0, 0)


class StateSummary(Struct, frozen=True, array_like=True):
    """Summary of a daemon's state, by which two daemons compare theirs.

    :param root: digest over members and topics.
    :param ready: whether its configuration is known to be caught up.
    """

    offset: Offset
    digest: str
    root: bytes
    ready: bool


class Probe(Struct, frozen=True, array_like=True, tag='probe'):
    """Check that a daemon is alive, and compare states with it.

    :param address: where the sender listens.
    """

    address: str
    summary: StateSummary


class IndirectProbe(Struct, frozen=True, array_like=True, tag='probe-for'):
    """Probe a third daemon that the sender cannot reach."""

    address: str


class Compare(Struct, frozen=True, array_like=True, tag='compare'):
    """Compare the digests of all buckets of the sender's store."""

    buckets: bytes


class Fetch(Struct, frozen=True, array_like=True, tag='fetch'):
    """Request the values of keys."""

    keys: tuple[bytes, ...]


class Push(Struct, frozen=True, array_like=True, tag='push'):
    """Records and updates for the receiver and the members on its arc.

    :param is_cross_zone: whether it came from another availability zone, so
        that a gateway does not send it to other zones again.
    """

    entries: tuple[Entry, ...] = ()
    updates: tuple[Update, ...] = ()
    arc: Arc = EMPTY_ARC
    is_cross_zone: bool = False


class Pull(Struct, frozen=True, array_like=True, tag='pull'):
    """Request the records that follow an offset."""

    after: Offset


class ApplicationMessage(Struct, frozen=True, array_like=True, tag='note'):
    """A message of the application for the receiver only."""

    kind: str
    body: bytes


Request = (
    Probe | IndirectProbe | Compare | Fetch | Push | Pull | ApplicationMessage
)


class Envelope(Struct, frozen=True, array_like=True):
    """A request and its sender."""

    sender: VmId
    availability_zone: AvailabilityZone
    request: Request


class ProbeReply(Struct, frozen=True, array_like=True, tag='met'):
    """Answer to a probe."""

    summary: StateSummary


class IndirectProbeReply(Struct, frozen=True, array_like=True, tag='reached'):
    """Whether the probed third daemon answered."""

    reached: bool


class DifferencesReply(Struct, frozen=True, array_like=True, tag='differences'):
    """Buckets that differ, and the hashes of the keys and values in them."""

    buckets: tuple[int, ...]
    hashes: tuple[KeyValueHash, ...]


class ValuesReply(Struct, frozen=True, array_like=True, tag='news'):
    """Values; after a push, those newer than the pushed ones."""

    updates: tuple[Update, ...] = ()


class RecordsReply(Struct, frozen=True, array_like=True, tag='tail'):
    """Records that follow the requested offset."""

    entries: tuple[Entry, ...]


class CheckpointReply(Struct, frozen=True, array_like=True, tag='checkpoint'):
    """The whole state, because the requested records are no longer kept."""

    body: bytes


class BusyReply(Struct, frozen=True, array_like=True, tag='busy'):
    """Too many transfers; the address, if any, names a daemon to ask."""

    address: str


class Acknowledgement(Struct, frozen=True, array_like=True, tag='done'):
    """The request was handled."""


Reply = (
    ProbeReply
    | IndirectProbeReply
    | DifferencesReply
    | ValuesReply
    | RecordsReply
    | CheckpointReply
    | BusyReply
    | Acknowledgement
)

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Envelope | Reply) -> bytes:
    """Encode a request in its envelope, or a reply."""
    return _encoder.encode(message)


def decode_envelope(body: bytes) -> Envelope | None:
    """Decode a request, or return ``None`` when it is invalid."""
    try:
        return _envelope_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def decode_reply(body: bytes) -> Reply | None:
    """Decode a reply, or return ``None`` when it is invalid."""
    try:
        return _reply_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def kind_of(message: Request | Reply) -> str:
    """Name under which a message is counted."""
    return str(message.__struct_config__.tag)
