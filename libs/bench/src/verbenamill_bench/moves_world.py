"""One simulated move: the decision code itself on a clock of its own."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Protocol

from msgspec import Struct
from msgspec.structs import replace

from verbenamill_bench.moves_scenario import Disturbance, Kind, Scenario
from verbenamill_bench.moves_upstreams import (
    NEW,
    OLD,
    ORACLE_KNOWS,
    SERVICE,
    Answer,
    Call,
    Upstreams,
)
from verbenamill_model import Move, Service, ServiceState, Snapshot
from verbenamill_model.tickets import VerdictRecord
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import (
    AvailabilityZone,
    Offset,
    Profile,
    Region,
    TicketNumber,
    UpstreamState,
    VerdictKind,
    VersionName,
    VmId,
)
from verbenamill_moves import (
    Action,
    AppendVerdict,
    EvidenceCollector,
    MoveState,
    PublishState,
    SendReport,
    WriteAuditLine,
    choose_decider,
    decode_move_states,
    encode_move_state,
    merge_states,
    split_traffic,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
MOVE_ID = Offset(7)

_TICKS = 20
_TICK = 1 / _TICKS
_STEP_TICKS = 5
#: Ways of what is published, within a zone and to other zones, in seconds.
_NEAR = (0.02, 0.2)
_FAR = (0.1, 0.5)
_LOG_WAY = (0.2, 0.8)
_REPORT_LOST = 0.02
#: Until a member that died is missed, and until it is back.
_MISSED_AFTER = 2.0
_BACK_AFTER = 6.0
#: How long after the deadline a verdict is waited for.
_PATIENCE = 40.0
_LATE_FRACTION = 0.3


class StepsMoves(Protocol):
    """What the simulation needs of a decider."""

    def receive(self, sender: VmId, report: bytes) -> None:
        """Take an owner's report."""

    def step(
        self,
        *,
        snapshot: Snapshot,
        states: Mapping[Offset, MoveState],
        members: Mapping[VmId, Member],
        now: datetime,
    ) -> tuple[Action, ...]:
        """Decide on every running move."""


#: Makes the decider of a VM in an availability zone.
MakeDecider = Callable[[VmId, AvailabilityZone], StepsMoves]


class RunResult(Struct, kw_only=True):
    """What became of one move; times in seconds after acceptance.

    :param gone_at: when the last call went to the new version.
    :param known_at: when an oracle would have known the version bad.
    :param peak: highest share of the new version in any zone.
    """

    scenario: Scenario
    verdict: VerdictKind | None = None
    verdict_at: float | None = None
    complete_in_time: bool = False
    vetoed: bool = False
    reason: str = ''
    calls: int = 0
    harmed: int = 0
    first_bad_at: float | None = None
    known_at: float | None = None
    gone_at: float = 0
    peak: float = 0
    report_bytes: int = 0
    notes: list[str] = []


_Due = tuple[float, int, Callable[[], None]]
_Ended = tuple[VmId, Answer]


class _Zone(Struct, kw_only=True):
    """One availability zone's view of the fleet."""

    name: AvailabilityZone
    number: int
    service: ServiceState
    members: dict[VmId, Member]
    entry: bytes | None = None


class World:
    """Owners, deciders, mesh and log of one scenario."""

    def __init__(
        self,
        scenario: Scenario,
        make_decider: MakeDecider,
        profile: Profile,
    ) -> None:
        self._scenario = scenario
        self._random = Random(f'{scenario.seed}/{scenario.index}/calls')
        self._upstreams = Upstreams(scenario, self._random)
        self._make_decider = make_decider
        self._result = RunResult(scenario=scenario, notes=[])
        self._now = float(0)
        self._order = count()
        self._due: list[_Due] = []
        self._ending: dict[int, list[_Ended]] = defaultdict(list)
        self._members: dict[VmId, Member] = {}
        self._evidence: dict[VmId, EvidenceCollector] = {}
        self._deciders: dict[VmId, StepsMoves] = {}
        self._warm: dict[VmId, int] = {}
        self._paused: dict[VmId, float] = {}
        self._crashing: set[VmId] = set()
        self._cut: set[int] = set()
        self._log_down = False
        self._oracle = float(0)
        self._zones = self._build_zones(profile)
        self._next_call = [float(0) for _ in self._zones]
        self._schedule_faults()

    def run(self) -> RunResult:
        """Simulate until the verdict is in force or nobody gives one."""
        deadline = self._scenario.window
        for tick in count():
            self._now = tick * _TICK
            self._deliver()
            for zone in self._zones:
                self._make_calls(zone)
            self._end_calls(tick)
            self._step_daemons(tick)
            if tick == round(deadline * _TICKS):
                self._result.complete_in_time = self._is_complete()
            if self._is_over(deadline):
                return self._finish()
        raise AssertionError('a run ends')

    def now(self) -> datetime:
        """Simulated wall time."""
        return START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Simulated time since the move was accepted."""
        return timedelta(seconds=self._now)

    def _is_over(self, deadline: float) -> bool:
        settled = all(zone.service.move is None for zone in self._zones)
        if settled and self._now > deadline:
            return True
        if settled and self._result.verdict is VerdictKind.TAKEN_BACK:
            return self._now > (self._result.verdict_at or 0) + 2
        return self._now > deadline + _PATIENCE

    def _finish(self) -> RunResult:
        entry = self._zones[0].entry
        if entry is not None:
            state = decode_move_states({str(MOVE_ID): entry})[MOVE_ID]
            self._result.vetoed = state.veto
            self._result.reason = state.reason
        return self._result

    def _build_zones(self, profile: Profile) -> list[_Zone]:
        scenario = self._scenario
        window = timedelta(seconds=scenario.window)
        move = Move(
            id=MOVE_ID,
            ticket=TicketNumber(2),
            service=SERVICE,
            old=OLD,
            new=NEW,
            accepted_at=START,
            deadline=START + window,
            profile=profile,
        )
        service = ServiceState(
            service=Service(name=SERVICE, version=NEW, profile=profile),
            version=OLD,
            move=move,
        )
        zones = [
            _Zone(
                name=AvailabilityZone(f'z{number}'),
                number=number,
                service=service,
                members={},
            )
            for number in range(scenario.zones)
        ]
        for zone in zones:
            for number in range(scenario.old_per_zone):
                self._start_vm(_name(zone, OLD, number), zone.name, OLD)
            if scenario.kind in {Kind.MISSING, Kind.LATE_UPSTREAMS}:
                continue
            for number in range(scenario.new_per_zone):
                self._start_vm(_name(zone, NEW, number), zone.name, NEW)
        for zone in zones:
            zone.members = dict(self._members)
        return zones

    def _start_vm(
        self, vm: VmId, zone: AvailabilityZone, version: VersionName
    ) -> None:
        self._members[vm] = Member(
            id=vm,
            availability_zone=zone,
            region=Region('r'),
            control='',
            calls='',
            incarnation=1,
            upstream=Upstream(
                service=SERVICE,
                version=version,
                state=UpstreamState.READY,
                slots=16,
                connections=130,
            ),
        )
        incarnation = self._random.getrandbits(32)
        self._evidence[vm] = EvidenceCollector(
            incarnation=incarnation,
            clock=self,
        )
        self._deciders[vm] = self._make_decider(vm, zone)
        self._warm[vm] = 0

    def _later(self, delay: float, what: Callable[[], None]) -> None:
        heappush(self._due, (self._now + delay, next(self._order), what))

    def _deliver(self) -> None:
        while self._due and self._due[0][0] <= self._now:
            heappop(self._due)[2]()

    # Calls

    def _make_calls(self, zone: _Zone) -> None:
        share = self._share(zone)
        self._result.peak = max(self._result.peak, share)
        owners = {
            version: self._owners(zone, version) for version in (OLD, NEW)
        }
        rate = self._scenario.rate / len(self._zones)
        end = self._now + _TICK
        while self._next_call[zone.number] < end:
            at = self._next_call[zone.number]
            version = NEW if self._random.random() < share else OLD
            if not owners[version]:
                version = OLD if version == NEW else NEW
            if owners[version]:
                vm = self._random.choice(owners[version])
                self._call(at, zone, vm, version, share)
            self._next_call[zone.number] = at + self._random.expovariate(rate)

    def _call(
        self,
        at: float,
        zone: _Zone,
        vm: VmId,
        version: VersionName,
        share: float,
    ) -> None:
        answer = self._upstreams.answer(
            Call(
                at=at,
                version=version,
                zone=zone.number,
                route=self._upstreams.pick_route(),
                share=share,
                warm=self._warm[vm],
                crashing=vm in self._crashing,
            ),
        )
        result = self._result
        if at < self._scenario.window:
            result.calls += 1
            result.harmed += answer.harmed
        if version == NEW:
            result.gone_at = at
        if answer.harmed and result.first_bad_at is None:
            result.first_bad_at = at + answer.latency
        self._warm[vm] += 1
        tick = int((at + answer.latency) * _TICKS) + 1
        self._ending[tick].append((vm, answer))

    def _owners(self, zone: _Zone, version: VersionName) -> list[VmId]:
        ready = [
            member
            for member in zone.members.values()
            if member.upstream
            and member.upstream.version == version
            and member.id in self._members
        ]
        near = [vm.id for vm in ready if vm.availability_zone == zone.name]
        return near or [vm.id for vm in ready]

    def _end_calls(self, tick: int) -> None:
        for vm, answer in self._ending.pop(tick, ()):
            if vm in self._members:
                self._evidence[vm].observe(answer.observation)
            self._oracle = max(self._oracle + answer.evidence, 0)
            if self._oracle >= ORACLE_KNOWS and self._result.known_at is None:
                self._result.known_at = self._now

    def _share(self, zone: _Zone) -> float:
        split = split_traffic(
            zone.service,
            self._state(zone),
            availability_zone=zone.name,
            now=START + timedelta(seconds=self._now),
        )
        return split.get(NEW, 0)

    def _state(self, zone: _Zone) -> MoveState | None:
        if zone.entry is None:
            return None
        return decode_move_states({str(MOVE_ID): zone.entry})[MOVE_ID]

    def _is_complete(self) -> bool:
        return all(self._share(zone) == 1 for zone in self._zones)

    # Daemons

    def _step_daemons(self, tick: int) -> None:
        for phase, vm in enumerate(tuple(self._members)):
            if (tick + phase) % _STEP_TICKS:
                continue
            if self._paused.get(vm, 0) > self._now:
                continue
            zone = self._zone_of(vm)
            self._send_report(vm, zone)
            self._step_decider(vm, zone)

    def _zone_of(self, vm: VmId) -> _Zone:
        name = self._members[vm].availability_zone
        return next(zone for zone in self._zones if zone.name == name)

    def _send_report(self, vm: VmId, zone: _Zone) -> None:
        move = zone.service.move
        body = self._evidence[vm].report()
        if move is None or body is None:
            return
        self._result.report_bytes = max(self._result.report_bytes, len(body))
        to = choose_decider(move, zone.name, zone.members)
        lost = self._random.random() < _REPORT_LOST
        if to is not None and not lost and self._is_awake(to):
            self._later(_TICK / 2, lambda: self._receive(to, vm, body))

    def _is_awake(self, vm: VmId) -> bool:
        return vm in self._members and self._paused.get(vm, 0) <= self._now

    def _send(self, zone: _Zone, vm: VmId, message: SendReport) -> None:
        member = self._members.get(message.recipient)
        if member is None or self._random.random() < _REPORT_LOST:
            return
        if not self._parted_names(zone, member.availability_zone):
            self._later(
                self._random.uniform(*_NEAR),
                lambda: self._receive(message.recipient, vm, message.body),
            )

    def _receive(self, to: VmId, vm: VmId, body: bytes) -> None:
        if self._is_awake(to):
            self._deciders[to].receive(vm, body)

    def _step_decider(self, vm: VmId, zone: _Zone) -> None:
        state = self._state(zone)
        actions = self._deciders[vm].step(
            snapshot=Snapshot(services={SERVICE: zone.service}),
            states={} if state is None else {MOVE_ID: state},
            members=zone.members,
            now=START + timedelta(seconds=self._now),
        )
        for action in actions:
            match action:
                case PublishState():
                    self._publish(zone, encode_move_state(action.state))
                case SendReport():
                    self._send(zone, vm, action)
                case AppendVerdict():
                    self._append(zone, action.record)
                case WriteAuditLine():
                    line = f'{self._now:7.1f} {vm}: {action.text}'
                    self._result.notes.append(line)

    def _publish(self, origin: _Zone, body: bytes) -> None:
        for zone in self._zones:
            way = _NEAR if zone is origin else _FAR
            self._spread(origin, zone, body, self._random.uniform(*way))

    def _spread(
        self,
        origin: _Zone,
        zone: _Zone,
        body: bytes,
        delay: float,
    ) -> None:
        def arrive() -> None:  # noqa: WPS430 - a delivery in flight
            if self._parted(origin, zone):
                # Digest exchange brings it after the partition heals.
                self._spread(origin, zone, body, 1)
            else:
                zone.entry = merge_states(zone.entry, body)

        self._later(delay, arrive)

    def _parted(self, one: _Zone, other: _Zone) -> bool:
        if one is other:
            return False
        return one.number in self._cut or other.number in self._cut

    # Log

    def _append(self, zone: _Zone, record: VerdictRecord) -> None:
        if self._log_down or zone.number in self._cut:
            return
        if self._result.verdict is not None:
            return
        self._result.verdict = record.kind
        self._result.verdict_at = self._now
        self._result.notes.append(
            f'{self._now:7.1f} {record.decided_by}: {record.kind.value}: '
            f'{record.reason}',
        )
        for reader in self._zones:
            way = self._random.uniform(*_LOG_WAY)
            self._read_log(reader, record.kind, way)

    def _read_log(self, zone: _Zone, kind: VerdictKind, delay: float) -> None:
        def arrive() -> None:  # noqa: WPS430 - a delivery in flight
            if self._log_down or zone.number in self._cut:
                self._read_log(zone, kind, 1)
                return
            version = NEW if kind is VerdictKind.DONE else OLD
            zone.service = replace(zone.service, version=version, move=None)

        self._later(delay, arrive)

    # Faults

    def _schedule_faults(self) -> None:
        scenario = self._scenario
        match scenario.kind:
            case Kind.LATE_UPSTREAMS:
                late = scenario.window * _LATE_FRACTION
                self._later(late, self._announce_late)
            case Kind.ONE_CRASHES:
                self._later(scenario.begins, self._crash_upstream)
        at = scenario.disturbed_at
        lasts = scenario.disturbed_for
        match scenario.disturbance:
            case Disturbance.DECIDER_DIES:
                self._later(at, lambda: self._kill(self._chosen()))
            case Disturbance.DECIDER_PAUSES:
                self._later(at, lambda: self._pause(self._chosen(), lasts))
            case Disturbance.HERD_DIES:
                self._later(at, self._kill_herd)
            case Disturbance.ZONE_CUT_OFF:
                self._later(at, self._cut_zone)
                self._later(at + lasts, self._heal_zone)
            case Disturbance.LOG_OUTAGE:
                self._later(at, lambda: self._switch_log(down=True))
                self._later(at + lasts, lambda: self._switch_log(down=False))

    def _announce_late(self) -> None:
        for zone in self._zones:
            for number in range(self._scenario.new_per_zone):
                self._start_vm(_name(zone, NEW, number), zone.name, NEW)
        self._refresh_members()

    def _refresh_members(self) -> None:
        for zone in self._zones:
            zone.members = {
                vm: member
                for vm, member in self._members.items()
                if not self._parted_names(zone, member.availability_zone)
                and self._is_awake(vm)
            }

    def _parted_names(self, zone: _Zone, other: AvailabilityZone) -> bool:
        far = next(known for known in self._zones if known.name == other)
        return self._parted(zone, far)

    def _crash_upstream(self) -> None:
        vm = _name(self._zones[0], NEW, 0)
        if vm not in self._members:
            return
        self._crashing.add(vm)
        self._later(self._random.uniform(0.3, 1.5), lambda: self._leave(vm))

    def _leave(self, vm: VmId) -> None:
        self._crashing.discard(vm)
        self._kill(vm)
        self._refresh_members()

    def _chosen(self) -> VmId | None:
        zone = self._zones[0]
        move = zone.service.move
        if move is None:
            return None
        return choose_decider(move, zone.name, zone.members)

    def _kill(self, vm: VmId | None) -> None:
        if vm is None or vm not in self._members:
            return
        member = self._members.pop(vm)
        version = member.upstream.version if member.upstream else OLD
        zone = member.availability_zone
        self._later(_MISSED_AFTER, self._refresh_members)
        self._later(_BACK_AFTER, lambda: self._start_vm(vm, zone, version))
        self._later(_BACK_AFTER, self._refresh_members)

    def _pause(self, vm: VmId | None, lasts: float) -> None:
        if vm is None:
            return
        # The other members miss it after a while and choose another.
        self._paused[vm] = self._now + lasts
        self._later(_MISSED_AFTER, self._refresh_members)
        self._later(lasts + _TICK, self._refresh_members)

    def _kill_herd(self) -> None:
        for vm in tuple(self._members)[::2]:
            self._kill(vm)

    def _cut_zone(self) -> None:
        self._cut.add(len(self._zones) - 1)
        self._later(_MISSED_AFTER, self._refresh_members)

    def _heal_zone(self) -> None:
        self._cut.clear()
        self._later(1, self._refresh_members)

    def _switch_log(self, *, down: bool) -> None:
        self._log_down = down


def _name(zone: _Zone, version: VersionName, number: int) -> VmId:
    return VmId(f'{zone.name}-{version}-{number}')
