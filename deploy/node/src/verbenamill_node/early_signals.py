"""What a process does before it imports the daemon, which takes a while."""

import signal


def ignore_hangups() -> None:
    """Ignore SIGHUP until the daemon handles it.

    It tells that the settings have changed; a process that starts reads them
    anyway, and the default action of the signal would terminate it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
