"""Trace of one request, reconstructed from the log lines of the daemons."""

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

#: Codes of events that end a request at the daemon that accepted it.
_FINAL_CODES = frozenset(('VM6008', 'VM6009', 'VM6010', 'VM6022'))
#: Codes of events that change the state of a daemon, and the name of that state
#: in the trace. The last line of each name before the end of the request is
#: shown with its age.
_STATE_CODES = {
    'VM2003': 'configuration',
    'VM3007': 'store',
    'VM3008': 'store',
    'VM5001': 'move',
    'VM6005': 'own upstream',
    'VM6006': 'own upstream',
    'VM6016': 'limit of the own upstream',
    'VM6017': 'limit of the own upstream',
    'VM6018': 'own upstream',
    'VM6019': 'evacuation',
    'VM6020': 'evacuation',
    'VM6021': 'limit of the own upstream',
}
#: Codes of events about another daemon, and the field that names it.
_PEER_FIELDS = {'VM4001': 'peer', 'VM4002': 'peer', 'VM4006': 'vm'}
#: Codes of events that block or unblock a request.
_BLOCK_CODES = frozenset(('VM6014', 'VM6015'))
STANDARD_INPUT = Path('-')


class LogLine(Struct, frozen=True):
    """One event in the log of a daemon.

    :param vm: daemon that wrote the line; empty in logs without this field.
    """

    at: datetime
    code: str | None
    message: str
    fields: dict[str, Any] = {}
    vm: str = ''

    @property
    def request(self) -> str:
        """Id of the request that the line is about; empty if it has none."""
        return str(self.fields.get('request', ''))


class KnownState(Struct, frozen=True):
    """State that a daemon had recorded when a request ended.

    :param matter: name of the state.
    :param age: time since the line that set the state, in seconds.
    """

    matter: str
    age: float
    message: str


class RequestTrace(Struct, frozen=True, kw_only=True):
    """Everything that the log lines contain about a request.

    :param cause: the line that decided the outcome, if there is one.
    :param beliefs: state of the deciding daemon at that time.
    :param crashes: lines about upstreams that crashed while they ran the same
        request, and about its block at the daemon that accepted it.
    """

    request: str
    lines: tuple[LogLine, ...]
    cause: LogLine | None
    beliefs: tuple[KnownState, ...]
    crashes: tuple[LogLine, ...] = ()
    unreadable: int = 0


_decoder = msgspec.json.Decoder(LogLine)


def decode_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Decode log lines, and count those that are not events.

    Any text before the first brace is skipped, because a log collector may
    add a prefix.
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


def trace_request(
    request: str,
    lines: list[LogLine],
    unreadable: int = 0,
) -> Result[RequestTrace, CliError]:
    """Find the outcome of a request and its cause."""
    request_lines = [line for line in lines if _is_about(line, request)]
    if not request_lines:
        return Failure(_not_found(request, lines, unreadable))
    request_lines.sort(key=lambda line: line.at)
    cause = _find_cause(request_lines, request)
    beliefs = () if cause is None else tuple(_find_known_states(lines, cause))
    crashes = () if cause is None else tuple(_find_crashes(lines, cause))
    return Success(
        RequestTrace(
            request=request,
            lines=tuple(request_lines),
            cause=cause,
            beliefs=beliefs,
            crashes=crashes,
            unreadable=unreadable,
        ),
    )


def format_trace(trace: RequestTrace) -> Report:
    """Format the trace as lines of plain text."""
    lines = [f'request {trace.request}', *map(_format_line, trace.lines)]
    cause = trace.cause
    if cause is None:
        lines.append('no line says how it ended at the daemon that took it')
    else:
        lines.append(f'decided by {cause.code} at {cause.vm or "its daemon"}:')
        lines.extend(
            f'  {name} = {_format_value(field)}'
            for name, field in cause.fields.items()
        )
    if trace.beliefs:
        lines.append('what that daemon believed then:')
    for belief in trace.beliefs:
        lines.append(
            f'  {belief.matter}, {belief.age:.3f} s old: {belief.message}',
        )
    if trace.crashes:
        lines.append('crashes of upstreams that ran the same request:')
        lines.extend(map(_format_line, trace.crashes))
    if trace.unreadable:
        lines.append(f'{trace.unreadable} lines could not be read')
    return Report(data=trace, lines=tuple(lines))


def explain(request: str, files: list[Path]) -> Result[Report, CliError]:
    """Read log files and report the trace of a request."""
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        try:
            decoded, skipped = decode_lines(_read_texts(file))
        except OSError as error:
            return Failure(
                CliError(
                    code=ExitCode.USAGE,
                    message=f'{file} cannot be read: {error.strerror}',
                    action='name files with the logs of daemons, or - for '
                    'standard input',
                ),
            )
        lines.extend(decoded)
        unreadable += skipped
    return trace_request(request, lines, unreadable).map(format_trace)


def _read_texts(file: Path) -> list[str]:
    if file == STANDARD_INPUT:
        return typer.get_text_stream('stdin').readlines()
    return file.read_text(encoding='utf-8', errors='replace').splitlines()


def _is_about(line: LogLine, request: str) -> bool:
    """Whether a line is about a request or a nested call of it."""
    line_request = line.request
    return line_request == request or line_request.startswith(f'{request}.')


def _find_cause(request_lines: list[LogLine], request: str) -> LogLine | None:
    final_lines = [line for line in request_lines if line.code in _FINAL_CODES]
    # The first failed nested call explains the failure of the request.
    nested = [line for line in final_lines if line.request != request]
    return next(iter((*nested, *final_lines)), None)


def _find_known_states(
    lines: list[LogLine],
    cause: LogLine,
) -> Iterator[KnownState]:
    tried_peers = [
        str(attempt).partition(':')[0]
        for attempt in cause.fields.get('tried') or ()
    ]
    last_lines: dict[str, LogLine] = {}
    for line in lines:
        if line.vm != cause.vm or line.at > cause.at:
            continue
        matter = _name_state(line, tried_peers)
        last = last_lines.get(matter)
        if matter and (last is None or last.at <= line.at):
            last_lines[matter] = line
    for matter, line in sorted(last_lines.items()):
        age = (cause.at - line.at).total_seconds()
        yield KnownState(matter, age, line.message)


def _find_crashes(lines: list[LogLine], cause: LogLine) -> list[LogLine]:
    """Find crashes during requests with the same content, and its blocks."""
    fingerprint = cause.fields.get('fingerprint')
    if fingerprint is None:
        return []
    crashes = [
        line
        for line in lines
        if fingerprint in (line.fields.get('fingerprints') or ())
        or (
            line.code in _BLOCK_CODES
            and line.vm == cause.vm
            and line.fields.get('fingerprint') == fingerprint
        )
    ]
    return sorted(crashes, key=lambda line: line.at)


def _name_state(line: LogLine, tried_peers: list[str]) -> str:
    code = line.code or ''
    peer_field = _PEER_FIELDS.get(code)
    if peer_field is not None:
        name = str(line.fields.get(peer_field, ''))
        return f'daemon {name}' if name in tried_peers else ''
    return _STATE_CODES.get(code, '')


def _not_found(request: str, lines: list[LogLine], unreadable: int) -> CliError:
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


def _format_clock(time: datetime) -> str:
    return time.strftime('%H:%M:%S.%f')[:-3]


def _format_line(line: LogLine) -> str:
    vm = line.vm or 'unknown daemon'
    return f'  {_format_clock(line.at)}  {vm}  {line.code}  {line.message}'


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return '; '.join(map(str, value)) or 'nobody'
    return str(value)
