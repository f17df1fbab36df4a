"""Free ports for the daemons of a test."""

import pytest

from verbenamill_platform_standins.ports import find_ports


@pytest.fixture
def free_ports():
    """Ports of which each has a free one behind it."""
    return find_ports
