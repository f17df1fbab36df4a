"""Daemons with quotas on a virtual clock and a network that loses messages."""

import heapq
from collections import Counter
from functools import partial
from itertools import count
from random import Random

from verbenamill_policy.members import MemberRecord
from verbenamill_policy.quotas.accounts import Decision, Verdict
from verbenamill_policy.quotas import limits
from verbenamill_policy.quotas.groups import Groups
from verbenamill_policy.quotas.limits import QuotaMargin
from verbenamill_policy.quotas.participant import RESEND_TIME, Participant

MARGIN = QuotaMargin()
PATIENCE = 0.1


class Node:
    """One daemon of the fleet."""

    def __init__(self, fleet, vm, zone):
        self.fleet = fleet
        self.vm = vm
        self.zone = zone
        self.incarnation = 0
        self.life = None
        self.is_cut_off = False
        self.frozen_until = 0
        self.is_leaving = False
        self.messages = Counter()
        self.unknown = set()

    def start(self):
        self.incarnation += 1
        self.is_leaving = False
        self.life = object()
        self.participant = Participant(
            self.vm,
            self.incarnation,
            started_at=self.fleet.now,
            groups=self.groups,
            is_suspect=lambda vm: False,
            slack=MARGIN.standalone_slack,
            random=Random(f'{self.vm}/{self.incarnation}'),
        )
        self.participant.set_quotas(self.fleet.quotas, self.fleet.now)
        self._tick(self.life)

    def kill(self):
        self.life = None

    def leave(self):
        self.is_leaving = True
        self.fleet.version += 1
        self.participant.leave(self.fleet.now)
        self.flush()

    def groups(self):
        return self.fleet.groups_of(self)

    def _tick(self, life):
        if self.life is not life:
            return
        if self.frozen_until > self.fleet.now:
            self.fleet.at(self.frozen_until, partial(self._tick, life))
            return
        self.participant.tick(self.fleet.now)
        self.flush()
        due = self.participant.next_report_at
        self.fleet.at(due, partial(self._tick, life))

    def flush(self):
        outbox, self.participant.outbox = self.participant.outbox, []
        for to, message in outbox:
            self.messages['sent'] += 1
            self.fleet.send(self, to, message)
        if self.participant.has_open_questions:
            self.fleet.at(
                self.fleet.now + RESEND_TIME + 0.001,
                partial(self._poll, self.life),
            )

    def _poll(self, life):
        if self.life is life and self.frozen_until <= self.fleet.now:
            self.participant.poll(self.fleet.now)
            self.flush()

    def receive(self, message):
        if self.life is None:
            return
        if self.frozen_until > self.fleet.now:
            again = partial(self.receive, message)
            self.fleet.at(self.frozen_until, again)
            return
        self.messages['received'] += 1
        self.participant.receive(message, self.fleet.now)
        self.flush()

    def request(self, id):
        """Handle a request of an organisation."""
        if self.life is None or self.frozen_until > self.fleet.now:
            return
        now = self.fleet.now
        self.fleet.arrived(id)
        allowed = self.fleet.reference[id].take(now)
        holder = []

        def decided():
            self.fleet.decided(id, holder[0].decision, allowed, now)

        until = now + PATIENCE
        result = self.participant.arrive(id, now, until=until, notify=decided)
        if isinstance(result, Decision):
            self.fleet.decided(id, result, allowed, now)
            return
        holder.append(result)
        self.participant.ask(now)
        self.flush()
        self._watch(self.life, result)

    def _watch(self, life, waiting):
        if waiting.decision is None:
            self.fleet.at(
                self.fleet.now + RESEND_TIME,
                partial(self._watch_again, life, waiting),
            )

    def _watch_again(self, life, waiting):
        self._poll(life)
        self._watch(life, waiting)


class ReferenceBucket:
    """The fleet-wide bucket that a quota stands for."""

    def __init__(self, quota, now):
        self.quota = quota
        self.level = 0.0
        self.at = now

    def take(self, now):
        earned = (now - self.at) * self.quota.rate
        self.level = min(self.level + earned, max(self.quota.burst, 1))
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Fleet:
    """Daemons, the network between them and what they admitted."""

    def __init__(self, zones, quotas, *, seed=1, loss=0.0, duplicates=0.0):
        self.now = 1000.0
        self.random = Random(seed)
        self.loss = loss
        self.duplicates = duplicates
        self.delay = lambda: 0.0
        self.partition = lambda one, other: False
        self.version = 0
        self.set_plain(quotas)
        self.admitted = {id: [] for id in quotas}
        self.demanded = Counter()
        self.verdicts = Counter()
        self.needless = Counter()
        self.waits = []
        self._events = []
        self._order = count()
        self._cache = {}
        self.nodes = {}
        for index in range(sum(zones)):
            zone = next(
                z for z in range(len(zones)) if index < sum(zones[: z + 1])
            )
            vm = f'vm{index}'
            self.nodes[vm] = Node(self, vm, f'z{zone}')
        for node in self.nodes.values():
            # Daemons do not report at the same moments.
            self.at(self.now + self.random.random() * 0.3, node.start)

    def set_plain(self, quotas):
        self.plain = dict(quotas)
        self.quotas = {
            id: limits._make_holdable(quota, MARGIN)
            for id, quota in quotas.items()
        }
        self.reference = {
            id: ReferenceBucket(quota, self.now) for id, quota in quotas.items()
        }

    def groups_of(self, node):
        key = self.version, node.vm
        if key not in self._cache:
            records = [
                MemberRecord(
                    one.vm, 0, 0, one.zone, '', '', leaving=one.is_leaving
                )
                for one in self.nodes.values()
                if one.vm not in node.unknown
            ]
            self._cache[key] = Groups(records, node.vm, node.zone)
        return self._cache[key]

    def at(self, when, call):
        heapq.heappush(self._events, (when, next(self._order), call))

    def send(self, sender, to, message):
        node = self.nodes[to]
        if sender.is_cut_off or node.is_cut_off:
            return
        if self.partition(sender, node):
            return
        for _ in range(1 + (self.random.random() < self.duplicates)):
            if self.random.random() < self.loss:
                continue
            latency = 0.0002 if sender.zone == node.zone else 0.0005
            latency += self.random.random() * 0.001 + self.delay()
            self.at(self.now + latency, partial(node.receive, message))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            when, _, call = heapq.heappop(self._events)
            self.now = when
            call()
        self.now = end

    def arrived(self, id):
        self.demanded[id] += 1

    def decided(self, id, decision, allowed, since):
        self.verdicts[decision.verdict] += 1
        if decision.verdict is Verdict.ADMITTED:
            self.admitted[id].append(self.now)
            self.waits.append(self.now - since)
        elif allowed:
            self.needless[id] += 1

    def generate(self, id, rate, choose, *, until):
        """Generate requests at random intervals.

        :param choose: returns the daemon of the next request.
        """

        def arrive():
            if self.now >= until:
                return
            choose().request(id)
            self.at(self.now + self.random.expovariate(rate), arrive)

        self.at(self.now + self.random.expovariate(rate), arrive)

    def check_bound(self):
        """Check the rule in every window that ends with a request."""
        for id, times in self.admitted.items():
            quota = self.plain[id]
            limit = quota.rate * MARGIN.window + quota.burst
            limit = limit * (1 + MARGIN.overshoot) + MARGIN.slack
            first = 0
            for index, time in enumerate(times):
                while times[first] <= time - MARGIN.window:
                    first += 1
                assert index - first + 1 <= limit, (id, time, limit)

    def used(self, id, since, until):
        return sum(since <= time < until for time in self.admitted[id])

    def even(self):
        return self.random.choice(list(self.nodes.values()))
