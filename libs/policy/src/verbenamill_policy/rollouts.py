"""Moves of a service's traffic to a new version: shares and their merge."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_model.typing import ServiceName, VersionName


class Order(Struct, frozen=True, kw_only=True):
    """An operator's wish to move a service to a version.

    :param id: grows with each order; tells two orders for one service apart.
    :param window: time in which it is to be done, in seconds.
    """

    id: int
    service: ServiceName
    target: VersionName
    window: float


@unique
class Verdict(Enum):
    """Where an order stands, as told to the operator."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken-back'


class SettledOrder(Struct, frozen=True, kw_only=True):
    """What was last told to the operator about a service."""

    order: int
    service: ServiceName
    target: VersionName
    verdict: Verdict


class Stage(Struct, frozen=True):
    """One step of a move.

    :param share: of the service's requests that the new version gets.
    :param begins: part of the window after which it may begin.
    """

    share: float
    begins: float


#: A version that turns bad late or only under load must not have had a tenth
#: of all requests of the window by then. Up to the stage that gives it nearly
#: all it gets 5 % of them; the rest is what that stage sends until it is found
#: out. There the old version keeps a little: without answers of both from the
#: same seconds, a fault that hits both would look like one of the new one.
STAGES = (
    Stage(0, 0),
    Stage(0.03, 0),
    Stage(0.15, 0.42),
    Stage(0.4, 0.5),
    Stage(0.94, 0.58),
    Stage(1, 0.73),
)
LAST_STAGE = len(STAGES) - 1
#: Part of the window at which a move without a finding is declared done.
DONE_AT = 0.8
#: Versions of a service whose verdicts are remembered. One that was taken
#: back is stopped within minutes; a service sees a few moves in that time.
MAX_VERSIONS = 16
#: Part of the window at which a move whose version never showed is given up.
LOST_AT = 0.95


class Progress(Struct, frozen=True, array_like=True):
    """How far a move is; two of them merge to the further one.

    :param vetoed: wins over every stage.
    :param age: time since the order was first seen, in seconds.
    """

    service: ServiceName
    order: int
    stage: int = 0
    vetoed: bool = False
    age: float = 0


def merge_progress(one: Progress, other: Progress) -> Progress:
    """Join of what two daemons know; order of arrival does not matter."""
    assert one.service == other.service
    if one.order != other.order:
        return one if one.order > other.order else other
    return Progress(
        service=one.service,
        order=one.order,
        stage=max(one.stage, other.stage),
        vetoed=one.vetoed or other.vetoed,
        age=max(one.age, other.age),
    )


class Shares(Struct, frozen=True, kw_only=True):
    """How a service's requests are split between versions.

    :param target: version of the newest order; ``None`` before any.
    :param share: part of the requests that the target gets, 0 to 1.
    :param taken_back: versions of earlier moves that were found bad.
    """

    target: VersionName | None = None
    share: float = 0
    taken_back: frozenset[VersionName] = frozenset()

    def allows(self, version: VersionName) -> bool:
        """Whether a version may get any request."""
        if self.target is None:
            return True
        if version == self.target:
            return self.share > 0
        return self.share < 1 and version not in self.taken_back


class Verdicts:
    """The verdict on each version of one service.

    The upstreams of a version that was taken back run on for seconds. With
    only the newest order remembered, such a version would count among the
    old ones as soon as the next move is ordered, and fail requests again.
    A later verdict on the same version replaces the earlier one, so that a
    version that was mended under its old name is not barred for ever.
    """

    def __init__(self) -> None:
        self._by_version: dict[VersionName, SettledOrder] = {}

    @property
    def taken_back(self) -> frozenset[VersionName]:
        """Versions whose last verdict was against them."""
        return frozenset(
            version
            for version, settled in self._by_version.items()
            if settled.verdict is Verdict.TAKEN_BACK
        )

    @property
    def known(self) -> list[SettledOrder]:
        """All verdicts, as one daemon tells them to another."""
        return list(self._by_version.values())

    def add(self, settled: SettledOrder) -> bool:
        """Take in a verdict; tells whether it was news.

        The order in which verdicts come does not matter.
        """
        if settled.verdict is Verdict.RUNNING:
            return False
        known = self._by_version.get(settled.target)
        if known is not None and known.order >= settled.order:
            return False
        self._by_version[settled.target] = settled
        if len(self._by_version) <= MAX_VERSIONS:
            return True
        oldest = min(self.known, key=lambda one: one.order)
        self._by_version.pop(oldest.target)
        return oldest is not settled


def find_shares(
    order: Order | None,
    settled: SettledOrder | None,
    progress: Progress | None,
    *,
    taken_back: frozenset[VersionName] = frozenset(),
) -> Shares:
    """Shares in force for a service.

    A daemon that has heard of an order and of no stage gives the new version
    nothing; one that knows a verdict needs nothing else.
    """
    if settled is not None and (order is None or settled.order >= order.id):
        if settled.verdict is Verdict.DONE:
            return Shares(target=settled.target, share=1, taken_back=taken_back)
        if settled.verdict is Verdict.TAKEN_BACK:
            return Shares(target=settled.target, share=0, taken_back=taken_back)
    if order is None:
        return Shares()
    if progress is None or progress.order != order.id or progress.vetoed:
        return Shares(target=order.target, share=0, taken_back=taken_back)
    stage = min(progress.stage, LAST_STAGE)
    return Shares(
        target=order.target, share=STAGES[stage].share, taken_back=taken_back
    )


class VersionCounter:
    """Spreads the target's share evenly over a service's requests."""

    def __init__(self) -> None:
        self._credits: dict[ServiceName, float] = {}

    def wants_target(self, service: ServiceName, share: float) -> bool:
        """Whether the next request goes to the target."""
        if share <= 0 or share >= 1:
            return share >= 1
        # Half a request of credit at first: many daemons that begin
        # together would all send their first one at once, or none for long.
        credit = self._credits.get(service, 0.5) + share
        wanted = credit >= 1
        self._credits[service] = credit - wanted
        return wanted
