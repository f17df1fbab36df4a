"""Starts the daemon, optionally with its wall clock set back."""

import sys
from datetime import UTC, datetime, timedelta

from verbenamill_node.early_signals import ignore_hangups


def main() -> int:
    """Run the daemon on a clock set back by the first argument, in seconds.

    A soak run lacks the privileges to set the system clock. The daemon reads
    its wall clock from a single function, which is replaced here.
    """
    ignore_hangups()
    from verbenamill_node import startup  # noqa: PLC0415

    clock_lag = timedelta(seconds=float(sys.argv.pop(1)))
    startup.read_wall_clock = lambda: datetime.now(UTC) - clock_lag
    return startup.main()


if __name__ == '__main__':
    sys.exit(main())
