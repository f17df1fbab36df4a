"""Who heeds the limits and leaves that upstreams name in their answers."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from verbenamill_platform_standins.upstream import Arrival
from verbenamill_soak.callers import Asked, Ending
from verbenamill_soak.nodes import Node
from verbenamill_soak.cluster import Site
from verbenamill_soak.upstreams import DRAIN_TIME, Upstream

#: What an upstream may get beyond its limit: a factor and requests, in a span
#: of time that begins this long after it was first named, in seconds.
_FACTOR = 1.5
_SLACK = 5
_SPAN = 4.0
_GRACE = 3.0
#: Time from an answer that names a limit until its daemon is bound, in seconds.
_HEARD = 0.5

#: One start of an upstream, and one life of a daemon.
_Start = tuple[str, int]
_Life = tuple[str, int]


class _Reached(NamedTuple):
    """A request that reached an upstream."""

    upstream: Upstream
    arrival: Arrival

    @property
    def start(self) -> _Start:
        """The start of the upstream that it reached."""
        return self.upstream.name, self.arrival.born


class InBandPromises:
    """Looks at what daemons send after they have passed an answer on.

    What an upstream says binds each daemon from the first such answer that it
    passed on, until it is harmed itself. The daemon beside the upstream may be
    killed meanwhile.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._looked_at: dict[str, int] = defaultdict(int)
        self._reached: dict[str, list[_Reached]] = defaultdict(list)
        self._named_at: dict[_Start, float] = {}
        self._limit_told: dict[tuple[_Start, _Life], float] = {}
        self._leave_told: dict[tuple[_Start, _Life], float] = {}
        self._counted: dict[_Start, list[float]] = defaultdict(list)
        self._upstreams: dict[str, Upstream] = {}

    def look(self) -> None:
        """Take in what has reached upstreams."""
        for node in self._site.nodes:
            for upstream in node.upstreams:
                first = self._looked_at[upstream.name]
                for arrival in upstream.arrivals[first:]:
                    reached = _Reached(upstream, arrival)
                    self._reached[arrival.id].append(reached)
                self._looked_at[upstream.name] = len(upstream.arrivals)
                self._upstreams[upstream.name] = upstream

    def take(self, asked: Asked, taker: Node) -> Iterator[str]:
        """Take in a request that has ended; tells of leaves not heeded."""
        life = (asked.vm, asked.life)
        for reached in self._reached.pop(asked.id, ()):
            key = (reached.start, life)
            told = self._leave_told.get(key)
            is_bound = told is not None and _is_bound(taker, told)
            if is_bound and asked.sent_at > (told or 0) + DRAIN_TIME:
                yield (
                    f'{asked.id} reached {reached.upstream.instance}, sent '
                    f'{asked.sent_at - (told or 0):.2f} s after {asked.vm} had '
                    'passed its word on'
                )
            self._count(reached, key, taker)
            self._note(reached, key, asked, taker)

    def find_excess(self) -> Iterator[tuple[str, str]]:
        """Upstreams that got more than their limit, and how much."""
        for start, times in self._counted.items():
            first = self._named_at.get(start, float('inf')) + _GRACE
            times.sort()
            begin = 0
            for place, at in enumerate(times):
                since = max(at - _SPAN, first)
                while begin < place and times[begin] < since:
                    begin += 1
                found = place - begin + 1
                rate = self._upstreams[start[0]].most_allowed(since, at)
                if rate is None or at < first:
                    continue
                if found > _FACTOR * rate * _SPAN + _SLACK:
                    text = f'{found} in {_SPAN:g} s where {rate:.3g} a second'
                    yield start[0], f'{start[0]}: {text} were named'

    def _count(
        self,
        reached: _Reached,
        key: tuple[_Start, _Life],
        taker: Node,
    ) -> None:
        told = self._limit_told.get(key)
        at = reached.arrival.at
        if told is not None and _is_bound(taker, told) and at >= told + _HEARD:
            self._counted[reached.start].append(at)

    def _note(
        self,
        reached: _Reached,
        key: tuple[_Start, _Life],
        asked: Asked,
        taker: Node,
    ) -> None:
        """Note what the daemon that took a request has passed on with it.

        One that was harmed since it was told is bound again from now on.
        """
        if asked.ending is not Ending.ANSWERED or not asked.seal:
            return
        arrival = reached.arrival
        if arrival.limit is not None:
            _tell(self._limit_told, key, asked, taker)
            self._named_at.setdefault(reached.start, arrival.at)
        if arrival.signals_leaving:
            _tell(self._leave_told, key, asked, taker)


def _tell(
    told: dict[tuple[_Start, _Life], float],
    key: tuple[_Start, _Life],
    asked: Asked,
    taker: Node,
) -> None:
    known = told.get(key)
    if known is None or not _is_bound(taker, known):
        told[key] = asked.ended_at


def _is_bound(node: Node, since: float) -> bool:
    """Whether nothing has excused a daemon since a moment."""
    return not (
        node.is_paused
        or node.harmed_at >= since
        or not node.peers.is_sound(since)
    )
