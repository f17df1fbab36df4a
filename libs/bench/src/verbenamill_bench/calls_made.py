"""Calls that a bench makes, and what it can tell of each from outside."""

from collections import Counter
from enum import Enum, unique
from pathlib import Path

from msgspec import Struct

from verbenamill_standins import (
    REQUEST_ID_HEADER,
    CallFault,
    Reply,
    digest_body,
)

#: Header in which a daemon says what is known of a call that it refused.
OUTCOME = 'verbenamill-outcome'


@unique
class Ending(str, Enum):
    """How a call ended, as its caller sees it.

    ``WRONG`` is another call's answer or a damaged one that looks whole.
    """

    OK = 'ok'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not-sent'
    LOST = 'lost'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    WRONG = 'wrong'


class CallPlan(Struct, frozen=True, kw_only=True):
    """A kind of call.

    :param once: not idempotent, so it must run at most once.
    """

    method: str = 'GET'
    path: str = '/'
    body: bytes = b''
    once: bool = False
    timeout: float = 10


class CallMade(Struct, frozen=True, kw_only=True):
    """One call and how it ended.

    :param intended: when it was to be sent, on the run's clock.
    :param at: wall time at which it was due, in seconds.
    :param latency: seconds from ``intended`` to the end.
    """

    id: str
    target: str
    once: bool
    intended: float
    at: float = 0
    latency: float
    ending: Ending
    status: int = 0
    version: str = ''
    upstream: str = ''


def judge(call_id: str, plan: CallPlan, reply: Reply) -> Ending:
    """Tell how a call ended from its reply alone."""
    if reply.fault is not None:
        return _FAULTS[reply.fault]
    message = reply.message
    assert message is not None, 'a reply has a message or a fault'
    outcome = message.headers.get(OUTCOME)
    if outcome is not None:
        return Ending(outcome)
    if message.status >= 300:
        return Ending.FAILED
    is_right = (
        message.headers.get(REQUEST_ID_HEADER) == call_id
        and message.headers.get('x-body-digest') == digest_body(plan.body)
        and message.headers.get('x-answer-digest') == message.digest
    )
    return Ending.OK if is_right else Ending.WRONG


class Broken(Struct, kw_only=True):
    """Promises broken, counted from outside; all must be 0.

    :param wrong: answers of another call, or damaged ones.
    :param doubled: non-idempotent calls that ran more than once.
    :param untrue_not_run: calls refused as not run that had run.
    :param lost: calls answered whole that no upstream ran.
    """

    wrong: int = 0
    doubled: int = 0
    untrue_not_run: int = 0
    lost: int = 0

    @property
    def total(self) -> int:
        """All of them."""
        return self.wrong + self.doubled + self.untrue_not_run + self.lost


def read_journals(paths: list[Path]) -> Counter[str]:
    """How often each call ran, as the upstreams wrote it down."""
    runs: Counter[str] = Counter()
    for path in paths:
        if path.exists():
            runs.update(path.read_text().splitlines())
    return runs


def find_broken(calls: list[CallMade], runs: Counter[str]) -> Broken:
    """Compare what callers were told with what upstreams ran."""
    broken = Broken()
    for call in calls:
        ran = runs[call.id]
        broken.wrong += call.ending is Ending.WRONG
        broken.doubled += call.once and ran > 1
        broken.untrue_not_run += call.ending is Ending.NOT_RUN and ran > 0
        broken.lost += call.ending is Ending.OK and ran == 0
    return broken


_FAULTS = {
    CallFault.NOT_SENT: Ending.NOT_SENT,
    CallFault.LOST: Ending.LOST,
    CallFault.BROKEN: Ending.BROKEN,
    CallFault.TIMEOUT: Ending.TIMEOUT,
}
