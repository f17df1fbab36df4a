"""Defaults that depend on each other."""

from verbenamill_calls import CallSettings
from verbenamill_model.checks import MAX_TIMEOUT


def test_owners_remember_longer_than_any_call_takes():
    assert CallSettings().remember >= 2 * MAX_TIMEOUT
