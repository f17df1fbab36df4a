"""Real daemons under the troubles of known seeds keep their promises."""

import tomllib
from pathlib import Path

import pytest
import trio

from verbenamill_soak.run import Wanted, run

RUNS = tomllib.loads(
    Path(__file__).with_name('seeds.toml').read_text(encoding='utf-8'),
)['run']


@pytest.mark.parametrize('known', RUNS, ids=lambda known: str(known['seed']))
def test_a_known_seed_keeps_its_promises(known, tmp_path):
    wanted = Wanted(
        seed=known['seed'],
        vms=known['vms'],
        seconds=known['seconds'],
    )
    report = trio.run(run, wanted, tmp_path)
    assert report.verdict == 'kept', report.broken
    assert report.requests['200'] > 0
