"""The state that operators have published, as far as this daemon knows it."""

import zlib
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from verbenamill_model.external import decode_external, decompress_external
from verbenamill_model.typing import (
    AvailabilityZone,
    ServiceName,
    VersionName,
)
from verbenamill_policy.evacuations import Evacuation, Evacuations
from verbenamill_policy.rollouts import (
    LAST_STAGE,
    Order,
    Progress,
    SettledOrder,
    Shares,
    Verdict,
    Verdicts,
    find_shares,
    merge_progress,
)
from verbenamill_policy.routes import Configuration, RouteTable
from verbenamill_telemetry import Event, log

#: Version of the configuration, and number of the newest order or evacuation.
VersionStamp = tuple[int, int]
#: Stamp of a daemon that knows nothing yet.
NO_STAMP: VersionStamp = (-1, -1)


#: Least format of a snapshot whose configuration is complete. Software before
#: it drops the organisations, so that callers would need no keys.
_COMPLETE_FORMAT = 1


class StateSnapshot(Struct, kw_only=True):
    """The whole desired state, as one daemon sends it to another.

    :param settled: what operators were last told about each service.
    :param verdicts: the verdicts, including those on earlier moves.
    :param has_verdicts: whether the verdicts of the store are included.
    :param format: what the sender's software reads of a configuration.
    """

    configuration: Configuration | None = None
    orders: dict[ServiceName, Order] = {}
    settled: dict[ServiceName, SettledOrder] = {}
    progress: dict[ServiceName, Progress] = {}
    verdicts: list[SettledOrder] = []
    has_verdicts: bool = False
    evacuations: list[Evacuation] = []
    format: int = _COMPLETE_FORMAT


class _ReceivedSnapshot(StateSnapshot):
    """A snapshot of another daemon, whose software may send no format."""

    format: int = 0


_decoder = msgspec.msgpack.Decoder(_ReceivedSnapshot)
#: Longest snapshot of another daemon before its compression, in bytes.
_MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024


def encode_snapshot(snapshot: StateSnapshot) -> bytes:
    """Encode a snapshot for another daemon.

    Routes resemble each other, so a fast compression saves five sixths of the
    bytes and shortens the load on a slow link accordingly.
    """
    return zlib.compress(msgspec.msgpack.encode(snapshot), level=1)


def decode_snapshot(body: bytes) -> StateSnapshot | None:
    """Decode a snapshot of another daemon; ``None`` if it is malformed."""
    try:
        return decode_external(
            _decoder,
            decompress_external(body, limit=_MAX_SNAPSHOT_BYTES),
        )
    except ValueError:
        return None


class DesiredState:
    """Merges what the store and other daemons report.

    All parts only grow: configuration versions, order numbers and stages. The
    result therefore does not depend on the order, number or source of updates,
    and no update reverts a newer one.

    :ivar changes: counts the changes of orders, progress and verdicts.
    """

    def __init__(self) -> None:
        self._snapshot = StateSnapshot()
        self._table: RouteTable | None = None
        self._shares: dict[ServiceName, Shares] = {}
        self._verdicts: dict[ServiceName, Verdicts] = {}
        self._evacuations = Evacuations()
        self._newest_record = -1
        self.changes = 0

    @property
    def has_verdicts(self) -> bool:
        """Whether all verdicts that the store held are known."""
        return self._snapshot.has_verdicts

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; ``None`` before any configuration."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the configuration in force; -1 before any."""
        configuration = self._snapshot.configuration
        return -1 if configuration is None else configuration.version

    @property
    def evacuated_zones(self) -> frozenset[AvailabilityZone]:
        """Zones whose upstreams get no requests."""
        return self._evacuations.zones

    @property
    def newest_record(self) -> int:
        """Number of the newest order or evacuation; -1 before any.

        Both are positions in the same log.
        """
        return self._newest_record

    @property
    def stamp(self) -> VersionStamp:
        """Version stamp of this state; it only grows."""
        return self.version, self.newest_record

    def is_older_than(self, stamp: VersionStamp) -> bool:
        """Whether a state with this stamp contains anything newer."""
        return stamp[0] > self.version or stamp[1] > self.newest_record

    @property
    def snapshot(self) -> StateSnapshot:
        """The whole state, to be sent to another daemon."""
        self._snapshot.verdicts = [
            settled
            for verdicts in self._verdicts.values()
            for settled in verdicts.known
        ]
        self._snapshot.evacuations = self._evacuations.known
        return self._snapshot

    def shares(self, service: ServiceName) -> Shares:
        """The split of a service's requests between its versions."""
        found = self._shares.get(service)
        if found is None:
            found = find_shares(
                self._snapshot.orders.get(service),
                self._snapshot.settled.get(service),
                self._snapshot.progress.get(service),
                taken_back=self._verdicts_on(service).taken_back,
            )
            self._shares[service] = found
        return found

    def running_orders(self) -> list[Order]:
        """Orders without a known verdict."""
        return [
            order
            for service, order in self._snapshot.orders.items()
            if not self._is_settled(service, order)
        ]

    def progress_of(self, order: Order) -> Progress:
        """The progress of an order."""
        known = self._snapshot.progress.get(order.service)
        if known is None or known.order != order.id:
            return Progress(service=order.service, order=order.id)
        return known

    def apply_configuration(
        self,
        configuration: Configuration,
        source: str,
    ) -> bool:
        """Apply a configuration, unless it is no newer than the current one."""
        if configuration.version <= self.version:
            return False
        before = self.version
        self._snapshot.configuration = configuration
        self._table = RouteTable(configuration)
        log(
            Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            source=source,
        )
        return True

    def apply_evacuation(self, evacuation: Evacuation) -> bool:
        """Apply a record on a zone, unless this or a later one is known."""
        self._newest_record = max(self._newest_record, evacuation.number)
        if not self._evacuations.apply(evacuation):
            return False
        log(
            Event.ZONE_EVACUATED
            if evacuation.is_active
            else Event.ZONE_RETURNED,
            zone=evacuation.zone,
            number=evacuation.number,
        )
        return True

    def apply_listed_evacuations(
        self, listed: Iterable[Evacuation], *, end: int
    ) -> None:
        """End the evacuations that a complete listing of the log lacks."""
        for ended in self._evacuations.find_ended(listed, end=end):
            self.apply_evacuation(ended)

    def apply_order(self, order: Order) -> bool:
        """Apply an order, unless this or a later one is known."""
        known = self._snapshot.orders.get(order.service)
        if known is not None and known.id >= order.id:
            return False
        self._snapshot.orders[order.service] = order
        self._newest_record = max(self._newest_record, order.id)
        self._invalidate_shares(order.service)
        log(
            Event.MOVE_ORDERED,
            service=order.service,
            target=order.target,
            order=order.id,
            window=order.window,
        )
        return True

    def apply_stored_verdicts(self, settled: Iterable[SettledOrder]) -> None:
        """Apply all verdicts that the store holds."""
        for verdict in settled:
            self.apply_verdict(verdict)
        self._snapshot.has_verdicts = True

    def apply_verdict(self, settled: SettledOrder) -> bool:
        """Apply a verdict, unless this or a later one is known."""
        if self._verdicts_on(settled.service).add(settled):
            self._invalidate_shares(settled.service)
        known = self._snapshot.settled.get(settled.service)
        if known is not None and _order_key(known) >= _order_key(settled):
            return False
        self._snapshot.settled[settled.service] = settled
        self._invalidate_shares(settled.service)
        if settled.verdict is not Verdict.RUNNING:
            log(
                Event.MOVE_SETTLED,
                move=settled.order,
                service=settled.service,
                text=f'{settled.target} {settled.verdict.value}',
            )
        return True

    def apply_progress(self, progress: Progress) -> bool:
        """Merge the progress of a move; returns whether it changed."""
        known = self._snapshot.progress.get(progress.service)
        merged = progress
        if known is not None:
            merged = merge_progress(known, progress)
            if _is_same(known, merged):
                return False
        self._snapshot.progress[progress.service] = merged
        self._invalidate_shares(progress.service)
        log(
            Event.MOVE_STAGE,
            move=merged.order,
            service=merged.service,
            text='vetoed' if merged.vetoed else f'stage {merged.stage}',
        )
        return True

    def apply_snapshot(self, other: StateSnapshot, source: str) -> None:
        """Merge the snapshot of another daemon.

        An incomplete configuration is left out. This daemon then remains
        behind, and reads the store itself unless a complete one comes.
        """
        # Evacuations come first: with a configuration, the daemon is ready.
        for evacuation in other.evacuations:
            self.apply_evacuation(evacuation)
        is_complete = other.format >= _COMPLETE_FORMAT
        if other.configuration is not None and is_complete:
            self.apply_configuration(other.configuration, source)
        # Verdicts come first: an order without its verdict appears to run.
        for verdict in other.verdicts:
            self.apply_verdict(verdict)
        for settled in other.settled.values():
            self.apply_verdict(settled)
        self._snapshot.has_verdicts |= other.has_verdicts
        for order in other.orders.values():
            self.apply_order(order)
        for progress in other.progress.values():
            self.apply_progress(progress)

    def is_retired(self, version: VersionName, service: ServiceName) -> bool:
        """Whether a version no longer gets requests."""
        return not self.shares(service).allows(version)

    def _verdicts_on(self, service: ServiceName) -> Verdicts:
        return self._verdicts.setdefault(service, Verdicts())

    def _is_settled(self, service: ServiceName, order: Order) -> bool:
        settled = self._snapshot.settled.get(service)
        return (
            settled is not None
            and settled.order >= order.id
            and settled.verdict is not Verdict.RUNNING
        )

    def _invalidate_shares(self, service: ServiceName) -> None:
        self._shares.pop(service, None)
        self.changes += 1


def _order_key(settled: SettledOrder) -> tuple[int, bool]:
    return settled.order, settled.verdict is not Verdict.RUNNING


def _is_same(one: Progress, other: Progress) -> bool:
    """Whether two are equal apart from the age, which grows with time."""
    return (
        one.order == other.order
        and min(one.stage, LAST_STAGE) == min(other.stage, LAST_STAGE)
        and one.vetoed == other.vetoed
    )
