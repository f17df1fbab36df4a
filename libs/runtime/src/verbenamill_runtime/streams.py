"""Streams of the log, and the record of the audit trail."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.typing import Offset, ServiceName, VmId

#: Tickets of operators, and the verdicts of moves.
CONFIG_STREAM = 'config'
#: Steps of moves, for people.
AUDIT_STREAM = 'audit'
#: States of ``config``, for readers that come after its head has expired.
CHECKPOINTS_STREAM = 'checkpoints'
#: Addresses of daemons in each availability zone.
GATEWAYS_STREAM = 'gateways'


class AuditLine(Struct, frozen=True, kw_only=True):
    """One step of a move as it stands on the ``audit`` stream.

    :param move: offset of the ticket record that began the move.
    """

    at: datetime
    vm: VmId
    move: Offset
    service: ServiceName
    text: str
