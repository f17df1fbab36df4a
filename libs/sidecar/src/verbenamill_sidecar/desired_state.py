"""What this daemon knows of the operators' wishes."""

import zlib
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from verbenamill_model.typing import ServiceName, VersionName
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


#: What the store has told, in short: version of the configuration and number
#: of the newest order.
Stamp = tuple[int, int]


class StateSnapshot(Struct, kw_only=True):
    """All of it, as one daemon gives it to another.

    :param settled: what operators were told last of each service.
    :param verdicts: those on versions of earlier moves as well.
    :param has_verdicts: whether the store's verdicts are among them.
    """

    configuration: Configuration | None = None
    orders: dict[ServiceName, Order] = {}
    settled: dict[ServiceName, SettledOrder] = {}
    progress: dict[ServiceName, Progress] = {}
    verdicts: list[SettledOrder] = []
    has_verdicts: bool = False


_decoder = msgspec.msgpack.Decoder(StateSnapshot)


def encode_snapshot(known: StateSnapshot) -> bytes:
    """Encode it for another daemon.

    Routes resemble each other, so a fast compression saves five sixths of
    the bytes; a thin link is busy for that much less.
    """
    return zlib.compress(msgspec.msgpack.encode(known), level=1)


def decode_snapshot(body: bytes) -> StateSnapshot | None:
    """Decode what another daemon gave; ``None`` if it cannot be read."""
    try:
        return _decoder.decode(zlib.decompress(body))
    except (msgspec.MsgspecError, zlib.error):
        return None


class DesiredState:
    """Merges what comes from the store and from other daemons.

    Everything only grows: versions of the configuration, numbers of orders,
    stages. So it does not matter in which order things come, how often, or
    from whom; nothing goes back.

    :ivar changes: counts the changes of orders and their progress.
    """

    def __init__(self) -> None:
        self._known = StateSnapshot()
        self._table: RouteTable | None = None
        self._shares: dict[ServiceName, Shares] = {}
        self._verdicts: dict[ServiceName, Verdicts] = {}
        self.changes = 0

    @property
    def has_verdicts(self) -> bool:
        """Whether all verdicts that the store had are known."""
        return self._known.has_verdicts

    @property
    def table(self) -> RouteTable | None:
        """Routes in force."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the configuration; -1 before any."""
        configuration = self._known.configuration
        return -1 if configuration is None else configuration.version

    @property
    def newest_order(self) -> int:
        """Number of the newest order; -1 before any."""
        return max(
            (order.id for order in self._known.orders.values()), default=-1
        )

    @property
    def stamp(self) -> Stamp:
        """What the store has told, in short; it only grows."""
        return self.version, self.newest_order

    def lacks(self, stamp: Stamp) -> bool:
        """Whether another daemon knows something that this one does not."""
        return stamp[0] > self.version or stamp[1] > self.newest_order

    @property
    def known(self) -> StateSnapshot:
        """All of it."""
        self._known.verdicts = [
            settled
            for verdicts in self._verdicts.values()
            for settled in verdicts.known
        ]
        return self._known

    def shares(self, service: ServiceName) -> Shares:
        """How a service's requests are split between versions."""
        found = self._shares.get(service)
        if found is None:
            found = find_shares(
                self._known.orders.get(service),
                self._known.settled.get(service),
                self._known.progress.get(service),
                taken_back=self._verdicts_of(service).taken_back,
            )
            self._shares[service] = found
        return found

    def running(self) -> list[Order]:
        """Orders that no verdict is known of."""
        return [
            order
            for service, order in self._known.orders.items()
            if not self._is_settled(service, order)
        ]

    def progress_of(self, order: Order) -> Progress:
        """How far an order is."""
        known = self._known.progress.get(order.service)
        if known is None or known.order != order.id:
            return Progress(service=order.service, order=order.id)
        return known

    def apply_configuration(
        self,
        configuration: Configuration,
        source: str,
    ) -> bool:
        """Run a configuration, unless a newer one is in force."""
        if configuration.version <= self.version:
            return False
        before = self.version
        self._known.configuration = configuration
        self._table = RouteTable(configuration)
        log(
            Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
            source=source,
        )
        return True

    def take_order(self, order: Order) -> bool:
        """Take in an order, unless a later one is known."""
        known = self._known.orders.get(order.service)
        if known is not None and known.id >= order.id:
            return False
        self._known.orders[order.service] = order
        self._change(order.service)
        log(
            Event.MOVE_ORDERED,
            service=order.service,
            target=order.target,
            order=order.id,
            window=order.window,
        )
        return True

    def take_settlements(self, settled: Iterable[SettledOrder]) -> None:
        """Take in all verdicts of the store."""
        for one in settled:
            self.take_settled(one)
        self._known.has_verdicts = True

    def take_settled(self, settled: SettledOrder) -> bool:
        """Take in a verdict, unless one of a later order is known."""
        if self._verdicts_of(settled.service).add(settled):
            self._change(settled.service)
        known = self._known.settled.get(settled.service)
        if known is not None and _rank(known) >= _rank(settled):
            return False
        self._known.settled[settled.service] = settled
        self._change(settled.service)
        if settled.verdict is not Verdict.RUNNING:
            log(
                Event.MOVE_SETTLED,
                move=settled.order,
                service=settled.service,
                text=f'{settled.target} {settled.verdict.value}',
            )
        return True

    def take_progress(self, progress: Progress) -> bool:
        """Take in how far a move is; tells whether it was news."""
        known = self._known.progress.get(progress.service)
        merged = progress
        if known is not None:
            merged = merge_progress(known, progress)
            if _is_same(known, merged):
                return False
        self._known.progress[progress.service] = merged
        self._change(progress.service)
        log(
            Event.MOVE_STAGE,
            move=merged.order,
            service=merged.service,
            text='vetoed' if merged.vetoed else f'stage {merged.stage}',
        )
        return True

    def take_all(self, other: StateSnapshot, source: str) -> None:
        """Take in all that another daemon knows."""
        if other.configuration is not None:
            self.apply_configuration(other.configuration, source)
        # Verdicts first: an order without its verdict seems to run still.
        for verdict in other.verdicts:
            self.take_settled(verdict)
        for settled in other.settled.values():
            self.take_settled(settled)
        self._known.has_verdicts |= other.has_verdicts
        for order in other.orders.values():
            self.take_order(order)
        for progress in other.progress.values():
            self.take_progress(progress)

    def is_past(self, version: VersionName, service: ServiceName) -> bool:
        """Whether a version gets no requests any more."""
        return not self.shares(service).allows(version)

    def _verdicts_of(self, service: ServiceName) -> Verdicts:
        return self._verdicts.setdefault(service, Verdicts())

    def _is_settled(self, service: ServiceName, order: Order) -> bool:
        settled = self._known.settled.get(service)
        return (
            settled is not None
            and settled.order >= order.id
            and settled.verdict is not Verdict.RUNNING
        )

    def _change(self, service: ServiceName) -> None:
        self._shares.pop(service, None)
        self.changes += 1


def _rank(settled: SettledOrder) -> tuple[int, bool]:
    return settled.order, settled.verdict is not Verdict.RUNNING


def _is_same(one: Progress, other: Progress) -> bool:
    """Whether two agree but for the age, which grows by itself."""
    return (
        one.order == other.order
        and min(one.stage, LAST_STAGE) == min(other.stage, LAST_STAGE)
        and one.vetoed == other.vetoed
    )
