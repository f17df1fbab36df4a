"""Evidence, stages and verdicts of moves between upstream versions."""

from verbenamill_moves.actions import (
    Action,
    AppendVerdict,
    PublishState,
    SendReport,
    WriteAuditLine,
)
from verbenamill_moves.decider import Decider
from verbenamill_moves.decider_selection import choose_decider, is_report_due
from verbenamill_moves.decision_context import (
    THRESHOLDS_BY_PROFILE,
    DecisionThresholds,
)
from verbenamill_moves.evidence import EvidenceCollector
from verbenamill_moves.state import (
    MOVES_TOPIC,
    REPORT_KIND,
    MoveState,
    decode_move_states,
    encode_move_state,
    merge_states,
    move_key,
)
from verbenamill_moves.traffic_split import split_traffic

__all__ = (
    'MOVES_TOPIC',
    'REPORT_KIND',
    'THRESHOLDS_BY_PROFILE',
    'Action',
    'AppendVerdict',
    'Decider',
    'DecisionThresholds',
    'EvidenceCollector',
    'MoveState',
    'PublishState',
    'SendReport',
    'WriteAuditLine',
    'choose_decider',
    'decode_move_states',
    'encode_move_state',
    'is_report_due',
    'merge_states',
    'move_key',
    'split_traffic',
)
