"""Simulation of a move in several availability zones, with a fake clock."""

from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from verbenamill_model import Move, Service, ServiceState, Snapshot
from verbenamill_model.traffic import Member, Observation, Outcome, Upstream
from verbenamill_model.typing import Profile, UpstreamState
from verbenamill_moves import (
    AppendVerdict,
    Decider,
    EvidenceCollector,
    MoveState,
    PublishState,
    SendReport,
    choose_decider,
    decode_move_states,
    encode_move_state,
    merge_states,
    split_traffic,
)

START = datetime(2026, 12, 2, tzinfo=UTC)
STEP = timedelta(milliseconds=500)


class Fleet:
    """Owners of both versions, their deciders and the merged move state.

    ``failure_probability`` and ``median_latency`` map a version, a zone and a
    second to the behaviour of the calls.

    :param zones: availability zones, each with one owner of each version.
    :param window: seconds from acceptance to the deadline.
    """

    def __init__(self, *, zones=('a',), window=60, profile=Profile.ON_TIME):
        self.now = START
        self.move = Move(
            id=7,
            ticket=3,
            service='entries',
            old='v1',
            new='v2',
            accepted_at=START,
            deadline=START + timedelta(seconds=window),
            profile=profile,
        )
        self.service = ServiceState(
            service=Service(name='entries', version='v2'),
            version='v1',
            move=self.move,
        )
        self.members = {}
        for zone in zones:
            for version in ('v1', 'v2'):
                self.add_member(f'{zone}-{version}', zone, version)
        self.deciders = {vm: self.make_decider(vm) for vm in self.members}
        self.evidence = {
            vm: EvidenceCollector(incarnation=1, clock=self)
            for vm in self.members
        }
        self.encoded_state = None
        self.verdicts = []
        self.rate = 200
        self.failure_probability = lambda version, zone, second: 0
        self.median_latency = lambda version, zone, second: 0.02
        self.failing_route = None
        self.shed_probability = 0
        self._random = Random(5)

    @property
    def state(self):
        entries = (
            {} if self.encoded_state is None else {'7': self.encoded_state}
        )
        return decode_move_states(entries).get(7, MoveState())

    @property
    def second(self):
        return (self.now - START).total_seconds()

    def monotonic(self):
        return self.now - START

    def add_member(self, vm, zone, version, state=UpstreamState.READY):
        self.members[vm] = Member(
            id=vm,
            availability_zone=zone,
            region='r',
            control='',
            calls='',
            incarnation=1,
            upstream=Upstream(
                service='entries',
                version=version,
                state=state,
                slots=16,
                connections=130,
            ),
        )

    def make_decider(self, vm):
        zone = self.members[vm].availability_zone
        return Decider(vm=vm, availability_zone=zone)

    def share(self, zone):
        shares = split_traffic(
            self.service,
            self.state,
            availability_zone=zone,
            now=self.now,
        )
        return shares.get('v2', 0)

    def remove_member(self, vm):
        for known in (self.members, self.deciders, self.evidence):
            known.pop(vm)

    def run(self, seconds, *, paused=()):
        for _ in range(int(seconds * 2)):
            self.now += STEP
            self.make_calls()
            self.send_reports()
            for vm, decider in self.deciders.items():
                if vm not in paused:
                    self.run_decider(vm, decider)

    def make_calls(self):
        for member in self.members.values():
            version = member.upstream.version
            share = self.share(member.availability_zone)
            version_share = share if version == 'v2' else 1 - share
            calls = self.rate * STEP.total_seconds() * version_share
            whole_calls = int(calls + self._random.random())
            for _ in range(whole_calls):
                self.evidence[member.id].observe(self.answer(member))

    def answer(self, member):
        case = (
            member.upstream.version,
            member.availability_zone,
            self.second,
        )
        route = self._random.choice(('lookup', 'fees', 'maps', 'photos'))
        unaffected = self.failing_route not in {None, route}
        failed = (
            not unaffected
            and self._random.random() < self.failure_probability(*case)
        )
        latency = self.median_latency(*case) * self._random.lognormvariate(
            0, 0.5
        )
        outcome = Outcome.FAILED if failed else Outcome.OK
        if case[0] == 'v2' and self._random.random() < self.shed_probability:
            outcome = Outcome.SHED
        return Observation(
            service='entries',
            version=member.upstream.version,
            route=route,
            outcome=outcome,
            latency=timedelta(seconds=latency),
        )

    def send_reports(self):
        for vm, evidence in self.evidence.items():
            body = evidence.report()
            if body is None:
                continue
            zone = self.members[vm].availability_zone
            to = choose_decider(self.move, zone, self.members)
            self.deciders[to].receive(vm, body)

    def run_decider(self, vm, decider):
        actions = decider.step(
            snapshot=Snapshot(services={'entries': self.service}),
            states={7: self.state} if self.encoded_state else {},
            members=self.members,
            now=self.now,
        )
        for action in actions:
            if isinstance(action, PublishState):
                encoded = encode_move_state(action.state)
                self.encoded_state = merge_states(self.encoded_state, encoded)
            elif isinstance(action, SendReport):
                self.deciders[action.recipient].receive(vm, action.body)
            elif isinstance(action, AppendVerdict):
                self.verdicts.append((self.second, action.record))


@pytest.fixture
def make_fleet():
    return Fleet
