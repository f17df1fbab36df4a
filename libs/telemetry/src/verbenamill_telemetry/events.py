"""Catalogue of the events that a daemon logs for operators.

All events are defined here, below the libraries that log them, so that each
code is assigned in a single place.

``python -m verbenamill_telemetry.events`` prints the catalogue that is stored
as ``docs/operators/events.md``; a test fails if the two differ.
"""

import logging
from enum import Enum, unique
from itertools import groupby
from operator import attrgetter

from msgspec import Struct


#: Size of a burst: how many events of one code may be written at once, unless
#: its definition allows fewer.
BURST_EVENTS = 20


class EventDefinition(Struct, frozen=True):
    """Definition of an event.

    :param code: unique code whose meaning never changes.
    :param level: level of the standard ``logging`` module.
    :param template: message with the names of fields in braces.
    :param meaning: cause of the event, for the catalogue.
    :param action: what an operator should do, for the catalogue.
    :param rate: maximum number of lines per second after a burst.
    :param burst: maximum number of lines at once.
    """

    code: str
    level: int
    template: str
    meaning: str
    action: str
    rate: float = 1
    burst: int = BURST_EVENTS

    @property
    def chapter(self) -> str:
        """Chapter of the catalogue, given by the first digit of the code."""
        return _CHAPTERS[self.code[2]]


_CHAPTERS = {
    '1': 'Start and stop',
    '2': 'Configuration',
    '3': 'Log service',
    '4': 'Daemons and links',
    '5': 'Moves',
    '6': 'Upstream and calls',
    '9': 'Program errors',
}
_NO_ACTION = 'Nothing.'


@unique
class Event(Enum):
    """All events."""

    STARTED = EventDefinition(
        'VM1001',
        logging.INFO,
        'daemon {id} started',
        'The daemon listens on all its addresses.',
        _NO_ACTION,
    )
    STOPPING = EventDefinition(
        'VM1002',
        logging.INFO,
        'daemon {id} is stopping',
        'A signal requested a graceful shutdown. The daemon tells the other '
        'daemons that it leaves and finishes the calls in progress.',
        _NO_ACTION,
    )
    STOPPED = EventDefinition(
        'VM1003',
        logging.INFO,
        'daemon {id} stopped',
        'The shutdown is complete; no call was aborted.',
        _NO_ACTION,
    )
    SETTINGS_INVALID = EventDefinition(
        'VM1004',
        logging.ERROR,
        '{path}: {fault}',
        'The settings file cannot be used; the daemon did not start.',
        'Correct the key in the message, run `verbenamill config check FILE` '
        'and start the daemon again.',
    )
    SETTINGS_RELOADED = EventDefinition(
        'VM1005',
        logging.INFO,
        'settings reloaded: {outcome}',
        'A signal requested that the settings file be read again. Changed '
        'addresses take effect only when the daemon is restarted.',
        'If the outcome names a fault, correct the file.',
    )
    PROCESS_STALLED = EventDefinition(
        'VM1006',
        logging.WARNING,
        'this daemon stalled for {ms} ms',
        'The process got no processor time, or one of its own steps took this '
        'long. What it observed of other daemons in this time is older than '
        'it appears.',
        'Compare the processor time that the VM used with its share. The '
        'previous line shows what the daemon was doing.',
    )
    CONFIGURATION_ACCEPTED = EventDefinition(
        'VM2001',
        logging.INFO,
        'ticket {ticket} accepted at offset {offset}',
        'A ticket passed all checks and changed the configuration.',
        _NO_ACTION,
    )
    CONFIGURATION_REFUSED = EventDefinition(
        'VM2002',
        logging.WARNING,
        'record at offset {offset} refused: {reason}',
        'All daemons ignore this record of the log.',
        'Correct what the reason names and publish again under a new number.',
    )
    CONFIGURATION_APPLIED = EventDefinition(
        'VM2003',
        logging.INFO,
        'running version {version}',
        'The daemon replaced its configuration with a newer snapshot.',
        _NO_ACTION,
    )
    CHECKPOINT_WRITTEN = EventDefinition(
        'VM2004',
        logging.INFO,
        'checkpoint of offset {offset} written',
        'The state was written to the log, so that new daemons can start even '
        'when older records have expired.',
        _NO_ACTION,
    )
    CHECKPOINT_USED = EventDefinition(
        'VM2005',
        logging.INFO,
        'started from the state at offset {offset} of {source}',
        'The daemon had no state, or missed some records, and took the '
        'complete state from another daemon or from a checkpoint.',
        'Nothing after a start. On a daemon that has run for a long time, '
        'check whether it was disconnected.',
    )
    STATE_DIFFERS = EventDefinition(
        'VM2006',
        logging.ERROR,
        'states differ at offset {offset}: {own} here, {other} at a peer',
        'Two daemons derived different states from the same records, so they '
        'run program versions with different acceptance rules.',
        'Check which versions of the program run, and replace the one that '
        'differs from the others.',
    )
    CHECKPOINT_REFUSED = EventDefinition(
        'VM2007',
        logging.ERROR,
        'checkpoint refused: {reason}',
        'A checkpoint could not be used; the daemon tries an earlier one or '
        'another daemon.',
        'Check whether another program writes to the stream `checkpoints`.',
    )
    RECORD_UNREADABLE = EventDefinition(
        'VM2009',
        logging.WARNING,
        'a published record cannot be read: {reason}',
        'The record is ignored; the current configuration stays in force.',
        'Find out which program wrote the record.',
    )
    STATE_BEHIND = EventDefinition(
        'VM2010',
        logging.INFO,
        '{peer} has announced state {newest}, and state {own} is in force',
        'Another daemon has a newer configuration, order or evacuation. This '
        'daemon fetches it. `channel` names the kind of message.',
        'Nothing, unless no VM2003 follows. VM2011 and VM3009 show the cause.',
        rate=5,
    )
    STATE_NOT_FETCHED = EventDefinition(
        'VM2011',
        logging.WARNING,
        'no state from {peer} within {ms} ms',
        'Another daemon announced a newer state, and it could not be fetched '
        'from there. The next daemon that has it is asked.',
        'Nothing for a single daemon. Many at once indicate a network fault.',
        rate=5,
    )
    LOG_UNAVAILABLE = EventDefinition(
        'VM3001',
        logging.WARNING,
        'log service unavailable: {detail}',
        'A read or an append failed. Calls, links and vetoes continue to '
        'work; new tickets and verdicts wait.',
        'Check the log service. The daemons retry automatically.',
    )
    LOG_RECOVERED = EventDefinition(
        'VM3002',
        logging.INFO,
        'log service available again',
        'The first read or append after an outage succeeded.',
        _NO_ACTION,
    )
    READER_CHOSEN = EventDefinition(
        'VM3003',
        logging.INFO,
        'reading the log for {availability_zone}',
        'This daemon is one of the few in its availability zone that read '
        'the log and forward changes to the others.',
        _NO_ACTION,
    )
    LOG_GAP = EventDefinition(
        'VM3004',
        logging.ERROR,
        'the log lacks records after offset {offset}',
        'A daemon applies no records after a gap, so this daemon keeps its '
        'state.',
        'Check the log service. Other daemons may have the records and '
        'forward them.',
    )
    LOG_EXPIRED = EventDefinition(
        'VM3005',
        logging.ERROR,
        'records after offset {offset} have expired: {detail}',
        'Neither the log, a checkpoint nor another daemon has the following '
        'records. The daemon uses the state that it has and is not ready.',
        'Start it while other daemons are running. If none is left, publish '
        'the whole configuration on a new stream.',
    )
    LOG_TRUNCATED = EventDefinition(
        'VM3006',
        logging.ERROR,
        'the log ends before offset {end}, but {offset} was read from it',
        'The log service lost records or was replaced. The daemon keeps its '
        'state and never reverts to an earlier one.',
        'Restore the log service; see docs/operators/configuration.md.',
    )
    STORE_LOST = EventDefinition(
        'VM3007',
        logging.WARNING,
        'store unavailable: {fault}; configuration {version} stays in force',
        'Requests to the store fail. Calls are still routed with the known '
        'configuration; changes arrive through daemons that reach the store.',
        'Check the store and the network path to it.',
    )
    STORE_RECOVERED = EventDefinition(
        'VM3008',
        logging.INFO,
        'store available again, {calls} calls since the start',
        'Reads of the store succeed again.',
        _NO_ACTION,
    )
    READING_CHANGED = EventDefinition(
        'VM3009',
        logging.INFO,
        'reads the store: {reason}',
        'Whether this daemon reads the store itself, and why. `notice_age_ms` '
        'is the time since the last notice that it is up to date.',
        'Nothing for a few daemons. If whole zones read, check the daemons of '
        'lowest rank and their network path to the store.',
    )
    PEER_LOST = EventDefinition(
        'VM4001',
        logging.WARNING,
        'link to {peer} lost: {reason}',
        'A working link failed or was silent for too long. The daemon opens a '
        'new one and retries the request. `waiting` is the number of requests '
        'that waited for responses on the link.',
        'Nothing for a single link. Many at once indicate a network fault or '
        'dead VMs; check `verbenamill status`.',
    )
    PEER_RECOVERED = EventDefinition(
        'VM4002',
        logging.INFO,
        'link to {peer} recovered',
        'A new link to the daemon works.',
        _NO_ACTION,
    )
    MEMBER_SUSPECTED = EventDefinition(
        'VM4003',
        logging.INFO,
        'daemon {member} suspected',
        'The daemon responded neither to this daemon nor to others that '
        'probed it on request. It gets no new calls unless it refutes the '
        'suspicion.',
        _NO_ACTION,
    )
    MEMBER_GONE = EventDefinition(
        'VM4004',
        logging.WARNING,
        'daemon {member} gone',
        'The daemon left, or did not refute the suspicion in time.',
        'Nothing if it was stopped or replaced; otherwise check its VM.',
    )
    MESSAGE_UNKNOWN = EventDefinition(
        'VM4005',
        logging.WARNING,
        'a message is not known here: {kind}',
        'Another version of the program, or something other than a daemon, '
        'sent the message. It was ignored.',
        'Nothing during an upgrade; otherwise find out which process connects.',
    )
    MEMBER_CHANGED = EventDefinition(
        'VM4006',
        logging.INFO,
        'daemon {vm}: instance {instance}, version {version}, {state}',
        'Another daemon reported a change of itself or of its upstream.',
        _NO_ACTION,
        rate=20,
    )
    MOVE_STAGE = EventDefinition(
        'VM5001',
        logging.INFO,
        'move {move} of {service}: {text}',
        'The decider of a move took a step.',
        '`verbenamill move show MOVE` shows the history of the move.',
    )
    MOVE_VETOED = EventDefinition(
        'VM5002',
        logging.WARNING,
        'move {move} of {service} vetoed: {text}',
        'According to the evidence the new version is faulty; it gets no more '
        'traffic.',
        'Check the evidence with `verbenamill move show MOVE`, fix the '
        'version and publish a new ticket.',
    )
    MOVE_SETTLED = EventDefinition(
        'VM5003',
        logging.INFO,
        'move {move} of {service} settled: {text}',
        'The verdict of the move is in force.',
        _NO_ACTION,
    )
    MOVE_ORDERED = EventDefinition(
        'VM5004',
        logging.INFO,
        'move {order} of {service} to {target} ordered, window {window} s',
        'An operator requested that the traffic of a service be moved to '
        'another version.',
        _NO_ACTION,
    )
    VERDICT_NOT_WRITTEN = EventDefinition(
        'VM5005',
        logging.WARNING,
        'verdict {verdict} of move {move} not written: {fault}',
        'The store refused or lost the write, or another daemon wrote first. '
        'The daemon tries again unless another verdict is in force.',
        'Check the store if the event repeats.',
    )
    UPSTREAM_CHANGED = EventDefinition(
        'VM6001',
        logging.INFO,
        'upstream of {service} {version} is {state}',
        'The upstream of this daemon announced itself or changed its state.',
        _NO_ACTION,
    )
    UPSTREAM_DRAINING = EventDefinition(
        'VM6002',
        logging.INFO,
        'upstream of {service} is draining',
        'The upstream is leaving. It gets no new calls and finishes those in '
        'progress.',
        _NO_ACTION,
    )
    UPSTREAM_GONE = EventDefinition(
        'VM6003',
        logging.WARNING,
        'upstream of {service} is gone',
        'The upstream announced its end, or its lease expired without an '
        'announcement: it stopped without draining, or it is overloaded.',
        'Nothing if it was stopped; otherwise check the upstream on this VM.',
    )
    OVERLOAD = EventDefinition(
        'VM6004',
        logging.WARNING,
        'shedding calls of {service}: {reason}',
        'The slots and the queue are full. Further calls are refused as not '
        'run, so that callers can try elsewhere.',
        'Nothing for a short peak. If it persists, add upstreams.',
    )
    UPSTREAM_HEARTBEAT = EventDefinition(
        'VM6005',
        logging.INFO,
        'upstream {instance} reported {state}: {belief}',
        'A heartbeat changed the known state of the upstream beside this '
        'daemon, or was ignored because it was out of date.',
        _NO_ACTION,
        rate=5,
    )
    UPSTREAM_DEREGISTERED = EventDefinition(
        'VM6006',
        logging.INFO,
        'upstream {instance} deregistered',
        'The upstream announced that it stops. It gets no new work.',
        _NO_ACTION,
        rate=5,
    )
    ANNOUNCEMENT_REFUSED = EventDefinition(
        'VM6007',
        logging.WARNING,
        'announcement refused: {reason}',
        'A message to the announcement port describes no usable upstream.',
        'Find out which process sent it.',
        rate=5,
    )
    CALL_FAILED = EventDefinition(
        'VM6008',
        logging.INFO,
        'request {request} on {route}: {outcome}, {reason}',
        'A request was refused, timed out, failed or may have run. `tried` '
        'lists the daemons that were tried and the outcome at each.',
        'Follow the request id through the logs of the daemons in `tried`.',
        rate=20,
    )
    CALL_LATE = EventDefinition(
        'VM6009',
        logging.INFO,
        'request {request} on {route} answered late, after {ms} ms',
        'The answer exceeded the latency objective of the route.',
        _NO_ACTION,
        rate=5,
    )
    CALL_REJECTED = EventDefinition(
        'VM6010',
        logging.INFO,
        'request {request} for {target} rejected: {reason}',
        'No route matches, or the request cannot be forwarded in this form.',
        'Compare its host and path with the configuration in force.',
        rate=5,
    )
    OWNER_REFUSED = EventDefinition(
        'VM6011',
        logging.INFO,
        'request {request} of {route} not answered here: {reason}',
        'This daemon refused a request that another daemon forwarded, or its '
        'upstream did not answer.',
        'Check `load` and the previous lines about the upstream.',
        rate=20,
    )
    RUN_ABORTED = EventDefinition(
        'VM6012',
        logging.INFO,
        'request {request} of {route} aborted after {ms} ms',
        'The daemon that forwarded the request closed the connection: the '
        'caller left, or the daemon no longer waits for this one. `stopping` '
        'tells whether this daemon is stopping.',
        'Check the log of `sender` at the same time; VM4001 there means that '
        'it considered its link to this daemon lost.',
        rate=5,
    )
    UPSTREAM_CRASHED = EventDefinition(
        'VM6013',
        logging.WARNING,
        'upstream {instance} crashed with {running} requests in progress',
        'Its connections broke and no process listens at its address, although '
        'it did not announce that it leaves. `fingerprints` lists the requests '
        'in progress; a repeated request has the same fingerprint.',
        'Look for a fingerprint that several crashes have in common: that '
        'request may be the cause. VM6008 names it with the request id.',
        rate=20,
    )
    REQUEST_BLOCKED = EventDefinition(
        'VM6014',
        logging.WARNING,
        'requests {about} with fingerprint {fingerprint} are blocked',
        'The upstreams in `crashes` crashed while they ran this request, and '
        'it completed on none. All daemons refuse it for `wait` seconds. Then '
        'a single copy runs, and its outcome clears or renews the block.',
        'Fix the upstream. `verbenamill fleet blocked` lists the blocked '
        'requests, and `verbenamill fleet unblock FINGERPRINT` unblocks one.',
        rate=20,
    )
    REQUEST_UNBLOCKED = EventDefinition(
        'VM6015',
        logging.INFO,
        'requests {about} with fingerprint {fingerprint} are unblocked',
        'One of them has completed, or an operator has unblocked them.',
        _NO_ACTION,
        rate=20,
    )
    UPSTREAM_LIMITED = EventDefinition(
        'VM6016',
        logging.WARNING,
        'upstream {instance} accepts {rate} requests per second',
        'The upstream names this limit in its responses. `before` is the limit '
        'that was logged last, if any; small changes are not logged. `source` '
        'tells whether a response or another daemon provided the limit.',
        'Find out why the upstream is overloaded. Requests beyond the limit '
        'wait or go to others; `verbenamill fleet status` shows all limits.',
        rate=5,
    )
    UPSTREAM_UNLIMITED = EventDefinition(
        'VM6017',
        logging.INFO,
        'upstream {instance} no longer has a limit',
        'A response to a request that was sent after the limit of `before` '
        'requests per second was last named contains no limit, or the '
        'upstream is no longer cold.',
        _NO_ACTION,
        rate=5,
    )
    UPSTREAM_LEAVING = EventDefinition(
        'VM6018',
        logging.INFO,
        'upstream {instance} announced in a response that it leaves',
        'The upstream gets no new work, regardless of its heartbeats.',
        _NO_ACTION,
        rate=5,
    )
    ZONE_EVACUATED = EventDefinition(
        'VM6019',
        logging.WARNING,
        'zone {zone} is evacuated (record {number})',
        'The upstreams of the zone get no requests until its evacuation is '
        'removed. Its daemons go on serving the callers on their VMs.',
        'Nothing, if the evacuation is intended; otherwise remove it.',
    )
    ZONE_RETURNED = EventDefinition(
        'VM6020',
        logging.INFO,
        'zone {zone} is no longer evacuated (record {number})',
        'The upstreams of the zone get requests again, as many as they '
        'take while they are cold.',
        _NO_ACTION,
    )
    UPSTREAM_COLD = EventDefinition(
        'VM6021',
        logging.INFO,
        'upstream {instance} is cold and gets {rate} requests per second',
        'The upstream has started, its zone was returned, or it says that it '
        'is cold. It would crash above a rate, which the configuration '
        'names. `before` is the limit that was logged last, if any.',
        _NO_ACTION,
        rate=5,
    )
    KEY_REFUSED = EventDefinition(
        'VM6022',
        logging.INFO,
        'request {request} refused, key {outcome}',
        'A request had no valid key: `outcome` is `missing`, `empty`, '
        '`repeated` or `unknown`, and the caller got 401. After `orphaned` and '
        '`exhausted` it got 503: a nested call whose parent is not in flight '
        'here, or one too many of its parent. Keys are never logged.',
        'If the key should be known, compare `configuration` with the '
        'published version: `verbenamill fleet organisations`.',
        burst=1,
    )
    QUOTA_EXCEEDED = EventDefinition(
        'VM6031',
        logging.INFO,
        'requests of {organisation} are refused: {reason}',
        'The organisation has used its quota over all daemons, or no pool '
        'answers this daemon. Further refusals are only counted.',
        'Nothing if the organisation sends more than its quota. Otherwise '
        'look for VM6034 at the same time.',
        rate=5,
    )
    QUOTA_RECOVERED = EventDefinition(
        'VM6032',
        logging.INFO,
        'requests of {organisation} are no longer refused, {refused} were',
        'For some seconds no request of the organisation was refused here.',
        _NO_ACTION,
        rate=5,
    )
    QUOTA_POOL_MOVED = EventDefinition(
        'VM6033',
        logging.INFO,
        'the quotas of this group are pooled at {host}',
        'Daemons joined or left, or the former pool host did not answer.',
        _NO_ACTION,
    )
    QUOTA_STANDALONE = EventDefinition(
        'VM6034',
        logging.WARNING,
        'no answer about quotas from {host}',
        'No pool host of the group answers. Until one does, this daemon '
        'admits its own share of each quota.',
        'Nothing for a single daemon that was restarted. Many at once '
        'indicate a network fault or dead VMs.',
    )
    QUOTA_POOL_FOUND = EventDefinition(
        'VM6035',
        logging.INFO,
        'quotas are pooled at {host} again',
        'A pool host of the group answers.',
        _NO_ACTION,
    )
    SHUTDOWN_NOT_SAVED = EventDefinition(
        'VM6036',
        logging.WARNING,
        'the shutdown of upstream {instance} is not acknowledged',
        'The store did not hold it in time. The upstream gets no new work '
        'here, and is asked to announce its shutdown again: if all daemons '
        'were killed now, they would not know of it.',
        'Check whether the store answers this VM.',
        rate=5,
    )
    INVARIANT_BROKEN = EventDefinition(
        'VM9001',
        logging.CRITICAL,
        'stopped by a violated invariant: {detail}',
        'The program reached a state that must never occur, and stopped '
        'instead of serving callers from it.',
        'Keep the output and report it; the daemon may be started again.',
    )

    @property
    def definition(self) -> EventDefinition:
        """Definition of the event."""
        return self.value


_HEADER = """# Events

All events that a daemon logs, by code. This page is generated by
`python -m verbenamill_telemetry.events`; do not edit it by hand.

With `[logging] format = "json"` each event is one line of JSON with the keys
`at`, `level`, `code`, `message` and `fields`. Events that repeat too often
are suppressed; the next one that is written has a field `suppressed` with the
number of those that were not.
"""


def render_catalogue() -> str:
    """Return the text of the page that lists all events."""
    definitions = [event.definition for event in Event]
    parts = [_HEADER]
    for chapter, group in groupby(definitions, attrgetter('chapter')):
        parts.append(f'\n## {chapter}\n')
        parts.extend(map(_render, group))
    return ''.join(parts)


def _render(definition: EventDefinition) -> str:
    level = logging.getLevelName(definition.level)
    return (
        f'\n### {definition.code} ({level})\n\n'
        f'    {definition.template}\n\n'
        f'{definition.meaning}\n\n'
        f'What to do: {definition.action}\n'
    )


if __name__ == '__main__':
    print(render_catalogue(), end='')
