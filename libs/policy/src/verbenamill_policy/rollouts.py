"""Moves of a service to a new version: traffic shares and merged progress."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_model.external import (
    NonNegativeSeconds,
    Number,
    NumberOrNone,
    ServiceField,
    StageNumber,
    VersionField,
)
from verbenamill_model.typing import ServiceName, VersionName


class Order(Struct, frozen=True, kw_only=True):
    """An operator's order to move a service to a version.

    :param id: number that increases with each order and identifies it.
    :param window: time in which the move is to be done, in seconds.
    """

    id: Number
    service: ServiceField
    target: VersionField
    window: NonNegativeSeconds


@unique
class Verdict(Enum):
    """State of an order as reported to the operator."""

    RUNNING = 'running'
    DONE = 'done'
    TAKEN_BACK = 'taken-back'


class SettledOrder(Struct, frozen=True, kw_only=True):
    """The verdict on an order that was reported to the operator."""

    order: NumberOrNone
    service: ServiceField
    target: VersionField
    verdict: Verdict


class Stage(Struct, frozen=True):
    """One stage of a move.

    :param share: share of the service's requests that the new version gets.
    :param begins: share of the window after which the stage may begin.
    """

    share: float
    begins: float


#: Stages of a move. A version that turns bad late or only under load must get
#: less than a tenth of all requests of the window until it is detected. Before
#: the stage with nearly all requests it gets 5 % of them; the rest is what
#: that stage sends until the detection. In that stage the old version keeps a
#: small share: without answers of both versions from the same seconds, a fault
#: that affects both would be attributed to the new one.
STAGES = (
    Stage(0, 0),
    Stage(0.03, 0),
    Stage(0.15, 0.42),
    Stage(0.4, 0.5),
    Stage(0.94, 0.58),
    Stage(1, 0.73),
)
LAST_STAGE = len(STAGES) - 1
#: Share of the window after which a move without a finding is declared done.
DONE_AT = 0.8
#: Maximum number of versions of a service whose verdicts are remembered. A
#: version that was taken back is stopped within minutes, and a service has
#: only a few moves in that time.
MAX_VERSIONS = 16
#: Share of the window after which a move is given up if no upstream of its
#: version has become ready.
GIVE_UP_AT = 0.95


class Progress(Struct, frozen=True, array_like=True):
    """Progress of a move; two records merge to the more advanced one.

    :param vetoed: whether the version was vetoed, which overrides every stage.
    :param age: time since the order was first seen, in seconds.
    """

    service: ServiceField
    order: Number
    stage: StageNumber = 0
    vetoed: bool = False
    age: NonNegativeSeconds = 0


def merge_progress(one: Progress, other: Progress) -> Progress:
    """Join the progress known to two daemons; the join is commutative."""
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
    """Distribution of a service's requests over its versions.

    :param target: version of the newest order; ``None`` without any order.
    :param share: share of the requests that the target gets, from 0 to 1.
    :param taken_back: versions of earlier moves that were found to be bad.
    """

    target: VersionName | None = None
    share: float = 0
    taken_back: frozenset[VersionName] = frozenset()

    def allows(self, version: VersionName) -> bool:
        """Whether a version may get requests."""
        if self.target is None:
            return True
        if version == self.target:
            return self.share > 0
        return self.share < 1 and version not in self.taken_back


class Verdicts:
    """The latest verdict on each version of one service.

    The upstreams of a version that was taken back keep running for seconds.
    If only the newest order were remembered, such a version would count as an
    old one as soon as the next move is ordered, and fail requests again. A
    later verdict on the same version replaces the earlier one, so that a
    version that was repaired under its old name is not excluded for ever.
    """

    def __init__(self) -> None:
        self._by_version: dict[VersionName, SettledOrder] = {}

    @property
    def taken_back(self) -> frozenset[VersionName]:
        """Versions whose latest verdict is that they were taken back."""
        return frozenset(
            version
            for version, settled in self._by_version.items()
            if settled.verdict is Verdict.TAKEN_BACK
        )

    @property
    def known(self) -> list[SettledOrder]:
        """All verdicts, to be sent to other daemons."""
        return list(self._by_version.values())

    def add(self, settled: SettledOrder) -> bool:
        """Add a verdict, and return whether it changed anything.

        The order in which verdicts arrive does not matter.
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
    """Find the shares in force for a service.

    A daemon that knows an order but no stage sends the new version nothing.
    A daemon that knows the verdict on the order needs no progress.
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
    """Distributes the target's share evenly over a service's requests."""

    def __init__(self) -> None:
        self._credits: dict[ServiceName, float] = {}

    def wants_target(self, service: ServiceName, share: float) -> bool:
        """Whether the next request goes to the target."""
        if share <= 0 or share >= 1:
            return share >= 1
        # The initial credit is half a request. With any other value, many
        # daemons that start together would all send the target their first
        # request, or none for a long time.
        credit = self._credits.get(service, 0.5) + share
        is_due = credit >= 1
        self._credits[service] = credit - is_due
        return is_due
