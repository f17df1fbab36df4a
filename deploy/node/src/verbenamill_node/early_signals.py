"""What a process does before it imports the daemon, which takes a while."""

import signal


def ignore_hangups() -> None:
    """Ignore SIGHUP until the daemon handles it.

    SIGHUP means that the settings have changed; a new process reads them
    anyway, and the default action of the signal would terminate it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
