"""Signal handling before the import of the daemon, which takes a while."""

import signal


def ignore_hangups() -> None:
    """Ignore SIGHUP until the daemon installs its own handler.

    SIGHUP announces changed settings. A starting process reads the settings
    anyway, but the default action of the signal would terminate it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
