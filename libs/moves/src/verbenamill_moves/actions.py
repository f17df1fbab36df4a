"""What a decider asks its daemon to do."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.tickets import VerdictRecord
from verbenamill_model.typing import Offset, ServiceName, VmId
from verbenamill_moves.state import MoveState


class PublishState(Struct, frozen=True, kw_only=True):
    """Tell the other daemons a move's new state."""

    move: Offset
    state: MoveState


class AppendVerdict(Struct, frozen=True, kw_only=True):
    """Append a verdict; given again until it is in force."""

    record: VerdictRecord


class SendReport(Struct, frozen=True, kw_only=True):
    """Send a report to the decider of another availability zone."""

    recipient: VmId
    body: bytes


class WriteAuditLine(Struct, frozen=True, kw_only=True):
    """A step and its cause, for the audit trail."""

    at: datetime
    move: Offset
    service: ServiceName
    text: str


Action = PublishState | AppendVerdict | SendReport | WriteAuditLine
