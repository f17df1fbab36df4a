"""Messages that daemons exchange in datagrams."""

from enum import IntEnum, unique

import msgspec
from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.tallies import Tally


class Rumors(Struct, tag='r', array_like=True):
    """News: records of members, stages and verdicts of moves, suspects."""

    members: list[MemberRecord] = []
    progress: list[Progress] = []
    settled: list[SettledOrder] = []
    suspects: list[Suspect] = []


class Summary(Struct, tag='s', array_like=True):
    """Digests of all that the sender knows.

    :param zones: digest of each zone's members.
    :param moves: digest of the stages and verdicts of moves.
    :param stamp: versions of the configuration and of the newest order.
    :param is_reply: whether it answers one of the receiver's.
    :param blocked: digest of the requests that are blocked.
    """

    sender: VmId
    zones: dict[AvailabilityZone, int]
    moves: int
    stamp: tuple[int, int]
    is_reply: bool = False
    blocked: int = 0


class Digests(Struct, tag='d', array_like=True):
    """Digests of the parts of one zone that seems to differ."""

    sender: VmId
    zone: AvailabilityZone
    buckets: list[int]


class Age(Struct, array_like=True):
    """Which record of a member the sender has."""

    vm: VmId
    incarnation: int
    sequence: int


class Ages(Struct, tag='v', array_like=True):
    """Ages of all records that the sender has in some parts of a zone."""

    sender: VmId
    zone: AvailabilityZone
    buckets: list[int]
    known: list[Age]


class Wanted(Struct, tag='w', array_like=True):
    """Asks for the records of some members."""

    sender: VmId
    vms: list[VmId]


class Records(Struct, tag='m', array_like=True):
    """Records that the receiver lacks."""

    sender: VmId
    members: list[MemberRecord]


@unique
class NoticeKind(IntEnum):
    """What a daemon tells about its knowledge of the store.

    ``CURRENT``: the sender is up to date, and the receiver need not read.
    ``STALLED``: the sender reads, and the store does not answer it.
    ``NEWS``: the sender of another zone has just become newer.
    """

    CURRENT = 0
    STALLED = 1
    NEWS = 2


class Notice(Struct, tag='n', array_like=True):
    """Tells what the sender knows of the store's content.

    :param stamp: versions of the configuration and of the newest order.
    """

    sender: VmId
    stamp: tuple[int, int]
    kind: NoticeKind = NoticeKind.CURRENT


class Ask(Struct, tag='a', array_like=True):
    """Asks for a sign of life."""

    sender: VmId


class Alive(Struct, tag='l', array_like=True):
    """A sign of life."""

    sender: VmId


class Tallies(Struct, tag='t', array_like=True):
    """Counts of an owner, for the decider of a move."""

    tallies: list[Tally]


Message = (
    Rumors
    | Summary
    | Digests
    | Ages
    | Wanted
    | Records
    | Notice
    | Ask
    | Alive
    | Tallies
)

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def decode_message(data: bytes) -> Message:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is none of ours.
    """
    return _decoder.decode(data)


def encode_message(message: Message) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(message)
