"""The daemon's process during its startup."""

import os
import signal
import subprocess
import sys


def test_a_hangup_does_not_terminate_a_starting_daemon(tmp_path):
    """Guards against SIGHUP, sent on changed settings, during a startup."""
    settings = tmp_path / 'daemon.toml'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, '-m', 'verbenamill_node', str(settings)],
        stdout=subprocess.DEVNULL,
    )
    # The FIFO opens once the daemon begins to read its settings.
    with settings.open('w') as file:
        process.send_signal(signal.SIGHUP)
        file.write('no settings')
    assert process.wait(20) == 2
