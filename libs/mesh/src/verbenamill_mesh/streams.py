"""Names of the streams on the log."""

#: Tickets and verdicts, written by operators and deciders.
CONFIG = 'config'
#: Checkpoints of the state that ``config`` leads to.
CHECKPOINTS = 'checkpoints'
#: Addresses of daemons in each availability zone.
GATEWAYS = 'gateways'
