"""Documentation pages: their links, commands and exit codes are valid."""

import re
import shlex
from pathlib import Path

import pytest
from typer.main import get_command

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.main import app

ROOT = Path(__file__).parents[3]
PAGES = sorted([ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')])
LINK = re.compile(r'\]\(([^)#:]*)(#[^)]*)?\)')
COMMAND = re.compile(r'(?:^    |`)(verbenamill [^`\n#|>]+)', re.MULTILINE)


def anchors(page):
    headings = re.findall(r'^#+ (.*)$', page.read_text(), re.MULTILINE)
    plain = (re.sub(r'[^\w\- ]', '', heading.lower()) for heading in headings)
    return {f'#{heading.strip().replace(" ", "-")}' for heading in plain}


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_have_a_target(page):
    for target, anchor in LINK.findall(page.read_text()):
        destination = (page.parent / target).resolve() if target else page
        assert destination.exists(), f'{page.name} links to {target}'
        if anchor:
            assert anchor in anchors(destination), (
                f'{page.name}: {target}{anchor}'
            )


@pytest.mark.parametrize('chapter', ['operators', 'design'])
def test_every_page_is_in_its_index(chapter):
    folder = ROOT / 'docs' / chapter
    index = (folder / 'README.md').read_text()
    pages = {page.name for page in folder.glob('*.md')} - {'README.md'}
    missing = {page for page in pages if f'({page})' not in index}
    assert not missing


def find_command(words):
    """Find the command that the words begin with.

    :returns: the command and the remaining words.
    """
    command = get_command(app)
    while words and words[0] in getattr(command, 'commands', {}):
        command = command.commands[words[0]]
        words = words[1:]
    return command, words


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_commands_exist(page):
    for line in COMMAND.findall(page.read_text().replace('\\\n', ' ')):
        command, arguments = find_command(shlex.split(line)[1:])
        assert not hasattr(command, 'commands'), f'{page.name}: {line}'
        known = {name for param in command.params for name in param.opts}
        options = {word for word in arguments if word.startswith('--')}
        assert options <= known, f'{page.name}: {line}'


def test_exit_codes_are_on_the_page():
    page = (ROOT / 'docs/operators/README.md').read_text()
    for code in ExitCode:
        name = code.name.lower().replace('_', ' ')
        assert f'| {code.value} | {name} |' in page
