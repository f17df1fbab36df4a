"""What a daemon says of itself to operators and their tools."""

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId


class Status(Struct, frozen=True, kw_only=True):
    """What ``GET /status`` of a daemon's admin API answers.

    :param offset: last record of the log that was folded in.
    :param version: offset of the record that made the snapshot in force.
    :param digest: digest of the state at ``offset``.
    :param ready: whether it has the configuration and takes calls.
    :param members: daemons known, this one included.
    :param moves: running moves.
    """

    id: VmId
    availability_zone: AvailabilityZone
    offset: int
    version: int
    digest: str
    ready: bool
    members: int
    moves: int
