"""Properties of acceptance for arbitrary logs."""

from datetime import UTC, datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_model import (
    Applied,
    Entry,
    Refusal,
    Route,
    Service,
    State,
    Ticket,
    TicketRecord,
    VerdictRecord,
    accept,
    decode_state,
    encode_record,
    encode_state,
    fold,
)
from verbenamill_model.typing import VerdictKind

START = datetime(2026, 12, 2, tzinfo=UTC)
NAMES = st.sampled_from(['entries', 'catalog', 'studio'])
VERSIONS = st.sampled_from(['v1', 'v2'])
FEW = {'max_size': 2}

services = st.builds(
    Service,
    name=NAMES,
    version=VERSIONS,
    deadline=st.sampled_from(
        [None, START + timedelta(seconds=3), START + timedelta(hours=1)]
    ),
)
routes = st.builds(
    Route,
    name=NAMES,
    prefix=NAMES.map('/{}'.format),
    service=NAMES,
)
tickets = st.builds(
    Ticket,
    number=st.integers(0, 8),
    author=st.sampled_from(['ann', 'bob', ' ']),
    services=st.lists(services, **FEW).map(tuple),
    routes=st.lists(routes, **FEW).map(tuple),
    remove_services=st.lists(NAMES, max_size=1).map(tuple),
    remove_routes=st.lists(NAMES, max_size=1).map(tuple),
    aborts=st.lists(NAMES, max_size=1).map(tuple),
)
#: Tickets that are mostly accepted, so that moves start and end.
useful = st.builds(
    lambda number, name, version: Ticket(
        number=number,
        author='ann',
        services=(
            Service(
                name=name,
                version=version,
                deadline=START + timedelta(hours=1),
            ),
        ),
        routes=(Route(name=name, prefix=f'/{name}', service=name),),
    ),
    st.integers(1, 30),
    NAMES,
    VERSIONS,
)
verdicts = st.builds(
    VerdictRecord,
    move=st.integers(0, 12),
    service=NAMES,
    kind=st.sampled_from(VerdictKind),
    decided_by=st.just('vm-1'),
)
bodies = st.one_of(
    st.builds(TicketRecord, ticket=useful).map(encode_record),
    st.builds(TicketRecord, ticket=tickets).map(encode_record),
    st.builds(TicketRecord, ticket=useful, record_version=st.just(2)).map(
        encode_record
    ),
    verdicts.map(encode_record),
    st.sampled_from([b'', b'{"type":"ticket"}', b'[1]', b'x' * 300_000]),
)


@st.composite
def logs(draw):
    """Logs of records, some of which are repeated later."""
    drawn = draw(st.lists(bodies, min_size=1, max_size=14))
    repeated = draw(st.lists(st.sampled_from(drawn), max_size=6))
    mixed = draw(st.permutations([*drawn, *repeated]))
    return tuple(
        Entry(offset=offset, at=START + timedelta(seconds=offset), body=body)
        for offset, body in enumerate(mixed)
    )


checked = settings(derandomize=True, max_examples=150, deadline=None)


@checked
@given(logs(), st.data())
def test_a_checkpoint_at_any_offset_leads_to_the_same_state(entries, data):
    """A daemon that starts from a checkpoint agrees with one that reads all.

    Otherwise the two would run different configurations, and no later record
    would make them equal again.
    """
    whole = fold(State(), entries).unwrap()
    cut = data.draw(st.integers(0, len(entries)))
    first = fold(State(), entries[:cut]).unwrap()
    restored = decode_state(encode_state(first)).unwrap()
    rest = fold(restored, entries[cut:]).unwrap()
    assert rest == whole
    assert rest.digest == whole.digest
    # The comparison of dicts ignores their order, on which the reasons of
    # refusals and the order of verdicts depend.
    assert list(rest.snapshot.services) == list(whole.snapshot.services)
    assert list(rest.snapshot.routes) == list(whole.snapshot.routes)


@checked
@given(logs())
def test_each_record_preserves_the_invariants(entries):
    state = State()
    for entry in entries:
        after, answer = accept(state, entry)
        assert after.offset == entry.offset
        if isinstance(answer, Applied):
            assert after.snapshot.version == answer.version == entry.offset
        else:
            assert after.snapshot == state.snapshot
            assert after.verdicts == state.verdicts
            assert isinstance(answer, Refusal) == (
                after.refusals != state.refusals
            )
        for resource, number in state.numbers.items():
            assert after.numbers[resource] >= number
        for route in after.snapshot.routes.values():
            assert route.service in after.snapshot.services
        moves = [verdict.move.id for verdict in after.verdicts]
        assert len(moves) == len(set(moves)), 'a move has one verdict'
        state = after


@checked
@given(logs())
def test_retrying_all_accepted_tickets_changes_nothing(entries):
    """Every ticket is published again, in order, after its answer was lost.

    A retry of a current or former change must neither be applied a second time
    nor undo a later change.
    """
    state = fold(State(), entries).unwrap()
    accepted = [
        entry
        for entry in entries
        if isinstance(
            accept(fold(State(), entries[: entry.offset]).unwrap(), entry)[1],
            Applied,
        )
    ]
    retries = tuple(
        Entry(
            offset=len(entries) + index,
            at=START + timedelta(minutes=1),
            body=entry.body,
        )
        for index, entry in enumerate(accepted)
    )
    assert fold(state, retries).unwrap().snapshot == state.snapshot


@checked
@given(logs(), st.data())
def test_a_gap_in_the_offsets_is_an_error(entries, data):
    missing = data.draw(st.integers(0, len(entries) - 1))
    rest = entries[:missing] + entries[missing + 1 :]
    outcome = fold(State(), rest)
    if missing == len(entries) - 1:
        assert outcome.unwrap().offset == missing - 1
    else:
        assert 'does not follow' in outcome.failure()
