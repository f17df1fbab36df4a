"""The measurements of the daemon."""

import json

from typer.testing import CliRunner

from verbenamill_soak.node_bench import app


def test_a_start_is_measured_until_the_daemon_listens():
    """Guards against figures of a daemon that never came up."""
    result = CliRunner().invoke(app, ['start', '--runs', '1', '--json'])
    assert result.exit_code == 0, result.output
    report = json.loads(result.output)
    assert report['listening'] > 0
    assert report['cpu'] > 0
    assert 'trio._core._run' in report['imports']
