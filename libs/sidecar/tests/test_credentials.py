"""Which organisation a request belongs to, by its key or its parent."""

import pytest
from msgspec import Struct

from verbenamill_policy.organisations import (
    Organisation,
    OrganisationIndex,
    digest_key,
)
from verbenamill_sidecar.routing.credentials import (
    MAX_NESTED_CALLS,
    Identity,
    KeyFault,
    identify,
)

INDEX = OrganisationIndex(
    (
        Organisation(name='acme', keys=(digest_key(b'k1'),), priority=0),
        Organisation(name='other', keys=(digest_key(b'k2'),)),
    )
)
KEY = b'key'


class Parent(Struct):
    organisation: str = 'acme'
    key: int = 7
    nested_calls: int = 0


def find(*keys, id=b'r1', parent=None, is_public=False):
    headers = [(b'host', b'h'), *((KEY, key) for key in keys)]
    return identify(
        headers, KEY, INDEX, id=id, parent=parent, is_public=is_public
    )


@pytest.mark.parametrize(
    ('keys', 'fault'),
    [
        ((), KeyFault.MISSING),
        ((b'',), KeyFault.EMPTY),
        ((b' \t',), KeyFault.EMPTY),
        ((b'k1', b'k1'), KeyFault.REPEATED),
        ((b'k1', b'k3'), KeyFault.REPEATED),
        ((b'k1, k1',), KeyFault.UNKNOWN),
        ((b'K1',), KeyFault.UNKNOWN),
    ],
)
def test_only_one_known_key_identifies(keys, fault):
    """Guards against service without a key that is known and unambiguous."""
    assert find(*keys) is fault
    assert find(*keys, is_public=True) == Identity()
    if keys:
        # A key that is wrong must not pass as a nested call.
        assert find(*keys, id=b'r1.n', parent=Parent()) is fault


def test_a_known_key_identifies_its_organisation_everywhere():
    """Guards against a nested id that evades the quota of a known key."""
    assert find(b'k1').organisation == 'acme'
    assert find(b'k1').priority == 0
    assert find(b'k2').priority is None
    assert find(b'k2', is_public=True).organisation == 'other'
    found = find(b'k2', id=b'r1.n', parent=Parent())
    assert (found.organisation, found.is_nested) == ('other', False)


def test_a_nested_call_inherits_the_organisation_of_its_parent():
    """Guards against nested calls that lack a key or lose the priority."""
    found = find(id=b'r1.n', parent=Parent())
    assert found == Identity(
        organisation='acme', priority=0, key=7, is_nested=True
    )
    # The organisation of a running request may have been removed.
    gone = find(id=b'r1.n', parent=Parent(organisation='gone'))
    assert (gone.organisation, gone.priority) == ('gone', None)
    assert find(id=b'r1.n', parent=Parent(organisation='')).organisation == ''


def test_an_orphaned_nested_call_may_be_retried():
    """Guards against 401 for a request that a restart has orphaned."""
    assert find(id=b'r1.n') is KeyFault.ORPHANED
    assert KeyFault.ORPHANED.is_temporary
    assert not KeyFault.MISSING.is_temporary


def test_the_nested_calls_of_a_request_are_limited():
    """Guards against unlimited calls with the id of a request in flight."""
    parent = Parent()
    for _ in range(MAX_NESTED_CALLS):
        assert isinstance(find(id=b'r1.n', parent=parent), Identity)
    assert find(id=b'r1.n', parent=parent) is KeyFault.EXHAUSTED
    assert find(id=b'r1.n', parent=parent, is_public=True) is KeyFault.EXHAUSTED
