"""Ports for daemons that are started one after the other."""

from verbenamill_platform_standins.ports import find_ports


def test_no_port_is_given_out_twice():
    # Six daemons ask for ports before any of them listens. Two that got the
    # same one would both be started, and the second one end with "address
    # already in use": a run that is broken for no fault of the daemon.
    given = [port for _ in range(100) for port in find_ports(5)]
    assert len(set(given)) == len(given) == 500
