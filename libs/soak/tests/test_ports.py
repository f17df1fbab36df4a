"""Ports for daemons that are started one after the other."""

import subprocess
import sys

from verbenamill_platform_standins import ports
from verbenamill_platform_standins.ports import find_ports

BLOCK = ports._BLOCK


def draw_elsewhere(first, last):
    """Let another process draw a port of a range."""
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
    # Six daemons ask for ports before any of them listens. Two that got the
    # same one would both be started, and the second one end with "address
    # already in use": a run that is broken for no fault of the daemon.
    given = [port for _ in range(100) for port in find_ports(5)]
    assert len(set(given)) == len(given) == 500


def test_no_port_is_given_out_in_two_processes():
    """Guards against daemons of one run that get requests of another.

    A daemon is down for a while, and another run's daemon takes its port.
    """
    for first in {port // BLOCK * BLOCK for port in find_ports(40)}:
        drawn = draw_elsewhere(first, first + BLOCK)
        assert drawn.returncode == 1
        assert drawn.stderr.strip().endswith('are in use')


def test_another_process_has_ports_of_its_own():
    drawn = draw_elsewhere(ports._FIRST, ports._LAST)
    assert drawn.returncode == 0, drawn.stderr
    assert int(drawn.stdout) not in ports._untried
