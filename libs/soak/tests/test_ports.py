"""Ports for daemons that are started one after the other."""

import subprocess
import sys

from verbenamill_platform_standins.ports import find_ports


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
    given = set(find_ports(40))
    program = (
        'from verbenamill_platform_standins.ports import find_ports;'
        'print(*find_ports(4000))'
    )
    done = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        check=True,
        text=True,
    )
    others = set(map(int, done.stdout.split()))
    assert len(others) == 4000
    assert not given & others
