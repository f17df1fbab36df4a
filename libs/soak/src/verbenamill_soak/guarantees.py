"""Promises, checked from what callers and upstreams have seen."""

from collections import defaultdict

import trio
from msgspec import Struct

from verbenamill_platform_standins.operators import (
    COMPLETE,
    ROLLED_BACK,
    RolloutStatus,
    read_statuses,
)
from verbenamill_platform_standins.upstream import Execution
from verbenamill_soak.callers import Asked, Caller, Ending
from verbenamill_soak.deadly_request import MOST_LATE, DeadlyRuns
from verbenamill_soak.abandoned import Work
from verbenamill_soak.in_band_signals import InBandPromises
from verbenamill_soak.nodes import Node
from verbenamill_soak.cluster import KEPT, SERVICE, Site
from verbenamill_soak.upstreams import DEADLY, DRAIN_TIME, Upstream

#: How often new records are looked at, in seconds.
_PERIOD = 0.2
#: Answers that promise that a request has not run and never will.
_NOT_RUN = frozenset((408, 421, 429, 503))
_NOT_FOUND = 404
#: In the body of a refusal for crashes under a request.
_BLOCKED = b'upstreams crashed under this request'
_OK = 200
#: Time in which a configuration has to be in force, and time after a trouble
#: in which that is not asked of a VM, in seconds.
APPLY_LIMIT = 2.0
_SETTLING = 3.0
#: Time from a taken-back verdict until the version gets nothing more, in s.
BACK_LIMIT = 5.0
#: Characters of a traceback that are shown.
_SHOWN = 900
_FINAL = (COMPLETE, ROLLED_BACK)


class _Life(Struct):
    """What one life of a daemon has shown of its configuration."""

    newest: int = 0
    seen_at: float = 0


class Promises:
    """Looks at all records while a run goes on, and once more at its end."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._looked_at: dict[Caller, int] = defaultdict(int)
        self._counted: dict[str, int] = defaultdict(int)
        self._runs: dict[str, list[str]] = defaultdict(list)
        self._work = Work()
        self._deadly = DeadlyRuns(site)
        self._in_band = InBandPromises(site)
        self._fees: dict[str, Asked] = {}
        self._refused: dict[str, Asked] = {}
        self._lives: dict[tuple[str, int], _Life] = defaultdict(_Life)
        self._ended: set[tuple[str, int]] = set()
        self._told: set[str] = set()
        self._taken_back: dict[str, float] = {}

    async def watch(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await trio.sleep(_PERIOD)
            self.look()

    def look(self) -> None:
        """Look at what is new."""
        self._look_at_runs()
        self._in_band.look()
        for caller in self._site.callers:
            ended = [one for one in caller.asked if one.ended_at]
            for asked in ended[self._looked_at[caller] :]:
                self._look_at_answer(asked)
            self._looked_at[caller] = len(ended)
        for node in self._site.nodes:
            self._look_at_process(node)
        self._look_at_verdicts()
        self._look_at_deadly()
        for name, text in self._in_band.find_excess():
            self._break('a named limit is kept', name, text)

    def _break(self, promise: str, key: str, text: str) -> None:
        if f'{promise}/{key}' not in self._told:
            self._told.add(f'{promise}/{key}')
            self._site.timeline.break_promise(promise, text)

    def _look_at_runs(self) -> None:
        for node in self._site.nodes:
            for upstream in node.upstreams:
                first = self._counted[upstream.name]
                for ran in upstream.executions[first:]:
                    self._look_at_run(node, upstream, ran)
                self._counted[upstream.name] = len(upstream.executions)

    def _look_at_run(
        self, node: Node, upstream: Upstream, ran: Execution
    ) -> None:
        self._runs[ran.id].append(upstream.instance)
        self._work.note(ran.id, node, upstream, ran.at)
        if ran.path == DEADLY:
            self._deadly.note(ran.id, node, ran.at)
        self._look_at_repeats(ran.id)
        left = upstream.acked_at
        if left is not None and ran.at > left + DRAIN_TIME:
            self._break(
                'who leaves gets no work',
                ran.id,
                f'{ran.id} ran at {upstream.instance} '
                f'{ran.at - left:.2f} s after the word',
            )
        back = self._taken_back.get(upstream.version)
        if back is not None and ran.at > back + BACK_LIMIT:
            if self._site.is_calm(node, ran.at - BACK_LIMIT):
                self._break(
                    'a version taken back gets nothing',
                    ran.id,
                    f'{ran.id} ran at {upstream.instance} '
                    f'{ran.at - back:.2f} s after the verdict',
                )

    def _look_at_repeats(self, id: str) -> None:
        runs = self._runs[id]
        if id in self._fees and len(runs) > 1:
            self._break('at most once', id, f'{id} ran at {runs}')
        if id in self._refused:
            self._break('not run is true', id, f'{id} ran at {runs}')

    def _look_at_answer(self, asked: Asked) -> None:
        if asked.is_fee:
            self._fees[asked.id] = asked
            if asked.status in _NOT_RUN:
                self._refused[asked.id] = asked
            if asked.id in self._runs:
                self._look_at_repeats(asked.id)
        match asked.ending:
            case Ending.CUT:
                self._look_at_cut(asked)
            case Ending.NO_ANSWER:
                if not self._was_harmed(asked):
                    self._break('an answer in time', asked.id, str(asked))
            case Ending.ANSWERED if asked.status == _OK:
                if asked.body != f'answer to {asked.id}'.encode():
                    self._break('the own whole answer', asked.id, str(asked))
                if not asked.seal:
                    self._break('the own whole answer', asked.id, str(asked))
        if _BLOCKED in asked.body and asked.target != DEADLY:
            self._break(
                'only a deadly request is blocked', asked.id, str(asked)
            )
        given_up = self._work.find_given_up(asked, self._node_of(asked))
        if given_up:
            self._break('no work is given up', asked.id, given_up)
        self._look_at_version(asked)
        for text in self._in_band.take(asked, self._node_of(asked)):
            self._break('who leaves in band gets no work', asked.id, text)

    def _look_at_cut(self, asked: Asked) -> None:
        """A request that was read is answered, also around planned stops.

        One that crosses the close of its connection was not passed on.
        """
        if asked.id in self._runs and not self._was_harmed(asked):
            self._break('nothing is cut', asked.id, str(asked))

    def _look_at_deadly(self) -> None:
        """A request that crashes upstreams is stopped after three crashes."""
        late = self._deadly.find_late()
        if len(late) > MOST_LATE:
            self._break(
                'a deadly request is stopped', 'deadly', ', '.join(late)
            )

    def _was_harmed(self, asked: Asked) -> bool:
        node = self._node_of(asked)
        return node.is_paused or node.harmed_at >= asked.sent_at

    def _node_of(self, asked: Asked) -> Node:
        return next(n for n in self._site.nodes if n.name == asked.vm)

    def _look_at_version(self, asked: Asked) -> None:
        name = asked.path.strip('/')
        is_probe = name.startswith('v')
        if not is_probe:
            if asked.status == _NOT_FOUND:
                self._break('no false 404', asked.id, str(asked))
            return
        version = int(name[1:])
        life = self._lives[asked.vm, asked.life]
        if asked.status == _OK and version > life.newest:
            life.newest = version
            life.seen_at = asked.ended_at
        if asked.status != _NOT_FOUND or self._is_dropped(version, asked):
            return
        if life.newest >= version and asked.sent_at > life.seen_at:
            self._break('never back', asked.id, f'{asked} after {life}')
        due = self._site.published[version] + APPLY_LIMIT
        since = asked.sent_at - _SETTLING
        if asked.sent_at > due and self._site.is_calm(
            self._node_of(asked),
            min(since, due - APPLY_LIMIT),
        ):
            self._break('in force in time', asked.id, str(asked))

    def _is_dropped(self, version: int, asked: Asked) -> bool:
        """Whether a version published meanwhile lacks the route."""
        newest = max(
            number
            for number, at in self._site.published.items()
            if at <= asked.ended_at
        )
        return version <= newest - KEPT

    def _look_at_process(self, node: Node) -> None:
        if node.has_ended and not node.is_expected_to_end:
            self._break(
                'a daemon ends only when told',
                f'{node.name}/{node.lives}',
                f'{node.name} ended by itself',
            )

    def _look_at_verdicts(self) -> None:
        """Each order has one verdict at most, and a bad version not done."""
        settled: dict[int, str] = {}
        for told in read_statuses(self._site.store, SERVICE):
            before = settled.get(told.order)
            if before in _FINAL and told.state != before:
                self._break(
                    'one verdict',
                    str(told.order),
                    f'{before}, then {told}',
                )
            settled[told.order] = told.state
            self._look_at_verdict(told)

    def _look_at_verdict(self, told: RolloutStatus) -> None:
        order = self._site.orders.get(told.order)
        if order is None:
            return
        if told.state == COMPLETE and order.is_bad:
            self._break('bad is not done', str(told.order), str(order))
        if told.state == ROLLED_BACK:
            now = trio.current_time()
            self._taken_back.setdefault(order.version, now)

    def check_logs(self) -> None:
        """No daemon has met a broken invariant."""
        for node in self._site.nodes:
            text = node.log.read_text(errors='replace')
            place = text.find('Traceback (most recent call last)')
            if place >= 0:
                self._break(
                    'no invariant breaks',
                    node.name,
                    text[max(place, len(text) - _SHOWN) :],
                )
