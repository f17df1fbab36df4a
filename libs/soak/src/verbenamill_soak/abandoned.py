"""Finds requests that were given up while an upstream was at work."""

from collections import defaultdict

from msgspec import Struct

from verbenamill_soak.callers import DEADLINE, Asked
from verbenamill_soak.nodes import Node
from verbenamill_soak.upstreams import Upstream

#: Answers by which work is given up, and times left to the deadline, in
#: seconds, above which they do that. The routes' own timeout is longer. At the
#: deadline 502 is as good as 504: the owner says that there was no answer in
#: time, some ms early at most, since its time is told in whole ms.
_GIVING_UP = {502: 0.01, 504: 0.3}
#: Harm this long before a request may still have its effect on it, in s.
_AFTERMATH = 3.0


class _Run(Struct, frozen=True):
    """One run of a request, and the VM whose daemon had it run."""

    node: Node
    upstream: Upstream
    at: float


class Work:
    """Where requests have run."""

    def __init__(self) -> None:
        self._runs: dict[str, list[_Run]] = defaultdict(list)

    def note(self, id: str, node: Node, upstream: Upstream, at: float) -> None:
        """A request began to run."""
        self._runs[id].append(_Run(node, upstream, at))

    def find_given_up(self, asked: Asked, taker: Node) -> str:
        """Who was at work, or had ended well, on one given up; or nothing.

        That harm excuses which fits to the request: of the daemon that took
        it, of the one that had it run, of the links of both, and of that
        upstream. Closed connections have a stricter promise of their own.
        """
        if not _is_given_up(asked):
            return ''
        since = asked.sent_at - _AFTERMATH
        if _is_harmed(taker, since):
            return ''
        for run in self._runs[asked.id]:
            if run.at <= asked.ended_at and _is_sound(run, since):
                return (
                    f'{asked.id} got {asked.status} after '
                    f'{asked.ended_at - asked.sent_at:.3f} s; it ran at '
                    f'{run.upstream.instance} from '
                    f'{run.at - asked.sent_at:.3f} s'
                )
        return ''


def _is_given_up(asked: Asked) -> bool:
    least = _GIVING_UP.get(asked.status)
    left = asked.sent_at + DEADLINE - asked.ended_at
    return least is not None and left > least


def _is_harmed(node: Node, since: float) -> bool:
    return (
        node.is_paused
        or node.harmed_at >= since
        or not node.peers.is_sound(since)
    )


def _is_sound(run: _Run, since: float) -> bool:
    return not (
        _is_harmed(run.node, since)
        or not run.node.to_upstream.is_sound(since)
        or run.upstream.died_at >= since
        or run.upstream.fails
    )
