"""The daemon's process before it serves."""

import os
import signal
import subprocess
import sys


def test_a_hangup_does_not_end_a_daemon_that_starts(tmp_path):
    """Guards against a start that ends as the settings change."""
    settings = tmp_path / 'daemon.toml'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, '-m', 'verbenamill_node', str(settings)],
        stdout=subprocess.DEVNULL,
    )
    # It opens once the daemon begins to read its settings.
    with settings.open('w') as file:
        process.send_signal(signal.SIGHUP)
        file.write('no settings')
    assert process.wait(20) == 2
