"""What the daemons tell each other about a running move."""

from collections.abc import Mapping

import msgspec
from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, Offset

#: Topic of the mesh that carries move states, keyed by :func:`move_key`.
MOVES_TOPIC = 'moves'
#: Kind of mesh message that carries an owner's evidence to a decider.
REPORT_KIND = 'evidence'


class MoveState(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State of one move; two of them always merge to the same third.

    :param stages: highest stage that each availability zone permits.
    :param veto: the version is bad and gets no traffic anywhere; wins over
        every stage and is never lifted.
    :param reason: evidence behind the veto, in a sentence.
    """

    stages: dict[AvailabilityZone, int] = {}
    veto: bool = False
    reason: str = ''


_decoder = msgspec.msgpack.Decoder(MoveState)


def move_key(move: Offset) -> str:
    """Key of a move on the topic."""
    return str(move)


def encode_move_state(state: MoveState) -> bytes:
    """Encode a state for the topic; equal states have equal bytes."""
    return msgspec.msgpack.encode(state, order='deterministic')


def decode_move_states(entries: Mapping[str, bytes]) -> dict[Offset, MoveState]:
    """Decode the entries of the topic; unreadable ones are left out.

    A move whose state is left out gives the new version no traffic.
    """
    states = {}
    for key, body in entries.items():
        state = _decode(body)
        if state is not None and key.isdecimal():
            states[Offset(int(key))] = state
    return states


def merge_states(old: bytes | None, new: bytes) -> bytes:
    """Merge two encoded states; order and repetition make no difference."""
    known = None if old is None else _decode(old)
    told = _decode(new)
    return encode_move_state(
        join_states(known or MoveState(), told or MoveState())
    )


def join_states(one: MoveState, other: MoveState) -> MoveState:
    """Merge two states: the higher stage per zone, and either one's veto."""
    zones = {*one.stages, *other.stages}
    reasons = {one.reason, other.reason} - {''}
    return MoveState(
        stages={
            zone: max(one.stages.get(zone, 0), other.stages.get(zone, 0))
            for zone in zones
        },
        veto=one.veto or other.veto,
        # Any rule that ignores the order will do.
        reason=min(reasons, default=''),
    )


def _decode(body: bytes) -> MoveState | None:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        # A peer of a later release may write what this one cannot read; a
        # crash here would take the daemon down with each exchange.
        return None
