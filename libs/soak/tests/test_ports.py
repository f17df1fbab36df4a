"""Allocation of ports for daemons that start one after the other."""

import subprocess
import sys

from verbenamill_platform_standins import ports
from verbenamill_platform_standins.ports import find_ports

BLOCK = ports._BLOCK


def allocate_elsewhere(first, last):
    """Let another process allocate a port from a range."""
    program = (
        'from verbenamill_platform_standins import ports;'
        f'ports._FIRST = {first}; ports._LAST = {last};'
        'print(*ports.find_ports(1))'
    )
    return subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        check=False,
        text=True,
    )


def test_no_port_is_given_out_twice():
    # Six daemons get their ports before any of them listens. If two got the
    # same port, the second one would exit with "address already in use", and
    # the run would fail without a fault of the daemon.
    allocated = [port for _ in range(100) for port in find_ports(5)]
    assert len(set(allocated)) == len(allocated) == 500


def test_no_port_is_given_out_in_two_processes():
    """Guards against daemons that get the requests of another run.

    While a daemon is down, a daemon of another run could take its port.
    """
    for first in {port // BLOCK * BLOCK for port in find_ports(40)}:
        result = allocate_elsewhere(first, first + BLOCK)
        assert result.returncode == 1
        assert result.stderr.strip().endswith('are in use')


def test_another_process_has_ports_of_its_own():
    result = allocate_elsewhere(ports._FIRST, ports._LAST)
    assert result.returncode == 0, result.stderr
    assert int(result.stdout) not in ports._untried
