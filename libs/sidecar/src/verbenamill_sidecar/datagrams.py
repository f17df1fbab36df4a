"""What daemons tell each other in datagrams."""

import msgspec
from msgspec import Struct

from verbenamill_model.typing import VmId
from verbenamill_policy.evidence import Tally
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.rollouts import Progress, Settled


class Rumours(Struct, tag='r', array_like=True):
    """News."""

    members: list[MemberRecord] = []
    progress: list[Progress] = []
    settled: list[Settled] = []


class Compare(Struct, tag='c', array_like=True):
    """What the sender knows, in short.

    :param digests: of the parts of its table of members.
    :param stamp: what the store has told it, in short.
    :param is_reply: whether it answers one of the receiver's.
    """

    sender: VmId
    digests: list[int]
    stamp: tuple[int, int]
    progress: list[Progress] = []
    settled: list[Settled] = []
    is_reply: bool = False


class Notice(Struct, tag='n', array_like=True):
    """Tells a child in the tree of its zone that all is up to date here.

    :param stamp: what the store has told the sender, in short.
    """

    sender: VmId
    stamp: tuple[int, int]


class Ask(Struct, tag='a', array_like=True):
    """Asks for a sign of life."""

    sender: VmId


class Alive(Struct, tag='l', array_like=True):
    """A sign of life."""

    sender: VmId


class Tallies(Struct, tag='t', array_like=True):
    """Counts of an owner, for the decider of a move."""

    tallies: list[Tally]


Message = Rumours | Compare | Notice | Ask | Alive | Tallies

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def read_message(data: bytes) -> Message:
    """Decode a datagram.

    :raises msgspec.MsgspecError: if it is none of ours.
    """
    return _decoder.decode(data)


def write_message(message: Message) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(message)
