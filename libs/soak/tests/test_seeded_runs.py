"""Daemons keep their guarantees under the faults of known seeds."""

import tomllib
from pathlib import Path

import pytest
import trio

from verbenamill_soak.run import RunOptions, run

RUNS = tomllib.loads(
    Path(__file__).with_name('seeds.toml').read_text(encoding='utf-8'),
)['run']


@pytest.mark.parametrize('known', RUNS, ids=lambda known: str(known['seed']))
def test_a_known_seed_keeps_all_guarantees(known, tmp_path):
    options = RunOptions(
        seed=known['seed'],
        vms=known['vms'],
        seconds=known['seconds'],
    )
    report = trio.run(run, options, tmp_path)
    assert report.verdict == 'kept', report.broken
    assert report.requests['200'] > 0
    # Keys were revoked during the run.
    assert report.requests['401'] > 0
