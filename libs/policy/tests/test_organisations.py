"""Organisations are found by the digests of their keys."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.organisations import (
    Organisation,
    OrganisationIndex,
    compute_fingerprint,
    digest_key,
)

keys = st.binary(min_size=1, max_size=8)
key_sets = st.lists(keys, unique=True, max_size=12)


@settings(derandomize=True, deadline=None)
@given(key_sets, st.integers(1, 4), keys)
def test_each_key_finds_its_organisation_and_no_other_key_does(
    known, count, other
):
    """Guards against a request that is charged to another organisation."""
    holders = {key: f'o{place % count}' for place, key in enumerate(known)}
    index = OrganisationIndex(
        Organisation(
            name=f'o{number}',
            keys=tuple(
                digest_key(key)
                for key, name in holders.items()
                if name == f'o{number}'
            ),
        )
        for number in range(count)
    )
    for key in {*known, other}:
        digest = digest_key(key)
        found = index.find(digest)
        assert (found and found.name) == holders.get(key)
        fingerprint = compute_fingerprint(digest)
        for number in range(count):
            holds = holders.get(key) == f'o{number}'
            assert index.holds(f'o{number}', fingerprint) == holds
    assert index.get('o0').name == 'o0'
    assert index.get(f'o{count}') is None
