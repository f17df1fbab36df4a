"""Free ports for the daemons of a test."""

import pytest

from verbenamill_platform_standins.ports import find_ports


@pytest.fixture
def free_ports():
    """Function that finds ports whose next higher port is free too."""
    return find_ports
