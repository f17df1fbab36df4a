"""How news spread in a large fleet: bytes, rounds, and what may fail.

The pattern: many daemons in several zones, news by the dozen, as when a part
of the fleet restarts at once. No sockets; time goes by in rounds.
"""

from collections import defaultdict
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.quarantine import (
    MAX_RECORDS,
    CrashId,
    Quarantine,
    QuarantineStatus,
)
from verbenamill_policy.rollouts import Progress
from verbenamill_policy.routes import Route, RouteKind, Split
from verbenamill_policy.rumors import FANOUT, RELAYS, ROUNDS, Neighbours
from verbenamill_sidecar.datagrams import (
    Ages,
    Digests,
    Records,
    Rumors,
    Summary,
    Wanted,
    encode_message,
)
from verbenamill_sidecar.dissemination import Dissemination
from verbenamill_sidecar.call import Call
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.reconciliation import (
    ALLOWANCE,
    FAR_COMPARISONS,
    Reconciliation,
)
from verbenamill_sidecar.suspects import SuspectGate, identify

#: Rounds of rumors between two comparisons.
COMPARED = 10
#: Time of a round, in seconds.
ROUND = 0.1


def make_record(vm, zone, *, incarnation=1):
    return MemberRecord(
        vm=vm,
        incarnation=incarnation,
        sequence=0,
        availability_zone=zone,
        calls=f'10.0.0.1:{vm}',
        gossip=f'10.0.0.2:{vm}',
    )


def make_upstream(number=1, state=UpstreamState.READY):
    return UpstreamRecord(f'i{number}', 100, number, 's', 'v1', state, 4)


class Daemon:
    """One daemon's news and comparisons."""

    def __init__(self, fleet, record):
        self.vm = record.vm
        self.zone = record.availability_zone
        self.table = MemberTable()
        self.desired_state = DesiredState()
        self.recalled = []
        self.gate = SuspectGate(
            Quarantine(),
            wall=lambda: fleet.now,
            now=lambda: fleet.now,
        )
        self.gate.publish = lambda one: self.news.tell_suspect(one)
        self._fleet = fleet
        neighbours = Neighbours(
            self.table,
            record,
            random=fleet.random,
            is_suspect=lambda vm: False,
        )
        self.news = Dissemination(
            own=record,
            table=self.table,
            neighbours=neighbours,
            desired_state=self.desired_state,
            send=self._send,
            recall=self.recalled.append,
            gate=self.gate,
        )
        self.compared = Reconciliation(
            own=lambda: self.news.own,
            table=self.table,
            neighbours=neighbours,
            desired_state=self.desired_state,
            send=self._send,
            quarantine=self.gate.quarantine,
        )

    def _send(self, to, message):
        self._fleet.send(self, to.vm, message)

    def handle(self, message, sender):
        known = self.table.get(sender.vm)
        match message:
            case Rumors():
                self.news.take_members(message.members, spread=True)
                for progress in message.progress:
                    self.news.take_progress(progress)
                self.news.take_suspects(message.suspects)
            case Records():
                is_far = sender.zone != self.zone
                self.news.take_members(message.members, spread=is_far)
            case Summary() if known:
                self.compared.take_summary(message, known)
            case Digests() if known:
                self.compared.take_digests(message, known)
            case Ages() if known:
                self.compared.take_ages(message, known)
            case Wanted() if known:
                self.compared.take_wanted(message, known)


class Fleet:
    """Daemons that all know each other, and the network between them."""

    def __init__(self, zones, size, *, loss=0.0, seed=1):
        self.random = Random(seed)
        self.loss = loss
        self.now = float(0)
        self.is_cut = lambda one, other: False
        self.sent = defaultdict(int)
        self.bytes = defaultdict(int)
        self._wire = []
        records = [
            make_record(f'{zone}-{place}', f'z{zone}')
            for zone in range(zones)
            for place in range(size)
        ]
        self.daemons = {record.vm: Daemon(self, record) for record in records}
        for daemon in self.daemons.values():
            for record in records:
                daemon.table.merge(record)

    def send(self, sender, to, message):
        crosses = self.daemons[to].zone != sender.zone
        self.sent[crosses] += 1
        self.bytes[crosses] += len(encode_message(message))
        lost = self.random.random() < self.loss
        if not lost and not self.is_cut(sender, self.daemons[to]):
            self._wire.append((sender, to, message))

    def deliver(self):
        """Deliver all that is under way, and the answers to it."""
        while self._wire:
            wire = self._wire
            self._wire = []
            self.random.shuffle(wire)
            for sender, to, message in wire:
                self.daemons[to].handle(message, sender)

    def round(self, *, compares=False):
        self.now += ROUND
        for daemon in self.daemons.values():
            daemon.news.next_round()
            if compares:
                daemon.compared.next_round()
        self.deliver()

    def run(self, rounds):
        for number in range(1, rounds + 1):
            self.round(compares=number % COMPARED == 0)

    def rounds_until(self, condition, most):
        for number in range(most + 1):
            if condition():
                return number
            self.round(compares=number % COMPARED == COMPARED - 1)
        raise AssertionError(f'not so after {most} rounds')

    def knowing(self, vm, upstream):
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.table.get(vm).upstream == upstream
        ]

    def blocking(self, fingerprint):
        """Daemons that refuse a request, or hold it."""
        found = []
        for daemon in self.daemons.values():
            standing = daemon.gate.quarantine.find_status(
                fingerprint,
                now=self.now,
                wall=self.now,
            )
            if standing in (QuarantineStatus.BLOCKED, QuarantineStatus.HELD):
                found.append(daemon)
        return found

    def agree(self):
        tables = [daemon.table.digests for daemon in self.daemons.values()]
        return all(table == tables[0] for table in tables)


SIZES = [(4, 3), (6, 10), (6, 33), (3, 100), (21, 20)]


@pytest.mark.parametrize(('zones', 'size'), SIZES)
def test_a_piece_of_news_costs_what_its_zone_costs(zones, size):
    # Told to daemons at random, whatever their zone, each piece of news would
    # cross between zones from almost every daemon.
    fleet = Fleet(zones, size)
    pieces = 5
    for place in range(pieces):
        fleet.daemons[f'0-{place % size}'].news.update(
            upstream=make_upstream(place + 1),
        )
        for _ in range(3 * ROUNDS):
            fleet.round()
    near = fleet.sent[False] / pieces / zones / size
    far = fleet.sent[True] / pieces / (zones - 1)
    assert near <= FANOUT * ROUNDS / 2
    # One by its maker, and some by chance.
    assert 1 <= far <= 1 + 3 * RELAYS


@pytest.mark.parametrize(('zones', 'size'), SIZES)
def test_a_piece_of_news_reaches_nearly_all_by_rumor(zones, size):
    fleet = Fleet(zones, size)
    upstream = make_upstream()
    fleet.daemons['0-0'].news.update(upstream=upstream)
    for _ in range(9 + ROUNDS):
        fleet.round()
    assert len(fleet.knowing('0-0', upstream)) >= 0.97 * len(fleet.daemons)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    st.sampled_from([(1, 12), (3, 4), (4, 15), (6, 8)]),
    st.sampled_from([0, 0.02, 0.2]),
    st.integers(0, 10_000),
    st.lists(st.integers(0, 11), min_size=1, max_size=12),
)
def test_all_agree_although_datagrams_get_lost(shape, loss, seed, news):
    fleet = Fleet(*shape, loss=loss, seed=seed)
    daemons = list(fleet.daemons.values())
    for number, place in enumerate(news):
        daemons[place % len(daemons)].news.update(
            upstream=make_upstream(number + 1),
        )
        fleet.round()
    fleet.rounds_until(fleet.agree, 15 * COMPARED)


@settings(derandomize=True, deadline=None, max_examples=15)
@given(st.integers(0, 10_000), st.sampled_from([3, 4, 6]))
def test_two_zones_that_cannot_reach_each_other_learn_by_a_third(seed, zones):
    fleet = Fleet(zones, 8, seed=seed)
    fleet.is_cut = lambda one, other: {one.zone, other.zone} == {'z0', 'z1'}
    upstream = make_upstream()
    fleet.daemons['0-0'].news.update(upstream=upstream)
    fleet.rounds_until(
        lambda: len(fleet.knowing('0-0', upstream)) == len(fleet.daemons),
        15 * COMPARED,
    )


def test_a_zone_that_was_cut_off_catches_up_both_ways():
    # No daemon is a gateway: whoever of a zone lives speaks for it. Daemons
    # of a zone that come back after a cut find the others without the store.
    fleet = Fleet(6, 10)
    fleet.is_cut = lambda one, other: (one.zone == 'z0') != (other.zone == 'z0')
    inside, outside = make_upstream(1), make_upstream(2)
    fleet.daemons['0-3'].news.update(upstream=inside)
    fleet.daemons['2-3'].news.update(upstream=outside)
    fleet.run(5 * COMPARED)
    assert len(fleet.knowing('0-3', inside)) == 10
    assert len(fleet.knowing('2-3', outside)) == 50
    fleet.is_cut = lambda one, other: False
    fleet.rounds_until(fleet.agree, 6 * COMPARED)


def test_all_that_a_daemon_told_first_are_killed():
    fleet = Fleet(4, 10)
    upstream = make_upstream()
    fleet.daemons['0-0'].news.update(upstream=upstream)
    fleet._wire.clear()
    fleet.rounds_until(
        lambda: len(fleet.knowing('0-0', upstream)) == len(fleet.daemons),
        5 * COMPARED,
    )


def test_a_daemon_that_starts_again_is_believed_and_told_all():
    fleet = Fleet(4, 10)
    fleet.run(COMPARED)
    record = make_record('0-0', 'z0', incarnation=2)
    started = Daemon(fleet, record)
    fleet.daemons['0-0'] = started
    started.news.take_members([make_record('0-1', 'z0')], spread=False)
    started.news.announce()
    fleet.deliver()
    fleet.rounds_until(fleet.agree, 8 * COMPARED)
    assert fleet.daemons['3-9'].table.get('0-0').incarnation == 2


@pytest.mark.parametrize('size', [1, 2, 10, 33])
def test_a_daemon_that_starts_again_is_reminded_of_its_upstream(size):
    # Its own first record, without an upstream, replaces what the others
    # remember. Until the next heartbeat its upstream would get no requests.
    fleet = Fleet(4, size)
    upstream = make_upstream()
    fleet.daemons['0-0'].news.update(upstream=upstream)
    fleet.run(2 * COMPARED)
    started = Daemon(fleet, make_record('0-0', 'z0', incarnation=2))
    for record in list(fleet.daemons['1-0'].table):
        if record.vm != '0-0':
            started.table.merge(record)
    fleet.daemons['0-0'] = started
    fleet.sent.clear()
    started.news.announce()
    fleet.run(COMPARED // 2)
    assert upstream in started.recalled
    assert len(started.recalled) <= 12


def test_a_veto_reaches_all():
    fleet = Fleet(6, 33, loss=0.02)
    progress = Progress('s', 7, 2, vetoed=True)
    fleet.daemons['0-0'].news.tell_progress(progress)
    fleet.rounds_until(
        lambda: all(
            daemon.desired_state.known.progress.get('s')
            for daemon in fleet.daemons.values()
        ),
        4 * COMPARED,
    )


@pytest.mark.parametrize('size', [10, 33, 100])
def test_at_rest_the_bytes_of_a_daemon_do_not_grow_with_its_zone(size):
    fleet = Fleet(6, size)
    seconds = 20
    fleet.run(seconds * COMPARED)
    daemons = len(fleet.daemons)
    # A comparison and its answer, some 90 bytes each.
    assert fleet.bytes[False] / seconds / daemons <= 2 * 200
    assert fleet.sent[True] / seconds / 6 <= 2 * FAR_COMPARISONS * 1.25


def test_a_comparison_sends_only_what_is_missing():
    fleet = Fleet(2, 100)
    one, other = fleet.daemons['0-0'], fleet.daemons['0-1']
    newer = make_record('1-50', 'z1', incarnation=2)
    one.table.merge(newer)
    fleet.send(other, one.vm, other.compared.summarize())
    fleet.deliver()
    assert other.table.get('1-50') == newer
    assert fleet.sent[False] <= 6
    assert fleet.bytes[False] <= 1_000


def test_many_news_at_once_are_bounded():
    # All of a fleet restart at the same moment. Unbounded, each daemon would
    # send hundreds of records to each of its neighbours in one round.
    fleet = Fleet(6, 33)
    daemon = fleet.daemons['0-0']
    daemon.news.take_members(
        [
            make_record(vm, record.zone, incarnation=2)
            for vm, record in fleet.daemons.items()
        ],
        spread=True,
    )
    fleet.bytes.clear()
    daemon.news.next_round()
    assert fleet.bytes[False] <= FANOUT * 4_000


def test_a_daemon_that_asks_without_end_gets_a_bounded_answer():
    fleet = Fleet(6, 33)
    daemon, liar = fleet.daemons['0-0'], fleet.daemons['0-1']
    known = daemon.table.get(liar.vm)
    everyone = [record.vm for record in daemon.table]
    for _ in range(100):
        daemon.handle(Wanted(liar.vm, everyone), liar)
        daemon.handle(Digests(liar.vm, 'z1', list(range(32))), liar)
        daemon.handle(Ages(liar.vm, 'z1', list(range(32)), []), liar)
    records = sum(
        len(message.members)
        for _, to, message in fleet._wire
        if isinstance(message, Records)
    )
    assert known is not None
    assert records <= ALLOWANCE


def make_call(target=b'/deadly'):
    route = Route(
        name='lookup',
        host='shop.example',
        prefix='/',
        kind=RouteKind.IDEMPOTENT,
        timeout=1,
        objective=1,
        priority=0,
        max_attempts=2,
        splits=(Split('s', 1),),
    )
    return Call(
        id=b'r1',
        route=route,
        service='s',
        method=b'GET',
        target=target,
        headers=[(b'host', b'shop.example')],
        body=b'',
        origin=b's',
        arrived=0,
        objective=1,
        deadline=1,
    )


def record_crash(daemon, *crashes, call=None, alone=False):
    """Upstreams crash under a request that comes to a daemon."""
    call = call or make_call()
    call.is_alone = alone
    for crash in crashes:
        daemon.gate.record_crash(identify(call), CrashId(crash))
    daemon.gate.record_end(call, has_completed=False)


@pytest.mark.parametrize(('zones', 'size'), [(4, 3), (4, 15), (6, 33)])
@pytest.mark.parametrize('loss', [0, 0.05, 0.2])
def test_a_blocked_request_is_known_to_all_within_the_window(zones, size, loss):
    """Guards against daemons that go on sending a query of death."""
    for seed in range(5):
        fleet = Fleet(zones, size, loss=loss, seed=seed)
        record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1')
        fleet.run(3)
        record_crash(fleet.daemons['1-1'], 'i3/1', alone=True)
        fingerprint = make_call().find_fingerprint()
        everybody = len(fleet.daemons)
        fleet.rounds_until(
            lambda: len(fleet.blocking(fingerprint)) == everybody,
            int(3.0 / ROUND),
        )


def test_crashes_seen_on_both_sides_of_a_cut_add_up_once_it_heals():
    """Guards against two halves that each forget what the other half saw."""
    fleet = Fleet(4, 3)
    fleet.is_cut = lambda one, other: (one.zone == 'z0') != (other.zone == 'z0')
    record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1')
    record_crash(fleet.daemons['1-0'], 'i3/1', 'i4/1', 'i5/1', alone=True)
    fleet.run(COMPARED)
    fingerprint = make_call().find_fingerprint()
    assert len(fleet.blocking(fingerprint)) == 9
    fleet.is_cut = lambda one, other: False
    fleet.rounds_until(
        lambda: len(fleet.blocking(fingerprint)) == 12,
        3 * COMPARED,
    )


def test_a_completion_anywhere_frees_a_request_everywhere():
    """Guards against a harmless request that stays refused."""
    fleet = Fleet(4, 15)
    record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1', 'i3/1', alone=True)
    fleet.run(6)
    fingerprint = make_call().find_fingerprint()
    assert fleet.blocking(fingerprint)
    fleet.daemons['3-3'].gate.record_end(make_call(), has_completed=True)
    fleet.rounds_until(lambda: not fleet.blocking(fingerprint), 2 * COMPARED)


def test_many_suspects_leave_room_for_other_news():
    """Guards against a caller that crashes upstreams to delay other news."""
    fleet = Fleet(4, 3)
    maker = fleet.daemons['0-0']
    for number in range(200):
        record_crash(maker, f'i{number}/1', call=make_call(b'/%d' % number))
    fleet.sent.clear()
    upstream = make_upstream()
    maker.news.update(upstream=upstream)
    fleet.rounds_until(lambda: len(fleet.knowing('0-0', upstream)) == 12, 20)
    assert all(
        len(daemon.gate.quarantine) <= MAX_RECORDS
        for daemon in fleet.daemons.values()
    )
