"""Names of the streams of the log, and the record of the audit stream."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.typing import Offset, ServiceName, VmId

#: Tickets of operators and verdicts of moves.
CONFIG_STREAM = 'config'
#: Steps of moves, recorded for operators.
AUDIT_STREAM = 'audit'
#: Snapshots of the state that ``config`` defines, for readers that start
#: after its oldest records have expired.
CHECKPOINTS_STREAM = 'checkpoints'
#: Addresses of daemons in each availability zone.
GATEWAYS_STREAM = 'gateways'


class AuditLine(Struct, frozen=True, kw_only=True):
    """One step of a move, as recorded on the ``audit`` stream.

    :param move: offset of the ticket record that began the move.
    """

    at: datetime
    vm: VmId
    move: Offset
    service: ServiceName
    text: str
