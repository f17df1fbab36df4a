"""Comments give reasons; how a value was chosen belongs in commits."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PRODUCT = (
    'libs/policy/src',
    'libs/sidecar/src',
    'libs/http/src',
    'libs/telemetry/src',
    'platform/src',
    'deploy/node',
)
COMMENT = re.compile(r'^\s*#')
#: Phrases that report trials or results of runs.
STORY = re.compile(
    r'(were|was) seen|gains? little|cost up to|simulated|in trials?\b|'
    r'\bin the median\b|[Ww]ith (a fixed )?[0-9.]+ ?(k?B|m?s)?,|'
    r'\bof worth\b|cases of ten|of [0-9]+ k?B to|'
    r'\b(two|three|four) of [0-9]+\b',
)


def find_stories(root):
    for folder in PRODUCT:
        for path in sorted((root / folder).rglob('*.py')):
            lines = path.read_text(encoding='utf-8').splitlines()
            for number, line in enumerate(lines, 1):
                if COMMENT.match(line) and STORY.search(line):
                    yield f'{path.relative_to(root)}:{number}: {line.strip()}'


def test_no_comment_tells_how_a_value_was_chosen():
    assert not list(find_stories(ROOT))


def test_such_comments_are_found(tmp_path):
    folder = tmp_path / 'libs/policy/src'
    folder.mkdir(parents=True)
    lines = (
        '#: With 2, two of 30 simulated moves were taken back.',
        '# Prices of 23 kB to 83 kB were seen.',
        '#: More cost time and gain little.',
        '#: In seconds; leaves time for a retry.',
    )
    (folder / 'one.py').write_text('\n'.join(lines))
    assert len(list(find_stories(tmp_path))) == 3
