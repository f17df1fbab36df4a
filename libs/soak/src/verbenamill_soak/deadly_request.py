"""Counts the runs of a request that crashes the upstreams that run it."""

from collections.abc import Iterator

from msgspec import Struct

from verbenamill_soak.nodes import Node
from verbenamill_soak.cluster import Site

#: Crashes after which the request has to be stopped, time until then in
#: seconds, and runs that are allowed after that time.
_CRASHES = 3
_WINDOW = 3.0
MOST_LATE = 3


class _Run(Struct, frozen=True):
    """One run; ``is_calm``: no trouble at the VMs that had a hand in it."""

    id: str
    at: float
    is_calm: bool


class DeadlyRuns:
    """Runs of the deadly request, over all upstreams."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._runs: list[_Run] = []

    def note(self, id: str, owner: Node, at: float) -> None:
        """An upstream began to run it.

        :param id: begins with the name of the VM where the request came.
        """
        name = id.partition('-')[0]
        takers = [node for node in self._site.nodes if node.name == name]
        involved = (owner, *takers)
        is_calm = all(self._site.is_calm(one, at - _WINDOW) for one in involved)
        self._runs.append(_Run(id, at, is_calm))

    def find_late(self) -> list[str]:
        """Runs later than the window after the third crash, as text."""
        crashes = sorted(self._find_crashes())
        if len(crashes) < _CRASHES:
            return []
        end = crashes[_CRASHES - 1] + _WINDOW
        return [
            f'{run.id} {run.at - end:.2f} s late'
            for run in self._runs
            if run.is_calm and run.at > end
        ]

    def _find_crashes(self) -> Iterator[float]:
        for node in self._site.nodes:
            for upstream in node.upstreams:
                yield from upstream.killed_at
