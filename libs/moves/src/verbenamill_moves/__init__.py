"""Evidence, stages and verdicts of moves between upstream versions."""

from verbenamill_moves.actions import Action, Note, Publish, Send, Settle
from verbenamill_moves.choice import decider_of, reports_now
from verbenamill_moves.decider import Decider
from verbenamill_moves.evidence import Evidence
from verbenamill_moves.split import shares
from verbenamill_moves.state import (
    REPORT_KIND,
    TOPIC,
    MoveState,
    decode_move_states,
    encode_move_state,
    merge_states,
    move_key,
)
from verbenamill_moves.view import CAUTIONS, Caution

__all__ = (
    'REPORT_KIND',
    'TOPIC',
    'CAUTIONS',
    'Action',
    'Caution',
    'Decider',
    'Evidence',
    'MoveState',
    'Note',
    'Publish',
    'Send',
    'Settle',
    'decider_of',
    'decode_move_states',
    'encode_move_state',
    'merge_states',
    'move_key',
    'reports_now',
    'shares',
)
