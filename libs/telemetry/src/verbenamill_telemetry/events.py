"""Numbered events: what a daemon tells the people on call.

They stand below the libraries that write them, so that every code has its
one place.

``python -m verbenamill_telemetry.events`` prints the catalogue that stands in
``docs/operators/events.md``; a test fails when the two differ.
"""

import logging
from enum import Enum, unique
from itertools import groupby
from operator import attrgetter

from msgspec import Struct


class EventKind(Struct, frozen=True):
    """What is known of an event before it happens.

    :param code: number that never changes its meaning.
    :param level: level of the standard ``logging`` module.
    :param template: message with the names of fields in braces.
    :param meaning: why it happens, for the catalogue.
    :param action: what an operator does, for the catalogue.
    :param rate: lines a second that are written at most, after a burst.
    """

    code: str
    level: int
    template: str
    meaning: str
    action: str
    rate: float = 1

    @property
    def chapter(self) -> str:
        """Part of the catalogue, by the code's first digit."""
        return _CHAPTERS[self.code[2]]


_CHAPTERS = {
    '1': 'Start and stop',
    '2': 'Configuration',
    '3': 'Log service',
    '4': 'Daemons and links',
    '5': 'Moves',
    '6': 'Upstream and calls',
    '9': 'Faults of the program',
}
_NOTHING = 'Nothing.'


@unique
class Event(Enum):
    """Every event, by what happened."""

    STARTED = EventKind(
        'VM1001',
        logging.INFO,
        'daemon {id} started',
        'The daemon listens on all its addresses.',
        _NOTHING,
    )
    STOPPING = EventKind(
        'VM1002',
        logging.INFO,
        'daemon {id} is stopping',
        'A signal asked for a graceful shutdown. The daemon tells the others '
        'that it leaves and finishes the calls it holds.',
        _NOTHING,
    )
    STOPPED = EventKind(
        'VM1003',
        logging.INFO,
        'daemon {id} stopped',
        'The shutdown is complete; no call was cut.',
        _NOTHING,
    )
    SETTINGS_INVALID = EventKind(
        'VM1004',
        logging.ERROR,
        '{path}: {fault}',
        'The settings file cannot be used; the daemon did not start.',
        'Correct the key that is named, try `verbenamill config check FILE`, '
        'and start the daemon again.',
    )
    SETTINGS_RELOADED = EventKind(
        'VM1005',
        logging.INFO,
        'settings read again: {outcome}',
        'A signal said that the settings file has changed. Addresses stay as '
        'they were until the daemon is started again.',
        'If the outcome names a fault, correct the file.',
    )
    PROCESS_STALLED = EventKind(
        'VM1006',
        logging.WARNING,
        'this daemon stood still for {ms} ms',
        'The process got no processor time, or one step of its own took this '
        'long. Whatever it seems to have seen of others meanwhile is older '
        'than it looks.',
        'Compare the processor time of the VM with its share; look at the '
        'line before for what the daemon was doing.',
    )
    CONFIGURATION_ACCEPTED = EventKind(
        'VM2001',
        logging.INFO,
        'ticket {ticket} accepted at offset {offset}',
        'A ticket passed all checks and changed the configuration.',
        _NOTHING,
    )
    CONFIGURATION_REFUSED = EventKind(
        'VM2002',
        logging.WARNING,
        'record at offset {offset} refused: {reason}',
        'A record on the log changed nothing, on any daemon.',
        'The reason says what to correct. Publish again under a new number.',
    )
    CONFIGURATION_APPLIED = EventKind(
        'VM2003',
        logging.INFO,
        'running version {version}',
        'The daemon swapped in a newer snapshot, whole.',
        _NOTHING,
    )
    CHECKPOINT_WRITTEN = EventKind(
        'VM2004',
        logging.INFO,
        'checkpoint of offset {offset} written',
        'The state was put on the log, so that a new daemon can start after '
        'older records have expired.',
        _NOTHING,
    )
    CHECKPOINT_USED = EventKind(
        'VM2005',
        logging.INFO,
        'started from the state at offset {offset} of {source}',
        'The daemon had no state, or a gap, and took a whole state from '
        'another daemon or from a checkpoint.',
        'Nothing at a start. On a daemon that has run for long, look whether '
        'it was cut off.',
    )
    STATE_DIFFERS = EventKind(
        'VM2006',
        logging.ERROR,
        'another state at the same offset {offset}: {own} here, {other} there',
        'Two daemons folded the same records to different states, so they '
        'run programs that accept differently.',
        'Look which versions of the program run; replace the one that '
        'differs from the others.',
    )
    CHECKPOINT_REFUSED = EventKind(
        'VM2007',
        logging.ERROR,
        'checkpoint refused: {reason}',
        'A checkpoint could not be used; an earlier one or another daemon '
        'is tried.',
        'Look whether another program writes to the stream `checkpoints`.',
    )
    RECORD_UNREADABLE = EventKind(
        'VM2009',
        logging.WARNING,
        'a published record cannot be read: {reason}',
        'It changes nothing; what was in force stays.',
        'Look who wrote it.',
    )
    LOG_UNAVAILABLE = EventKind(
        'VM3001',
        logging.WARNING,
        'log service unavailable: {detail}',
        'A read or an append failed. Calls, links and vetoes go on; new '
        'tickets and verdicts wait.',
        'Look at the log service. The daemons retry by themselves.',
    )
    LOG_RECOVERED = EventKind(
        'VM3002',
        logging.INFO,
        'log service answers again',
        'The first read or append after an outage succeeded.',
        _NOTHING,
    )
    READER_CHOSEN = EventKind(
        'VM3003',
        logging.INFO,
        'reading the log for {availability_zone}',
        'This daemon is one of the few of its availability zone that read '
        'the log and pass changes on.',
        _NOTHING,
    )
    LOG_GAP = EventKind(
        'VM3004',
        logging.ERROR,
        'the log left out records after offset {offset}',
        'Nothing is folded over a gap, so this daemon stays where it is.',
        'Look at the log service. Other daemons may have the records and '
        'pass them on.',
    )
    LOG_EXPIRED = EventKind(
        'VM3005',
        logging.ERROR,
        'records after offset {offset} have expired: {detail}',
        'Neither the log, a checkpoint nor another daemon has what follows; '
        'the daemon serves what it has and is not ready.',
        'Start it beside daemons that run. If none is left, publish the '
        'whole configuration on a new stream.',
    )
    LOG_TRUNCATED = EventKind(
        'VM3006',
        logging.ERROR,
        'the log ends before offset {end}, but {offset} was read from it',
        'The log service lost records or was replaced. The daemon keeps its '
        'state, which never goes back.',
        'Restore the log service; see docs/operators/configuration.md.',
    )
    STORE_LOST = EventKind(
        'VM3007',
        logging.WARNING,
        'store lost: {fault}; configuration {version} stays in force',
        'Calls to the store fail. Calls go on with what is known; changes '
        'come from other daemons that still reach it.',
        'Look at the store and at the way to it.',
    )
    STORE_RECOVERED = EventKind(
        'VM3008',
        logging.INFO,
        'store reached again, {calls} calls since the start',
        'Reads of the store work again.',
        _NOTHING,
    )
    PEER_LOST = EventKind(
        'VM4001',
        logging.WARNING,
        'link to {peer} lost: {reason}',
        'A link that worked failed or was silent for too long. A new one is '
        'opened and the request tried again. `waiting` counts the requests '
        'that waited for its answers.',
        'Nothing for one. Many at once mean a network fault or dead VMs; '
        'look at `verbenamill status`.',
    )
    PEER_RECOVERED = EventKind(
        'VM4002',
        logging.INFO,
        'link to {peer} is back',
        'The new link to the daemon works.',
        _NOTHING,
    )
    MEMBER_SUSPECTED = EventKind(
        'VM4003',
        logging.INFO,
        'daemon {member} suspected',
        'It answered neither this daemon nor those that were asked to try. '
        'It gets no new calls unless it objects.',
        _NOTHING,
    )
    MEMBER_GONE = EventKind(
        'VM4004',
        logging.WARNING,
        'daemon {member} gone',
        'It left, or did not object to being suspected in time.',
        'Nothing when it was stopped or replaced; else look at its VM.',
    )
    MESSAGE_UNKNOWN = EventKind(
        'VM4005',
        logging.WARNING,
        'a message is not known here: {kind}',
        'Another version of the program sent it, or something that is no '
        'daemon did. It was ignored.',
        'Nothing while versions are mixed; else look who connects.',
    )
    MEMBER_CHANGED = EventKind(
        'VM4006',
        logging.INFO,
        'daemon {vm}: instance {instance}, version {version}, {state}',
        'Another daemon told something new of itself or of its upstream.',
        _NOTHING,
        rate=20,
    )
    MOVE_STAGE = EventKind(
        'VM5001',
        logging.INFO,
        'move {move} of {service}: {text}',
        'A decider took a step of a move.',
        '`verbenamill move show MOVE` tells the whole story.',
    )
    MOVE_VETOED = EventKind(
        'VM5002',
        logging.WARNING,
        'move {move} of {service} vetoed: {text}',
        'The new version is bad by the evidence; it gets no more traffic.',
        'Look at the evidence with `verbenamill move show MOVE`, mend the '
        'version and publish a new ticket.',
    )
    MOVE_SETTLED = EventKind(
        'VM5003',
        logging.INFO,
        'move {move} of {service} settled: {text}',
        'The verdict of the move is in force.',
        _NOTHING,
    )
    MOVE_ORDERED = EventKind(
        'VM5004',
        logging.INFO,
        'move {order} of {service} to {target} ordered, window {window} s',
        'An operator wants the traffic of a service on another version.',
        _NOTHING,
    )
    VERDICT_NOT_WRITTEN = EventKind(
        'VM5005',
        logging.WARNING,
        'verdict {verdict} of move {move} not written: {fault}',
        'The store refused or lost the write, or another daemon wrote first. '
        'It is tried again unless another verdict stands.',
        'Look at the store if it repeats.',
    )
    UPSTREAM_CHANGED = EventKind(
        'VM6001',
        logging.INFO,
        'upstream of {service} {version} is {state}',
        'The upstream of this daemon announced itself or changed.',
        _NOTHING,
    )
    UPSTREAM_DRAINING = EventKind(
        'VM6002',
        logging.INFO,
        'upstream of {service} is draining',
        'The upstream leaves; it gets no new calls and finishes those it has.',
        _NOTHING,
    )
    UPSTREAM_GONE = EventKind(
        'VM6003',
        logging.WARNING,
        'upstream of {service} is gone',
        'It said so, or did not announce itself for its lease: it stopped '
        'without draining, or is too busy to announce.',
        'Nothing when it was stopped; else look at the upstream on this VM.',
    )
    OVERLOAD = EventKind(
        'VM6004',
        logging.WARNING,
        'shedding calls of {service}: {reason}',
        'The slots and the queue are full; further calls are refused as not '
        'run, so that callers can go elsewhere.',
        'Nothing for a moment. When it lasts, add upstreams.',
    )
    UPSTREAM_HEARTBEAT = EventKind(
        'VM6005',
        logging.INFO,
        'upstream {instance} told {state}: {belief}',
        'A heartbeat changed what is believed of the upstream beside this '
        'daemon, or was refused as late.',
        _NOTHING,
        rate=5,
    )
    UPSTREAM_DEREGISTERED = EventKind(
        'VM6006',
        logging.INFO,
        'upstream {instance} ends',
        'The upstream said that it ends. It gets no new work.',
        _NOTHING,
        rate=5,
    )
    ANNOUNCEMENT_REFUSED = EventKind(
        'VM6007',
        logging.WARNING,
        'announcement refused: {reason}',
        'A message to the announcement port names no upstream to use.',
        'Look who sent it.',
        rate=5,
    )
    CALL_FAILED = EventKind(
        'VM6008',
        logging.INFO,
        'request {request} on {route}: {outcome}, {reason}',
        'A request was refused, timed out, failed or may have run. `tried` '
        'lists the daemons it went to and what each said.',
        'Follow the request id through the lines of the daemons in `tried`.',
        rate=20,
    )
    CALL_LATE = EventKind(
        'VM6009',
        logging.INFO,
        'request {request} on {route} answered late, after {ms} ms',
        'The answer came after the latency objective of its route.',
        _NOTHING,
        rate=5,
    )
    CALL_REJECTED = EventKind(
        'VM6010',
        logging.INFO,
        'request {request} for {target} rejected: {reason}',
        'No route fits, or the request cannot be passed on as it is.',
        'Compare the host and path with the configuration in force.',
        rate=5,
    )
    OWNER_REFUSED = EventKind(
        'VM6011',
        logging.INFO,
        'request {request} of {route} not answered here: {reason}',
        'This daemon refused a request that another one passed on, or its '
        'upstream did not answer.',
        'Look at `load` and at the lines of the upstream before it.',
        rate=20,
    )
    RUN_ABORTED = EventKind(
        'VM6012',
        logging.INFO,
        'run of request {request} of {route} broken off after {ms} ms',
        'The daemon that passed the request on has closed the connection: its '
        'caller left, or it no longer waits for this daemon (`stopping` tells '
        'whether this daemon is stopping).',
        'Look at the lines of `sender` at the same time; VM4001 there tells '
        'that it took this daemon for lost.',
        rate=5,
    )
    UPSTREAM_CRASHED = EventKind(
        'VM6013',
        logging.WARNING,
        'upstream {instance} crashed with {running} requests in hand',
        'Its connections broke and nobody listens at its address, though it '
        'did not say that it leaves. `fingerprints` names the requests that it '
        'ran; a request that comes again has the same one.',
        'Look for a fingerprint that is in the lines of several crashes: that '
        'request may be the cause. VM6008 has it too, beside the request id.',
        rate=20,
    )
    REQUEST_BLOCKED = EventKind(
        'VM6014',
        logging.WARNING,
        'requests {about} with fingerprint {fingerprint} are blocked',
        'Upstreams crashed under this request, those in `crashes`, and it '
        'completed nowhere. All daemons refuse it for `wait` seconds; then one '
        'copy runs alone, and clears it or renews the block.',
        'Mend the upstream. `verbenamill fleet blocked` lists what is blocked, '
        'and `verbenamill fleet unblock FINGERPRINT` lets it run again.',
        rate=20,
    )
    REQUEST_UNBLOCKED = EventKind(
        'VM6015',
        logging.INFO,
        'requests {about} with fingerprint {fingerprint} run again',
        'One has completed, or an operator has unblocked it.',
        _NOTHING,
        rate=20,
    )
    UPSTREAM_LIMITED = EventKind(
        'VM6016',
        logging.WARNING,
        'upstream {instance} takes {rate} requests a second',
        'It names this limit in its answers. `before` is the limit of the line '
        'before, if any; smaller changes have no line. `source` tells whether '
        'an answer said so or another daemon remembered it.',
        'Look why the upstream is in need. Its requests beyond the limit wait '
        'or go to others; `verbenamill fleet status` shows all limits.',
        rate=5,
    )
    UPSTREAM_UNLIMITED = EventKind(
        'VM6017',
        logging.INFO,
        'upstream {instance} names no limit any more',
        'An answer that was asked for after the limit of `before` requests a '
        'second was last named does not name one.',
        _NOTHING,
        rate=5,
    )
    UPSTREAM_LEAVING = EventKind(
        'VM6018',
        logging.INFO,
        'upstream {instance} says in an answer that it leaves',
        'It gets no new work, whatever its heartbeats say.',
        _NOTHING,
        rate=5,
    )
    INVARIANT_BROKEN = EventKind(
        'VM9001',
        logging.CRITICAL,
        'stopped by a broken invariant: {detail}',
        'The program found itself in a state that must never be, and stopped '
        'rather than answer callers from it.',
        'Keep the output and report it; the daemon may be started again.',
    )

    @property
    def kind(self) -> EventKind:
        """What is known of the event."""
        return self.value


_HEADER = """# Events

Every event that a daemon writes, by its code. The page is printed by
`python -m verbenamill_telemetry.events`; do not edit it by hand.

With `[logging] format = "json"` an event is one line of JSON with the keys
`at`, `level`, `code`, `message` and `fields`. An event that repeats too often
is held back; the next one that is written has a field `suppressed` with the
count of those that were not.
"""


def render_catalogue() -> str:
    """Text of the page with all events."""
    kinds = [event.kind for event in Event]
    parts = [_HEADER]
    for chapter, members in groupby(kinds, attrgetter('chapter')):
        parts.append(f'\n## {chapter}\n')
        parts.extend(map(_render, members))
    return ''.join(parts)


def _render(kind: EventKind) -> str:
    level = logging.getLevelName(kind.level)
    return (
        f'\n### {kind.code} ({level})\n\n'
        f'    {kind.template}\n\n'
        f'{kind.meaning}\n\n'
        f'What to do: {kind.action}\n'
    )


if __name__ == '__main__':
    print(render_catalogue(), end='')
