"""Admits requests by what is known of the crashes under them."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from verbenamill_http.messages import get_header
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.quarantine import (
    CrashId,
    MergeResult,
    Quarantine,
    QuarantineStatus,
    Suspect,
)
from verbenamill_sidecar.call import Call
from verbenamill_telemetry import Event, log

#: Told to callers and other daemons of a request that is refused.
BLOCKED_REASON = 'upstreams crashed under this request'
#: Kept of a caller's time for a refusal, in seconds.
_ANSWER_TIME = 0.02


class Identity(NamedTuple):
    """What is remembered of a request.

    :param about: method, host and path; its query may be private.
    :param alone: whether this run was begun with the request suspected.
    """

    fingerprint: Fingerprint
    about: str
    alone: bool


def identify(call: Call) -> Identity:
    """What a request is remembered by."""
    host = get_header(call.headers, b'host') or b''
    path = call.target.partition(b'?')[0]
    about = b'%b %b%b' % (call.method, host, path)
    return Identity(
        call.find_fingerprint(),
        about.decode('latin-1'),
        call.is_alone,
    )


class Entry(NamedTuple):
    """Whether a request may run.

    :param is_alone: whether no other copy runs until it is told to leave.
    :param blocked_for: how much longer it is refused, in seconds; 0 if it is
        only that another copy still runs.
    """

    is_admitted: bool
    is_alone: bool = False
    blocked_for: float = 0


class SuspectGate:
    """Holds, admits and refuses requests that are suspected.

    :param wall: Unix time in seconds.
    :param now: the monotonic clock, in seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        *,
        wall: Callable[[], float],
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        self.quarantine = quarantine
        #: Tells the other daemons of a fingerprint; joined by the daemon.
        self.publish: Callable[[Fingerprint], None] = _tell_nobody
        self._wall = wall
        self._now = now
        self._running: set[Fingerprint] = set()
        self._changed: dict[Fingerprint, trio.Event] = {}

    @property
    def is_idle(self) -> bool:
        """Whether nothing is suspected, so that no request needs a look."""
        return self.quarantine.is_idle

    def blocked_for(self, call: Call) -> float:
        """How much longer a request is refused, in seconds."""
        if self.is_idle:
            return 0
        fingerprint = call.find_fingerprint()
        if self._judge(fingerprint) is not QuarantineStatus.BLOCKED:
            return 0
        return self._blocked_for(fingerprint)

    async def enter(self, call: Call) -> Entry:
        """Wait until a request may run or has to be refused.

        One that runs alone has to :meth:`leave`.
        """
        fingerprint = call.find_fingerprint()
        while True:
            match self._judge(fingerprint):
                case QuarantineStatus.CLEAR | QuarantineStatus.SUSPECTED:
                    return Entry(is_admitted=True)
                case QuarantineStatus.BLOCKED:
                    return Entry(
                        is_admitted=False,
                        blocked_for=self._blocked_for(fingerprint),
                    )
                case QuarantineStatus.ISOLATED if (
                    fingerprint not in self._running
                ):
                    self._running.add(fingerprint)
                    return Entry(is_admitted=True, is_alone=True)
            if self._now() > call.deadline - _ANSWER_TIME:
                return Entry(is_admitted=False)
            await self._wait_changed(fingerprint, call.deadline)

    def leave(self, call: Call) -> None:
        """A request that ran alone has ended."""
        fingerprint = call.find_fingerprint()
        self._running.discard(fingerprint)
        self._wake(fingerprint)

    def record_crash(self, request: Identity, crash: CrashId) -> None:
        """An upstream crashed while it ran a request."""
        fingerprint = request.fingerprint
        was_blocked = self._is_blocked(fingerprint)
        self.quarantine.record_crash(
            fingerprint,
            crash,
            about=request.about,
            alone=request.alone,
            now=self._now(),
            wall=self._wall(),
        )
        self._tell_blocked(fingerprint, was_blocked=was_blocked)
        self._wake(fingerprint)

    def record_end(self, call: Call, *, has_completed: bool) -> None:
        """A request has ended; other daemons hear what that tells.

        Most that were in hand at a crash complete elsewhere a moment later,
        so suspicions are told only now.
        """
        if self.is_idle:
            return
        fingerprint = call.find_fingerprint()
        if has_completed:
            is_news = self.quarantine.record_completion(
                fingerprint,
                now=self._now(),
                wall=self._wall(),
            )
            self._wake(fingerprint)
            if is_news:
                self.publish(fingerprint)
        else:
            self.share(fingerprint)

    def share(self, fingerprint: Fingerprint) -> None:
        """Tell the other daemons of a suspicion, if there is a new one."""
        if self.quarantine.mark_shared(fingerprint):
            self.publish(fingerprint)

    def may_retry(self, call: Call) -> bool:
        """Whether a request may reach a further upstream in this coming."""
        return self.quarantine.may_retry(call.find_fingerprint())

    def merge(self, record: Suspect) -> MergeResult:
        """Take in what another daemon or the store knows."""
        was_blocked = self._is_blocked(record.fingerprint)
        found = self.quarantine.merge(record, now=self._now())
        if found is MergeResult.CHANGED:
            self._tell_blocked(record.fingerprint, was_blocked=was_blocked)
            self._wake(record.fingerprint)
        return found

    def sweep(self) -> None:
        """Forget what is too old."""
        self.quarantine.sweep(wall=self._wall())

    def _judge(self, fingerprint: Fingerprint) -> QuarantineStatus:
        return self.quarantine.find_status(
            fingerprint,
            now=self._now(),
            wall=self._wall(),
        )

    def _blocked_for(self, fingerprint: Fingerprint) -> float:
        record = self.quarantine.get(fingerprint)
        if record is None:
            return 0
        return self.quarantine.blocked_for(record, wall=self._wall())

    def _is_blocked(self, fingerprint: Fingerprint) -> bool:
        record = self.quarantine.get(fingerprint)
        return record is not None and record.is_blocked

    async def _wait_changed(
        self,
        fingerprint: Fingerprint,
        deadline: float,
    ) -> None:
        """Wait for news, for the end of the hold or for the last moment."""
        ends = [deadline - _ANSWER_TIME / 2]
        held_until = self.quarantine.held_until(fingerprint)
        if held_until > self._now():
            ends.append(held_until)
        event = self._changed.setdefault(fingerprint, trio.Event())
        with trio.move_on_at(min(ends)):
            await event.wait()

    def _wake(self, fingerprint: Fingerprint) -> None:
        event = self._changed.pop(fingerprint, None)
        if event is not None:
            event.set()

    def _tell_blocked(
        self,
        fingerprint: Fingerprint,
        *,
        was_blocked: bool,
    ) -> None:
        record = self.quarantine.get(fingerprint)
        if record is None or record.is_blocked == was_blocked:
            return
        event = (
            Event.REQUEST_BLOCKED
            if record.is_blocked
            else Event.REQUEST_UNBLOCKED
        )
        log(
            event,
            fingerprint=fingerprint.hex(),
            about=record.about,
            crashes=record.crashes,
            round=record.round,
            wait=int(self._blocked_for(fingerprint)),
        )


def _tell_nobody(_: Fingerprint) -> None:
    """Before the daemon's parts are joined, nobody can hear."""
