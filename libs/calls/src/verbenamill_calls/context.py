"""What calls need to know of the rest of the daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from verbenamill_model.state import Snapshot
from verbenamill_model.traffic import Member, Observation, Shares
from verbenamill_model.typing import ServiceName, VmId
from verbenamill_runtime import Clock


@dataclass(frozen=True, kw_only=True)
class CallContext:
    """Closures over configuration, membership and moves.

    :param member: this daemon.
    :param snapshot: the configuration in force here.
    :param members: all daemons alive, this one included.
    :param shares: share of a service's calls that each version gets.
    :param observe: told of each call to the own upstream that ended.
    """

    member: Callable[[], Member]
    snapshot: Callable[[], Snapshot]
    members: Callable[[], dict[VmId, Member]]
    shares: Callable[[ServiceName], Shares]
    observe: Callable[[Observation], None]
    clock: Clock
    random: Random
