"""Messages that daemons exchange in datagrams.

The names of the message classes are also labels of metrics.
"""

from enum import IntEnum, unique

import msgspec
from msgspec import Struct

from verbenamill_model.external import (
    Checksum,
    DurationMs,
    Load,
    Number,
    NumberOrNone,
    UnixMs,
    VmField,
    ZoneField,
    decode_external,
)
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.pace import PaceReport
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.quotas.messages import TokenGrant, TokenRequest
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.tallies import Tally


class Rumors(Struct, tag='r', array_like=True):
    """Updated member records, progress and verdicts of moves, and suspects."""

    members: list[MemberRecord] = []
    progress: list[Progress] = []
    settled: list[SettledOrder] = []
    suspects: list[Suspect] = []


class Summary(Struct, tag='s', array_like=True):
    """Digests of the whole state of the sender.

    :param zones: digest of each zone's members.
    :param moves: digest of the progress and verdicts of moves.
    :param stamp: version of the configuration, and number of the newest order
        or evacuation.
    :param is_reply: whether this answers a summary of the receiver.
    :param blocked: digest of the blocked requests.
    """

    sender: VmField
    zones: dict[ZoneField, Checksum]
    moves: Checksum
    stamp: tuple[NumberOrNone, NumberOrNone]
    is_reply: bool = False
    blocked: Checksum = 0


class Digests(Struct, tag='d', array_like=True):
    """Bucket digests of one zone whose digests differ."""

    sender: VmField
    zone: ZoneField
    buckets: list[Checksum]


class RecordRevision(Struct, array_like=True):
    """The revision of a member's record that the sender holds."""

    vm: VmField
    incarnation: UnixMs
    sequence: Number


class Ages(Struct, tag='v', array_like=True):
    """Revisions of all records that the sender holds in some buckets."""

    sender: VmField
    zone: ZoneField
    buckets: list[Number]
    known: list[RecordRevision]


class Wanted(Struct, tag='w', array_like=True):
    """Requests the records of some members."""

    sender: VmField
    vms: list[VmField]


class Records(Struct, tag='m', array_like=True):
    """Records that the receiver lacks."""

    sender: VmField
    members: list[MemberRecord]


@unique
class NoticeKind(IntEnum):
    """What a daemon reports about its view of the store.

    ``CURRENT``: the sender is up to date, and the receiver need not read.
    ``STALLED``: the sender reads the store but gets no answer.
    ``CHANGED``: the sender has just applied a change.
    """

    CURRENT = 0
    STALLED = 1
    CHANGED = 2


class Notice(Struct, tag='n', array_like=True):
    """Reports the sender's view of the store.

    :param stamp: version of the configuration, and number of the newest order
        or evacuation.
    :param age_ms: for how long the reader that ``CURRENT`` goes back to has
        not been heard of, in milliseconds.
    """

    sender: VmField
    stamp: tuple[NumberOrNone, NumberOrNone]
    kind: NoticeKind = NoticeKind.CURRENT
    age_ms: DurationMs = 0


class Ask(Struct, tag='a', array_like=True):
    """Probes whether the receiver is alive.

    :param wants_load: whether the sender is about to place a request.
    """

    sender: VmField
    wants_load: bool = False


class Alive(Struct, tag='l', array_like=True):
    """Answers a probe.

    :param load: number of requests running and queued, if it was asked for;
        otherwise -1.
    :param pace: pace of the upstream; ``None``, and not sent, if it is the
        usual one.
    """

    sender: VmField
    load: Load = -1
    pace: PaceReport | None = None


class _ShortAlive(Struct, tag='l', array_like=True):
    """An answer without a pace, as it is sent."""

    sender: VmField
    load: Load


class Tallies(Struct, tag='t', array_like=True):
    """Tallies of owners, for the decider of a move."""

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
    | TokenRequest
    | TokenGrant
)

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def decode_message(data: bytes) -> Message:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is not a valid message.
    """
    return decode_external(_decoder, data)


def encode_message(message: Message) -> bytes:
    """Encode a datagram."""
    if isinstance(message, Alive) and message.pace is None:
        return _encoder.encode(_ShortAlive(message.sender, message.load))
    return _encoder.encode(message)
