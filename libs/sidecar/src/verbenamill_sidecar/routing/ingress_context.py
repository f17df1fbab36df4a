"""Dependencies of the ingress on the rest of the daemon."""

from collections.abc import Callable
from random import Random

from msgspec import Struct

from verbenamill_model.typing import (
    AvailabilityZone,
    RegionName,
    ServiceName,
    VmId,
)
from verbenamill_policy.process_lifetime import ProcessLifetime
from verbenamill_policy.rollouts import Shares
from verbenamill_policy.routes import RouteTable
from verbenamill_sidecar.membership.peers import Peers
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.quarantine.suspects import SuspectGate
from verbenamill_sidecar.quotas.gate import QuotaGate
from verbenamill_sidecar.routing.load_probes import LoadProbes
from verbenamill_sidecar.state.desired_state import VersionStamp
from verbenamill_sidecar.stats import CallStats
from verbenamill_sidecar.upstream.local_upstream import LocalUpstream


class IngressContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the ingress on the rest of the daemon.

    :param lifetime: tells what can still end before the process does.
    :param table: returns the routes in force; ``None`` before any are known.
    :param shares: returns how a service is split between its versions.
    :param load_probes: asks other daemons for their load.
    :param gate: holds the requests during which upstreams crashed.
    :param quotas: admits requests within the quotas of organisations.
    :param regions: region of each zone; zones of unknown regions are absent.
    :param retry_ratio: share of the requests that the fleet may send to a
        second upstream.
    :param origin: service of this VM.
    :param sender: identifies this daemon and its incarnation to other daemons.
    :param stamp: returns the version stamp of the desired state.
    :param record_stamp: called with the version stamp of each owner.
    """

    lifetime: ProcessLifetime
    names: HeaderNames
    table: Callable[[], RouteTable | None]
    shares: Callable[[ServiceName], Shares]
    peers: Peers
    own: LocalUpstream
    stats: CallStats
    gate: SuspectGate
    quotas: QuotaGate
    retry_ratio: float
    origin: ServiceName
    sender: str
    stamp: Callable[[], VersionStamp]
    record_stamp: Callable[[VmId, VersionStamp], None]
    availability_zone: AvailabilityZone
    random: Random
    load_probes: LoadProbes
    regions: dict[AvailabilityZone, RegionName]

    @property
    def version(self) -> int | None:
        """Version of the configuration in force, for log events."""
        table = self.table()
        return None if table is None else table.configuration.version
