"""Acceptance of single tickets and verdicts."""

import sys
from datetime import UTC, datetime, timedelta

import pytest

from verbenamill_model import (
    Applied,
    Entry,
    Refusal,
    Duplicate,
    Route,
    Service,
    State,
    Ticket,
    TicketRecord,
    VerdictRecord,
    accept,
    encode_record,
)
from verbenamill_model.typing import VerdictKind

START = datetime(2026, 12, 2, tzinfo=UTC)


def entry(state, record, *, after=timedelta(0)):
    return Entry(
        offset=state.offset + 1,
        at=START + after,
        body=encode_record(record),
    )


def publish(state, **ticket):
    record = TicketRecord(ticket=Ticket(author='ann', **ticket))
    return accept(state, entry(state, record))


@pytest.fixture
def installed():
    state, answer = publish(
        State(),
        number=1,
        services=(Service(name='entries', version='v1'),),
        routes=(Route(name='entries', prefix='/entries', service='entries'),),
    )
    assert isinstance(answer, Applied)
    return state


@pytest.fixture
def moving(installed):
    wanted = Service(
        name='entries',
        version='v2',
        deadline=START + timedelta(minutes=1),
    )
    state, answer = publish(installed, number=2, services=(wanted,))
    assert isinstance(answer, Applied)
    return state


def test_a_repeated_ticket_changes_nothing(installed):
    """An operator whose answer was lost publishes the ticket again.

    The second copy must not be refused, since the change is in force, and
    must not create a new snapshot.
    """
    again, answer = publish(
        installed,
        number=1,
        services=(Service(name='entries', version='v1'),),
        routes=(Route(name='entries', prefix='/entries', service='entries'),),
    )
    assert isinstance(answer, Duplicate)
    assert again.snapshot == installed.snapshot


def test_a_used_number_with_other_content_is_refused(installed):
    """Two operators use number 1 at the same time; the first one counts."""
    after, answer = publish(
        installed,
        number=1,
        services=(Service(name='catalog', version='v1'),),
    )
    assert isinstance(answer, Refusal)
    assert 'other content' in answer.reason
    assert after.snapshot == installed.snapshot


def test_a_stale_number_is_refused(moving):
    after, answer = publish(
        moving,
        number=1,
        remove_services=('entries',),
    )
    assert isinstance(answer, Refusal)
    assert after.snapshot == moving.snapshot


def test_removing_a_service_with_a_route_is_refused(installed):
    after, answer = publish(installed, number=3, remove_services=('entries',))
    assert isinstance(answer, Refusal)
    assert 'points at service entries' in answer.reason
    assert after.snapshot == installed.snapshot


def test_the_first_verdict_counts(moving):
    """Two deciders end the same move; the verdict at the lower offset counts.

    The later one, from a decider that was paused, must not take the finished
    move back.
    """
    move = moving.snapshot.services['entries'].move
    assert move is not None
    done = VerdictRecord(
        move=move.id,
        service='entries',
        kind=VerdictKind.DONE,
        decided_by='vm-1',
    )
    state, answer = accept(moving, entry(moving, done))
    assert isinstance(answer, Applied)
    late = VerdictRecord(
        move=move.id,
        service='entries',
        kind=VerdictKind.TAKEN_BACK,
        decided_by='vm-2',
    )
    state, answer = accept(state, entry(state, late))
    assert isinstance(answer, Duplicate)
    assert state.snapshot.services['entries'].version == 'v2'
    assert [verdict.kind for verdict in state.verdicts] == [VerdictKind.DONE]


def test_an_invalid_record_is_refused_and_advances_the_offset(installed):
    invalid = Entry(offset=installed.offset + 1, at=START, body=b'{"no":1')
    state, answer = accept(installed, invalid)
    assert isinstance(answer, Refusal)
    assert state.snapshot == installed.snapshot
    assert state.offset == invalid.offset


def test_a_timeout_longer_than_owners_remember_ids_is_refused(installed):
    """A fee request must not outlive its id in the memory of the owner.

    A delayed copy would run a second time, and charge twice.
    """
    route = Route(
        name='fees',
        prefix='/fees',
        service='entries',
        timeout=timedelta(minutes=2),
    )
    _, answer = publish(installed, number=3, routes=(route,))
    assert isinstance(answer, Refusal)
    assert 'the longest is 60 s' in answer.reason


def test_a_verdict_with_an_unknown_record_version_is_refused(moving):
    """A decider of a later release writes a record of an unknown format.

    Applied regardless, it could finish a move that it was meant to hold, and
    the state would differ from that of daemons of the later release.
    """
    move = moving.snapshot.services['entries'].move
    later = VerdictRecord(
        move=move.id,
        service='entries',
        kind=VerdictKind.DONE,
        decided_by='vm-1',
        record_version=2,
    )
    state, answer = accept(moving, entry(moving, later))
    assert isinstance(answer, Refusal)
    assert 'record version 2 is unknown' in answer.reason
    assert state.snapshot == moving.snapshot


def test_the_numbers_of_removed_services_are_bounded(monkeypatch):
    """Services are added and removed for years, each with a different name.

    The memory for removed ones must stay bounded, and an old ticket must still
    not add one of them again.
    """
    module = sys.modules['verbenamill_model.accept']
    monkeypatch.setattr(module, 'MAX_DIGESTS', 8)
    state = State()
    for number in range(1, 101, 2):
        name = f'fair-{number}'
        wanted = (Service(name=name, version='v1'),)
        state, _ = publish(state, number=number, services=wanted)
        state, _ = publish(state, number=number + 1, remove_services=(name,))
    assert len(state.numbers) <= 8
    old = (Service(name='fair-1', version='v1'),)
    after, answer = publish(state, number=3, services=old)
    assert isinstance(answer, Refusal)
    assert after.snapshot == state.snapshot


def test_daemons_with_different_results_have_different_digests(
    installed,
    monkeypatch,
):
    """One daemon runs another release, which allows shorter moves.

    Both have read the same records up to the same offset. With equal digests,
    nobody would notice that their states differ, and a later record must not
    make the digests equal again.
    """
    wanted = Service(
        name='entries',
        version='v2',
        deadline=START + timedelta(seconds=1),
    )
    refused, answer = publish(installed, number=2, services=(wanted,))
    assert isinstance(answer, Refusal)
    checks = sys.modules['verbenamill_model.checks']
    monkeypatch.setattr(checks, 'MIN_MOVE', timedelta(0))
    moved, answer = publish(installed, number=2, services=(wanted,))
    assert isinstance(answer, Applied)
    assert moved.digest != refused.digest
    again = Service(name='entries', version='v1')
    one, _ = publish(moved, number=3, services=(again,))
    other, _ = publish(refused, number=3, services=(again,))
    assert one.offset == other.offset
    assert one.digest != other.digest
