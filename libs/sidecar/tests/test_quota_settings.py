"""Settings of the margin by which quotas may be exceeded."""

from verbenamill_sidecar.settings import check_settings

REQUIRED = """
[vm]
id = "vm1"
availability_zone = "z1"
service = "entries"
[listen]
callers = "127.0.0.1:1"
daemons = "127.0.0.1:2"
gossip = "127.0.0.1:3"
announcements = "127.0.0.1:4"
health = "127.0.0.1:5"
[upstream]
address = "127.0.0.1:6"
[store]
address = "127.0.0.1:7"
[quota]
"""


def test_absent_margins_have_defaults():
    margin = check_settings(REQUIRED + 'slack = 10').unwrap().quota.margin
    assert (margin.window, margin.overshoot, margin.slack) == (5, 0.1, 10)


def test_an_invalid_margin_is_rejected():
    # Guards against a daemon that starts with a negative slack.
    faults = check_settings(REQUIRED + 'slack = -1').failure()
    assert len(faults) == 1
    assert 'slack' in faults[0]
