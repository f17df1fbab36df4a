"""Spreading updates in a large fleet: bytes, rounds and failures.

The scenario: many daemons in several zones and dozens of updates at a time, as
when part of a fleet restarts at once. The network is simulated, and time
advances in rounds.
"""

from collections import defaultdict
from random import Random
from zlib import crc32

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
from verbenamill_sidecar.membership.datagrams import (
    Ages,
    Digests,
    Records,
    Rumors,
    Summary,
    Wanted,
    encode_message,
)
from verbenamill_sidecar.routing.call import Call
from verbenamill_sidecar.state.desired_state import DesiredState
from verbenamill_sidecar.membership.dissemination import Dissemination
from verbenamill_sidecar.membership.reconciliation import (
    CROSS_ZONE_COMPARISONS,
    REPLY_ALLOWANCE,
    Reconciliation,
)
from verbenamill_sidecar.quarantine.suspects import SuspectGate, identify

#: Rounds of rumors from one comparison to the next.
ROUNDS_PER_COMPARISON = 10
#: Duration of a round, in seconds.
ROUND_DURATION = 0.1


def make_record(vm, zone, *, incarnation=1):
    number = crc32(vm.encode()) % (1 << 24)
    host = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    return MemberRecord(
        vm=vm,
        incarnation=incarnation,
        sequence=0,
        availability_zone=zone,
        calls=f'{host}:1',
        gossip=f'{host}:2',
    )


def make_upstream(number=1, state=UpstreamState.READY):
    return UpstreamRecord(f'i{number}', 100, number, 's', 'v1', state, 4)


class Daemon:
    """Dissemination and reconciliation of one daemon."""

    def __init__(self, fleet, record):
        self.vm = record.vm
        self.zone = record.availability_zone
        self.table = MemberTable()
        self.desired_state = DesiredState()
        self.restored = []
        self.gate = SuspectGate(
            Quarantine(),
            wall=lambda: fleet.now,
            now=lambda: fleet.now,
        )
        self.gate.publish = lambda one: self.dissemination.publish_suspect(one)
        self._fleet = fleet
        neighbours = Neighbours(
            self.table,
            record,
            random=fleet.random,
            is_suspect=lambda vm: False,
        )
        self.dissemination = Dissemination(
            own=record,
            table=self.table,
            neighbours=neighbours,
            desired_state=self.desired_state,
            send=self._send,
            restore_upstream=self.restored.append,
            gate=self.gate,
        )
        self.reconciliation = Reconciliation(
            own=lambda: self.dissemination.own,
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
                self.dissemination.merge_members(message.members, spread=True)
                for progress in message.progress:
                    self.dissemination.merge_progress(progress)
                self.dissemination.merge_suspects(message.suspects)
            case Records():
                is_far = sender.zone != self.zone
                self.dissemination.merge_members(message.members, spread=is_far)
            case Summary() if known:
                self.reconciliation.handle_summary(message, known)
            case Digests() if known:
                self.reconciliation.handle_digests(message, known)
            case Ages() if known:
                self.reconciliation.handle_ages(message, known)
            case Wanted() if known:
                self.reconciliation.handle_wanted(message, known)


class Fleet:
    """Daemons that all know each other, and the network between them."""

    def __init__(self, zones, size, *, loss=0.0, seed=1):
        self.random = Random(seed)
        self.loss = loss
        self.now = float(0)
        self.is_cut = lambda one, other: False
        self.sent = defaultdict(int)
        self.bytes = defaultdict(int)
        self._in_flight = []
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
            self._in_flight.append((sender, to, message))

    def deliver(self):
        """Deliver all messages in flight, and the replies to them."""
        while self._in_flight:
            batch = self._in_flight
            self._in_flight = []
            self.random.shuffle(batch)
            for sender, to, message in batch:
                self.daemons[to].handle(message, sender)

    def round(self, *, with_comparison=False):
        self.now += ROUND_DURATION
        for daemon in self.daemons.values():
            daemon.dissemination.next_round()
            if with_comparison:
                daemon.reconciliation.next_round()
        self.deliver()

    def run(self, rounds):
        for number in range(1, rounds + 1):
            self.round(with_comparison=number % ROUNDS_PER_COMPARISON == 0)

    def rounds_until(self, condition, max_rounds):
        for number in range(max_rounds + 1):
            if condition():
                return number
            self.round(
                with_comparison=number % ROUNDS_PER_COMPARISON
                == ROUNDS_PER_COMPARISON - 1
            )
        raise AssertionError(
            f'the condition did not hold after {max_rounds} rounds'
        )

    def daemons_knowing(self, vm, upstream):
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.table.get(vm).upstream == upstream
        ]

    def daemons_blocking(self, fingerprint):
        """Daemons that block or hold a request."""
        found = []
        for daemon in self.daemons.values():
            status = daemon.gate.quarantine.find_status(
                fingerprint,
                now=self.now,
                wall=self.now,
            )
            if status in (QuarantineStatus.BLOCKED, QuarantineStatus.HELD):
                found.append(daemon)
        return found

    def has_converged(self):
        tables = [daemon.table.digests for daemon in self.daemons.values()]
        return all(table == tables[0] for table in tables)


SIZES = [(4, 3), (6, 10), (6, 33), (3, 100), (21, 20)]


@pytest.mark.parametrize(('zones', 'size'), SIZES)
def test_the_cost_of_an_update_is_bounded_by_the_size_of_its_zone(zones, size):
    # If daemons picked receivers regardless of their zone, almost every daemon
    # would send each update to another zone.
    fleet = Fleet(zones, size)
    updates = 5
    for place in range(updates):
        fleet.daemons[f'0-{place % size}'].dissemination.update_own(
            upstream=make_upstream(place + 1),
        )
        for _ in range(3 * ROUNDS):
            fleet.round()
    near = fleet.sent[False] / updates / zones / size
    far = fleet.sent[True] / updates / (zones - 1)
    assert near <= FANOUT * ROUNDS / 2
    # The origin sends one message per zone, and other daemons relay by chance.
    assert 1 <= far <= 1 + 3 * RELAYS


@pytest.mark.parametrize(('zones', 'size'), SIZES)
def test_an_update_reaches_nearly_all_daemons_by_rumor(zones, size):
    fleet = Fleet(zones, size)
    upstream = make_upstream()
    fleet.daemons['0-0'].dissemination.update_own(upstream=upstream)
    for _ in range(9 + ROUNDS):
        fleet.round()
    assert len(fleet.daemons_knowing('0-0', upstream)) >= 0.97 * len(
        fleet.daemons
    )


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    st.sampled_from([(1, 12), (3, 4), (4, 15), (6, 8)]),
    st.sampled_from([0, 0.02, 0.2]),
    st.integers(0, 10_000),
    st.lists(st.integers(0, 11), min_size=1, max_size=12),
)
def test_all_tables_converge_although_datagrams_get_lost(
    shape, loss, seed, changed
):
    fleet = Fleet(*shape, loss=loss, seed=seed)
    daemons = list(fleet.daemons.values())
    for number, place in enumerate(changed):
        daemons[place % len(daemons)].dissemination.update_own(
            upstream=make_upstream(number + 1),
        )
        fleet.round()
    fleet.rounds_until(fleet.has_converged, 15 * ROUNDS_PER_COMPARISON)


@settings(derandomize=True, deadline=None, max_examples=15)
@given(st.integers(0, 10_000), st.sampled_from([3, 4, 6]))
def test_two_zones_without_a_link_learn_through_a_third(seed, zones):
    fleet = Fleet(zones, 8, seed=seed)
    fleet.is_cut = lambda one, other: {one.zone, other.zone} == {'z0', 'z1'}
    upstream = make_upstream()
    fleet.daemons['0-0'].dissemination.update_own(upstream=upstream)
    fleet.rounds_until(
        lambda: (
            len(fleet.daemons_knowing('0-0', upstream)) == len(fleet.daemons)
        ),
        15 * ROUNDS_PER_COMPARISON,
    )


def test_both_sides_catch_up_after_a_zone_was_cut_off():
    # Zones have no gateways: any live daemon may relay for its zone. Daemons
    # that were cut off reach the other zones again without the store.
    fleet = Fleet(6, 10)
    fleet.is_cut = lambda one, other: (one.zone == 'z0') != (other.zone == 'z0')
    inside, outside = make_upstream(1), make_upstream(2)
    fleet.daemons['0-3'].dissemination.update_own(upstream=inside)
    fleet.daemons['2-3'].dissemination.update_own(upstream=outside)
    fleet.run(5 * ROUNDS_PER_COMPARISON)
    assert len(fleet.daemons_knowing('0-3', inside)) == 10
    assert len(fleet.daemons_knowing('2-3', outside)) == 50
    fleet.is_cut = lambda one, other: False
    fleet.rounds_until(fleet.has_converged, 6 * ROUNDS_PER_COMPARISON)


def test_an_update_spreads_although_its_first_messages_are_lost():
    fleet = Fleet(4, 10)
    upstream = make_upstream()
    fleet.daemons['0-0'].dissemination.update_own(upstream=upstream)
    fleet._in_flight.clear()
    fleet.rounds_until(
        lambda: (
            len(fleet.daemons_knowing('0-0', upstream)) == len(fleet.daemons)
        ),
        5 * ROUNDS_PER_COMPARISON,
    )


def test_a_restarted_daemon_is_accepted_and_gets_the_whole_state():
    fleet = Fleet(4, 10)
    fleet.run(ROUNDS_PER_COMPARISON)
    record = make_record('0-0', 'z0', incarnation=2)
    restarted = Daemon(fleet, record)
    fleet.daemons['0-0'] = restarted
    restarted.dissemination.merge_members(
        [make_record('0-1', 'z0')], spread=False
    )
    restarted.dissemination.announce()
    fleet.deliver()
    fleet.rounds_until(fleet.has_converged, 8 * ROUNDS_PER_COMPARISON)
    assert fleet.daemons['3-9'].table.get('0-0').incarnation == 2


@pytest.mark.parametrize('size', [1, 2, 10, 33])
def test_a_restarted_daemon_gets_the_record_of_its_upstream(size):
    # Its first record names no upstream and replaces the one that the others
    # hold. Its upstream would get no requests until the next heartbeat.
    fleet = Fleet(4, size)
    upstream = make_upstream()
    fleet.daemons['0-0'].dissemination.update_own(upstream=upstream)
    fleet.run(2 * ROUNDS_PER_COMPARISON)
    restarted = Daemon(fleet, make_record('0-0', 'z0', incarnation=2))
    for record in list(fleet.daemons['1-0'].table):
        if record.vm != '0-0':
            restarted.table.merge(record)
    fleet.daemons['0-0'] = restarted
    fleet.sent.clear()
    restarted.dissemination.announce()
    fleet.run(ROUNDS_PER_COMPARISON // 2)
    assert upstream in restarted.restored
    assert len(restarted.restored) <= 12


def test_a_veto_reaches_all_daemons():
    fleet = Fleet(6, 33, loss=0.02)
    progress = Progress('s', 7, 2, vetoed=True)
    fleet.daemons['0-0'].dissemination.publish_progress(progress)
    fleet.rounds_until(
        lambda: all(
            daemon.desired_state.snapshot.progress.get('s')
            for daemon in fleet.daemons.values()
        ),
        4 * ROUNDS_PER_COMPARISON,
    )


@pytest.mark.parametrize('size', [10, 33, 100])
def test_idle_traffic_of_a_daemon_does_not_grow_with_its_zone(size):
    fleet = Fleet(6, size)
    seconds = 20
    fleet.run(seconds * ROUNDS_PER_COMPARISON)
    daemons = len(fleet.daemons)
    # One comparison and its reply take some 90 bytes each.
    assert fleet.bytes[False] / seconds / daemons <= 2 * 200
    assert fleet.sent[True] / seconds / 6 <= 2 * CROSS_ZONE_COMPARISONS * 1.25


def test_a_comparison_sends_only_the_records_that_are_missing():
    fleet = Fleet(2, 100)
    one, other = fleet.daemons['0-0'], fleet.daemons['0-1']
    newer = make_record('1-50', 'z1', incarnation=2)
    one.table.merge(newer)
    fleet.send(other, one.vm, other.reconciliation.summarize())
    fleet.deliver()
    assert other.table.get('1-50') == newer
    assert fleet.sent[False] <= 6
    assert fleet.bytes[False] <= 1_000


def test_the_bytes_of_a_round_are_bounded_during_many_updates():
    # The whole fleet restarts at the same moment. Without the limit each daemon
    # would send hundreds of records to each of its neighbours in one round.
    fleet = Fleet(6, 33)
    daemon = fleet.daemons['0-0']
    daemon.dissemination.merge_members(
        [
            make_record(vm, record.zone, incarnation=2)
            for vm, record in fleet.daemons.items()
        ],
        spread=True,
    )
    fleet.bytes.clear()
    daemon.dissemination.next_round()
    assert fleet.bytes[False] <= FANOUT * 4_000


def test_replies_to_a_daemon_that_asks_without_end_are_bounded():
    fleet = Fleet(6, 33)
    daemon, requester = fleet.daemons['0-0'], fleet.daemons['0-1']
    known = daemon.table.get(requester.vm)
    vms = [record.vm for record in daemon.table]
    for _ in range(100):
        daemon.handle(Wanted(requester.vm, vms), requester)
        daemon.handle(Digests(requester.vm, 'z1', list(range(32))), requester)
        daemon.handle(Ages(requester.vm, 'z1', list(range(32)), []), requester)
    records = sum(
        len(message.members)
        for _, to, message in fleet._in_flight
        if isinstance(message, Records)
    )
    assert known is not None
    assert records <= REPLY_ALLOWANCE


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
    """Record at one daemon that upstreams crashed under a request."""
    call = call or make_call()
    call.is_alone = alone
    for crash in crashes:
        daemon.gate.record_crash(identify(call), CrashId(crash))
    daemon.gate.record_end(call, has_completed=False)


@pytest.mark.parametrize(('zones', 'size'), [(4, 3), (4, 15), (6, 33)])
@pytest.mark.parametrize('loss', [0, 0.05, 0.2])
def test_all_daemons_block_a_deadly_request_within_the_window(
    zones, size, loss
):
    """Guards against daemons that keep sending a query of death."""
    for seed in range(5):
        fleet = Fleet(zones, size, loss=loss, seed=seed)
        record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1')
        fleet.run(3)
        record_crash(fleet.daemons['1-1'], 'i3/1', alone=True)
        fingerprint = make_call().find_fingerprint()
        count = len(fleet.daemons)
        fleet.rounds_until(
            lambda: len(fleet.daemons_blocking(fingerprint)) == count,
            int(3.0 / ROUND_DURATION),
        )


def test_crashes_seen_on_both_sides_of_a_cut_are_merged_after_it():
    """Guards against losing what one side of a cut has recorded."""
    fleet = Fleet(4, 3)
    fleet.is_cut = lambda one, other: (one.zone == 'z0') != (other.zone == 'z0')
    record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1')
    record_crash(fleet.daemons['1-0'], 'i3/1', 'i4/1', 'i5/1', alone=True)
    fleet.run(ROUNDS_PER_COMPARISON)
    fingerprint = make_call().find_fingerprint()
    assert len(fleet.daemons_blocking(fingerprint)) == 9
    fleet.is_cut = lambda one, other: False
    fleet.rounds_until(
        lambda: len(fleet.daemons_blocking(fingerprint)) == 12,
        3 * ROUNDS_PER_COMPARISON,
    )


def test_a_completed_request_is_unblocked_on_all_daemons():
    """Guards against a harmless request that stays blocked."""
    fleet = Fleet(4, 15)
    record_crash(fleet.daemons['0-0'], 'i1/1', 'i2/1', 'i3/1', alone=True)
    fleet.run(6)
    fingerprint = make_call().find_fingerprint()
    assert fleet.daemons_blocking(fingerprint)
    fleet.daemons['3-3'].gate.record_end(make_call(), has_completed=True)
    fleet.rounds_until(
        lambda: not fleet.daemons_blocking(fingerprint),
        2 * ROUNDS_PER_COMPARISON,
    )


def test_many_suspects_do_not_delay_other_updates():
    """Guards against a caller that delays updates by crashing upstreams."""
    fleet = Fleet(4, 3)
    origin = fleet.daemons['0-0']
    for number in range(200):
        record_crash(origin, f'i{number}/1', call=make_call(b'/%d' % number))
    fleet.sent.clear()
    upstream = make_upstream()
    origin.dissemination.update_own(upstream=upstream)
    fleet.rounds_until(
        lambda: len(fleet.daemons_knowing('0-0', upstream)) == 12, 20
    )
    assert all(
        len(daemon.gate.quarantine) <= MAX_RECORDS
        for daemon in fleet.daemons.values()
    )
