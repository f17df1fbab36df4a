"""The size that decides the design, and the limits a daemon has."""

#: Daemons, each with its upstream.
DAEMONS = 25_000
SERVICES = 1_200
ZONES = 21
REGIONS = 9
CALLS_PER_SECOND = 1_500_000
#: Calls of each daemon, by the users' letter.
CALLS_A_DAEMON = CALLS_PER_SECOND / DAEMONS
CHANGES_A_DAY = 14_000
RESTARTS_A_DAY = 1_642
DAY = 86_400
#: Changes come at working hours, and in bursts.
PEAK = 10
CONTROL_CPU = 0.023
CONTROL_MEMORY = 256 * 1024 * 1024
CONTROL_BYTES = 8 * 1024
IN_FORCE_MS = 10_000
ADDED_P99_MS = 1.2
#: Appends a second that the log takes.
LOG_APPENDS = 300
