"""Actions that a decider asks its daemon to carry out."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.tickets import VerdictRecord
from verbenamill_model.typing import Offset, ServiceName, VmId
from verbenamill_moves.state import MoveState


class PublishState(Struct, frozen=True, kw_only=True):
    """Publish the new state of a move to the other daemons."""

    move: Offset
    state: MoveState


class AppendVerdict(Struct, frozen=True, kw_only=True):
    """Append a verdict to the log; repeated until the verdict is in force."""

    record: VerdictRecord


class SendReport(Struct, frozen=True, kw_only=True):
    """Send a report to the decider of another availability zone."""

    recipient: VmId
    body: bytes


class WriteAuditLine(Struct, frozen=True, kw_only=True):
    """Record a step of a move and its reason in the audit trail."""

    at: datetime
    move: Offset
    service: ServiceName
    text: str


Action = PublishState | AppendVerdict | SendReport | WriteAuditLine
