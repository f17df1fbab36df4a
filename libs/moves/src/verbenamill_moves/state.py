"""State of a running move that the daemons exchange."""

from collections.abc import Mapping

import msgspec
from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, Offset

#: Topic of the mesh for move states, which are keyed by :func:`move_key`.
MOVES_TOPIC = 'moves'
#: Kind of the mesh messages that carry the evidence of an owner to a decider.
REPORT_KIND = 'evidence'


class MoveState(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """State of one move; merging is independent of the order of the states.

    :param stages: highest stage that each availability zone permits.
    :param veto: whether the version is bad and gets no traffic anywhere; a
        veto overrides every stage and is never lifted.
    :param reason: description of the evidence behind the veto.
    """

    stages: dict[AvailabilityZone, int] = {}
    veto: bool = False
    reason: str = ''


_decoder = msgspec.msgpack.Decoder(MoveState)


def move_key(move: Offset) -> str:
    """Return the key of a move on the topic."""
    return str(move)


def encode_move_state(state: MoveState) -> bytes:
    """Encode a state for the topic; equal states give equal bytes."""
    return msgspec.msgpack.encode(state, order='deterministic')


def decode_move_states(entries: Mapping[str, bytes]) -> dict[Offset, MoveState]:
    """Decode the entries of the topic, except for unreadable ones.

    While the state of a move is missing, its new version gets no traffic.
    """
    states = {}
    for key, body in entries.items():
        state = _decode(body)
        if state is not None and key.isdecimal():
            states[Offset(int(key))] = state
    return states


def merge_states(old: bytes | None, new: bytes) -> bytes:
    """Merge two encoded states, regardless of order and repetition."""
    known = None if old is None else _decode(old)
    added = _decode(new)
    return encode_move_state(
        join_states(known or MoveState(), added or MoveState()),
    )


def join_states(one: MoveState, other: MoveState) -> MoveState:
    """Merge two states: the higher stage of each zone, and any veto."""
    zones = {*one.stages, *other.stages}
    reasons = {one.reason, other.reason} - {''}
    return MoveState(
        stages={
            zone: max(one.stages.get(zone, 0), other.stages.get(zone, 0))
            for zone in zones
        },
        veto=one.veto or other.veto,
        # Any rule that does not depend on the order is suitable.
        reason=min(reasons, default=''),
    )


def _decode(body: bytes) -> MoveState | None:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        # A peer of a later release may use a format that this release cannot
        # read; an exception here would stop the daemon at each exchange.
        return None
