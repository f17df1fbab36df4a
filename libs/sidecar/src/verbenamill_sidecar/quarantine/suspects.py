"""Admits, isolates or blocks requests by the crashes they are suspected of."""

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
from verbenamill_sidecar.routing.call import Call
from verbenamill_telemetry import Event, log

#: Reason that callers and other daemons get for a blocked request.
BLOCKED_REASON = 'upstreams crashed under this request'
#: Time before the deadline that is reserved for a refusal, in seconds.
_RESPONSE_TIME = 0.02


class RequestIdentity(NamedTuple):
    """Attributes by which a request is recorded in the quarantine.

    :param about: method, host and path; the query may be private.
    :param alone: whether the run started while the request was isolated.
    """

    fingerprint: Fingerprint
    about: str
    alone: bool


def identify(call: Call) -> RequestIdentity:
    """Return the attributes by which a request is recorded."""
    host = get_header(call.headers, b'host') or b''
    path = call.target.partition(b'?')[0]
    about = b'%b %b%b' % (call.method, host, path)
    return RequestIdentity(
        call.find_fingerprint(),
        about.decode('latin-1'),
        call.is_alone,
    )


class AdmissionDecision(NamedTuple):
    """Whether a request may run.

    :param is_alone: whether other copies are held until it is released.
    :param blocked_for: remaining time of the block, in seconds; 0 if the
        request was only held for another copy.
    """

    is_admitted: bool
    is_alone: bool = False
    blocked_for: float = 0


class SuspectGate:
    """Holds, admits and refuses requests that are suspected of crashes.

    :param wall: returns Unix time in seconds.
    :param now: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        *,
        wall: Callable[[], float],
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        self.quarantine = quarantine
        #: Publishes a fingerprint to the other daemons; set by the daemon.
        self.publish: Callable[[Fingerprint], None] = _publish_to_nobody
        self._wall = wall
        self._now = now
        self._running: set[Fingerprint] = set()
        self._change_events: dict[Fingerprint, trio.Event] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected, so that checks can be skipped."""
        return self.quarantine.is_idle

    def blocked_for(self, call: Call) -> float:
        """Return the remaining time of a request's block, in seconds."""
        if self.is_idle:
            return 0
        fingerprint = call.find_fingerprint()
        if self._find_status(fingerprint) is not QuarantineStatus.BLOCKED:
            return 0
        return self._blocked_for(fingerprint)

    async def admit(self, call: Call) -> AdmissionDecision:
        """Wait until a request may run or has to be refused.

        A request that is admitted alone has to be passed to :meth:`release`.
        """
        fingerprint = call.find_fingerprint()
        while True:
            match self._find_status(fingerprint):
                case QuarantineStatus.CLEAR | QuarantineStatus.SUSPECTED:
                    return AdmissionDecision(is_admitted=True)
                case QuarantineStatus.BLOCKED:
                    return AdmissionDecision(
                        is_admitted=False,
                        blocked_for=self._blocked_for(fingerprint),
                    )
                case QuarantineStatus.ISOLATED if (
                    fingerprint not in self._running
                ):
                    self._running.add(fingerprint)
                    return AdmissionDecision(is_admitted=True, is_alone=True)
            if self._now() > call.deadline - _RESPONSE_TIME:
                return AdmissionDecision(is_admitted=False)
            await self._wait_changed(fingerprint, call.deadline)

    def release(self, call: Call) -> None:
        """Admit the next copy after a request that ran alone has ended."""
        fingerprint = call.find_fingerprint()
        self._running.discard(fingerprint)
        self._notify(fingerprint)

    def record_crash(self, request: RequestIdentity, crash: CrashId) -> None:
        """Record the crash of an upstream while it ran a request."""
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
        self._log_block_change(fingerprint, was_blocked=was_blocked)
        self._notify(fingerprint)

    def record_end(self, call: Call, *, has_completed: bool) -> None:
        """Record the end of a request and publish what it shows.

        Most requests that were in flight at a crash complete elsewhere a moment
        later, so suspicions are published only at the end.
        """
        if self.is_idle:
            return
        fingerprint = call.find_fingerprint()
        if has_completed:
            is_new = self.quarantine.record_completion(
                fingerprint,
                now=self._now(),
                wall=self._wall(),
            )
            self._notify(fingerprint)
            if is_new:
                self.publish(fingerprint)
        else:
            self.publish_suspicion(fingerprint)

    def publish_suspicion(self, fingerprint: Fingerprint) -> None:
        """Publish a suspicion to the other daemons if it is new."""
        if self.quarantine.mark_shared(fingerprint):
            self.publish(fingerprint)

    def may_retry(self, call: Call) -> bool:
        """Whether a request may be sent to another upstream in this run."""
        return self.quarantine.may_retry(call.find_fingerprint())

    def merge(self, record: Suspect) -> MergeResult:
        """Merge a record of another daemon or of the store."""
        was_blocked = self._is_blocked(record.fingerprint)
        result = self.quarantine.merge(record, now=self._now())
        if result is MergeResult.CHANGED:
            self._log_block_change(record.fingerprint, was_blocked=was_blocked)
            self._notify(record.fingerprint)
        return result

    def sweep(self) -> None:
        """Remove expired records."""
        self.quarantine.sweep(wall=self._wall())

    def _find_status(self, fingerprint: Fingerprint) -> QuarantineStatus:
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
        """Wait for a change, for the end of the hold or for the last moment."""
        wake_times = [deadline - _RESPONSE_TIME / 2]
        held_until = self.quarantine.held_until(fingerprint)
        if held_until > self._now():
            wake_times.append(held_until)
        event = self._change_events.setdefault(fingerprint, trio.Event())
        with trio.move_on_at(min(wake_times)):
            await event.wait()

    def _notify(self, fingerprint: Fingerprint) -> None:
        event = self._change_events.pop(fingerprint, None)
        if event is not None:
            event.set()

    def _log_block_change(
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


def _publish_to_nobody(_: Fingerprint) -> None:
    """Default until the daemon has set the function that publishes."""
