"""The story of one request, from the log lines of the daemons."""

from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.output import Report

#: Codes of events that end a request at the daemon that took it.
_ENDS = frozenset(('VM6008', 'VM6009', 'VM6010'))
#: What a daemon believed: event code, and what it is called in the story.
#: The last line of each before the request's end is shown with its age.
_BELIEFS = {
    'VM2003': 'configuration',
    'VM3007': 'store',
    'VM3008': 'store',
    'VM5001': 'move',
    'VM6005': 'own upstream',
    'VM6006': 'own upstream',
    'VM6016': 'limit of the own upstream',
    'VM6017': 'limit of the own upstream',
    'VM6018': 'own upstream',
}
#: Codes of lines about another daemon, by the field that names it.
_ABOUT = {'VM4001': 'peer', 'VM4002': 'peer', 'VM4006': 'vm'}
#: Codes of events that tell that a request is blocked, or not any more.
_BLOCKS = frozenset(('VM6014', 'VM6015'))
STANDARD_INPUT = Path('-')


class Line(Struct, frozen=True):
    """One event as a daemon wrote it.

    :param vm: daemon that wrote it; empty in logs that do not say.
    """

    at: datetime
    code: str | None
    message: str
    fields: dict[str, Any] = {}
    vm: str = ''

    @property
    def request(self) -> str:
        """Request that the line is about."""
        return str(self.fields.get('request', ''))


class Belief(Struct, frozen=True):
    """What a daemon believed when a request ended.

    :param age: time since it came to believe that, in seconds.
    """

    matter: str
    age: float
    message: str


class Story(Struct, frozen=True, kw_only=True):
    """Everything that the lines tell of a request.

    :param cause: the line that decided it, if one did.
    :param crashes: lines of upstreams that crashed with the same request in
        hand, and of its block at the daemon that took it.
    """

    request: str
    lines: tuple[Line, ...]
    cause: Line | None
    beliefs: tuple[Belief, ...]
    crashes: tuple[Line, ...] = ()
    unreadable: int = 0


_decoder = msgspec.json.Decoder(Line)


def read_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Decode lines; those that are no events are counted.

    What stands before the first brace, as a collector may put it there, is
    skipped.
    """
    lines = []
    unreadable = 0
    for text in texts:
        start = text.find('{')
        if start < 0:
            unreadable += bool(text.strip())
            continue
        try:
            lines.append(_decoder.decode(text[start:]))
        except msgspec.MsgspecError:
            unreadable += 1
    return lines, unreadable


def tell_story(
    request: str,
    lines: list[Line],
    unreadable: int = 0,
) -> Result[Story, CliError]:
    """Find what became of a request, and why."""
    own = [line for line in lines if _is_about(line, request)]
    if not own:
        return Failure(_not_found(request, lines, unreadable))
    own.sort(key=lambda line: line.at)
    cause = _find_cause(own, request)
    beliefs = () if cause is None else tuple(_find_beliefs(lines, cause))
    crashes = () if cause is None else tuple(_find_crashes(lines, cause))
    return Success(
        Story(
            request=request,
            lines=tuple(own),
            cause=cause,
            beliefs=beliefs,
            crashes=crashes,
            unreadable=unreadable,
        ),
    )


def report_story(story: Story) -> Report:
    """The story for people."""
    lines = [f'request {story.request}', *map(_show_line, story.lines)]
    cause = story.cause
    if cause is None:
        lines.append('no line says how it ended at the daemon that took it')
    else:
        lines.append(f'decided by {cause.code} at {cause.vm or "its daemon"}:')
        lines.extend(
            f'  {name} = {_show(found)}' for name, found in cause.fields.items()
        )
    if story.beliefs:
        lines.append('what that daemon believed then:')
    for belief in story.beliefs:
        lines.append(
            f'  {belief.matter}, {belief.age:.3f} s old: {belief.message}',
        )
    if story.crashes:
        lines.append('crashes of upstreams that ran the same request:')
        lines.extend(map(_show_line, story.crashes))
    if story.unreadable:
        lines.append(f'{story.unreadable} lines could not be read')
    return Report(data=story, lines=tuple(lines))


def explain(request: str, files: list[Path]) -> Result[Report, CliError]:
    """Read log files and tell the story of a request."""
    lines: list[Line] = []
    unreadable = 0
    for file in files:
        try:
            found, faulty = read_lines(_texts(file))
        except OSError as error:
            return Failure(
                CliError(
                    code=ExitCode.USAGE,
                    message=f'{file} cannot be read: {error.strerror}',
                    action='name files with the logs of daemons, or - for '
                    'standard input',
                ),
            )
        lines.extend(found)
        unreadable += faulty
    return tell_story(request, lines, unreadable).map(report_story)


def _texts(file: Path) -> list[str]:
    if file == STANDARD_INPUT:
        return typer.get_text_stream('stdin').readlines()
    return file.read_text(encoding='utf-8', errors='replace').splitlines()


def _is_about(line: Line, request: str) -> bool:
    """Whether a line is about a request or a call that it made."""
    told = line.request
    return told == request or told.startswith(f'{request}.')


def _find_cause(own: list[Line], request: str) -> Line | None:
    ends = [line for line in own if line.code in _ENDS]
    # A nested call that failed first explains the request that made it.
    nested = [line for line in ends if line.request != request]
    return next(iter((*nested, *ends)), None)


def _find_beliefs(lines: list[Line], cause: Line) -> Iterator[Belief]:
    tried = [
        str(one).partition(':')[0] for one in cause.fields.get('tried') or ()
    ]
    newest: dict[str, Line] = {}
    for line in lines:
        if line.vm != cause.vm or line.at > cause.at:
            continue
        matter = _matter_of(line, tried)
        known = newest.get(matter)
        if matter and (known is None or known.at <= line.at):
            newest[matter] = line
    for matter, line in sorted(newest.items()):
        age = (cause.at - line.at).total_seconds()
        yield Belief(matter, age, line.message)


def _find_crashes(lines: list[Line], cause: Line) -> list[Line]:
    """Crashes under requests with the same content, and what they led to."""
    fingerprint = cause.fields.get('fingerprint')
    if fingerprint is None:
        return []
    found = [
        line
        for line in lines
        if fingerprint in (line.fields.get('fingerprints') or ())
        or (
            line.code in _BLOCKS
            and line.vm == cause.vm
            and line.fields.get('fingerprint') == fingerprint
        )
    ]
    return sorted(found, key=lambda line: line.at)


def _matter_of(line: Line, tried: list[str]) -> str:
    code = line.code or ''
    about = _ABOUT.get(code)
    if about is not None:
        name = str(line.fields.get(about, ''))
        return f'daemon {name}' if name in tried else ''
    return _BELIEFS.get(code, '')


def _not_found(request: str, lines: list[Line], unreadable: int) -> CliError:
    if lines:
        message = f'no line of {len(lines)} is about request {request!r}'
        action = (
            'check the id, give the logs of all daemons of that time, and '
            'note that answers in time have no line of their own'
        )
    else:
        message = f'no line is an event of a daemon; {unreadable} are not'
        action = 'give logs in JSON: [logging] format = "json"'
    return CliError(code=ExitCode.NOT_FOUND, message=message, action=action)


def _clock(moment: datetime) -> str:
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _show_line(line: Line) -> str:
    vm = line.vm or 'unknown daemon'
    return f'  {_clock(line.at)}  {vm}  {line.code}  {line.message}'


def _show(found: Any) -> str:
    if isinstance(found, list):
        return '; '.join(map(str, found)) or 'nobody'
    return str(found)
