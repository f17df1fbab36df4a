"""``verbenamill-bench state``: what a daemon's state costs as it grows.

One process is enough: the state and the table of members are the same on
every daemon, so they can be measured at the two-year size itself.
"""

import resource
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import msgspec
from msgspec import Struct

from verbenamill_bench.figures import Machine, describe_machine
from verbenamill_bench.setup import VERSION
from verbenamill_mesh.members import MemberRecord, Members, MemberStatus
from verbenamill_mesh.store import Store, Update
from verbenamill_model import (
    Entry,
    Route,
    Service,
    State,
    Ticket,
    TicketRecord,
    accept,
    encode_record,
    encode_state,
)
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import (
    AvailabilityZone,
    Offset,
    Region,
    RouteName,
    ServiceName,
    TicketNumber,
    UpstreamState,
    VmId,
)

ROUTES_EACH = 2
REPEATS = 50
ZONES = 21
_START = datetime(2026, 12, 1, tzinfo=UTC)
_TOPIC = 'members'


class StateFigures(Struct, frozen=True, kw_only=True):
    """A configuration of some services.

    :param state_bytes: of a checkpoint.
    :param accept_ms: processor time to fold one more ticket in.
    """

    services: int
    state_bytes: int
    accept_ms: float


class MembersFigures(Struct, frozen=True, kw_only=True):
    """A table of some members, each with an upstream.

    :param value_bytes: of all members as they travel.
    :param memory: growth of the process, in bytes.
    :param learn_ms: processor time to take one news of a member.
    :param alive_ms: processor time of the first table asked for after it.
    """

    members: int
    value_bytes: int
    memory: int
    learn_ms: float
    alive_ms: float


class StateReport(Struct, kw_only=True):
    """All that ``verbenamill-bench state`` measured."""

    machine: Machine
    states: list[StateFigures] = []
    members: list[MembersFigures] = []


def measure_state(services: list[int], members: list[int]) -> StateReport:
    """Measure states and tables of the given sizes, smallest first."""
    report = StateReport(machine=describe_machine())
    for count in sorted(members):
        report.members.append(_measure_members(count))
    for count in sorted(services):
        report.states.append(_measure_services(count))
    return report


def _measure_services(count: int) -> StateFigures:
    state = State()
    for number in range(count):
        state = _fold(state, number, number)
    full = state
    accept_ms = _time_each(lambda step: _fold(full, step % count, count + step))
    return StateFigures(
        services=count,
        state_bytes=len(encode_state(full)),
        accept_ms=accept_ms,
    )


def _fold(state: State, service: int, number: int) -> State:
    name = ServiceName(f'service-{service}')
    ticket = Ticket(
        number=TicketNumber(number + 1),
        author='bench',
        note=f'change {number}',
        services=(Service(name=name, version=VERSION),),
        routes=tuple(
            Route(
                name=RouteName(f'{name}-{place}'),
                prefix=f'/{name}/{place}',
                service=name,
            )
            for place in range(ROUTES_EACH)
        ),
    )
    entry = Entry(
        offset=Offset(state.offset + 1),
        at=_START + timedelta(seconds=number),
        body=encode_record(TicketRecord(ticket=ticket)),
    )
    return accept(state, entry)[0]


def _measure_members(count: int) -> MembersFigures:
    before = _memory()
    store = Store()
    members = Members(_member(0), store, on_refutation_needed=print)
    size = 0
    for number in range(1, count):
        update = _news(number, incarnation=1)
        size += len(update.value)
        members.merge_update(update)
    members.alive()
    grown = _memory() - before
    learn_ms = _time_each(
        lambda step: members.merge_update(_news(step + 1, incarnation=2)),
    )

    def look(step: int) -> None:
        members.merge_update(_news(step + 1, incarnation=3))
        members.alive()

    return MembersFigures(
        members=count,
        value_bytes=size,
        memory=grown,
        learn_ms=learn_ms,
        alive_ms=round(_time_each(look) - learn_ms, 4),
    )


def _news(number: int, *, incarnation: int) -> Update:
    record = MemberRecord(
        incarnation, MemberStatus.ALIVE, _member(number, incarnation)
    )
    return Update(_TOPIC, f'vm-{number}', msgspec.msgpack.encode(record))


def _member(number: int, incarnation: int = 0) -> Member:
    return Member(
        id=VmId(f'vm-{number}'),
        availability_zone=AvailabilityZone(f'az-{number % ZONES}'),
        region=Region('loopback'),
        control=f'10.0.{number // 250}.{number % 250}:7000',
        calls=f'10.0.{number // 250}.{number % 250}:7001',
        admin=f'10.0.{number // 250}.{number % 250}:7002',
        incarnation=incarnation,
        upstream=Upstream(
            service=ServiceName(f'service-{number % 1200}'),
            version=VERSION,
            state=UpstreamState.READY,
            slots=16,
            connections=130,
        ),
    )


def _time_each(act: Callable[[int], object]) -> float:
    """Processor milliseconds of one call."""
    began = time.process_time()
    for step in range(REPEATS):
        act(step)
    return round(1000 * (time.process_time() - began) / REPEATS, 4)


def _memory() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
