"""Status of a daemon for operators and their tools."""

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, VmId


class Status(Struct, frozen=True, kw_only=True):
    """Answer of a daemon's admin API to ``GET /status``.

    :param offset: offset of the last applied record of the log.
    :param version: offset of the record that created the snapshot in force.
    :param digest: digest of the state at ``offset``.
    :param ready: whether it has the configuration and accepts calls.
    :param members: number of known daemons, including this one.
    :param moves: number of running moves.
    """

    id: VmId
    availability_zone: AvailabilityZone
    offset: int
    version: int
    digest: str
    ready: bool
    members: int
    moves: int
