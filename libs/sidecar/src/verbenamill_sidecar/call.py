"""One request on its way, and what can come of it."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import Header, get_header
from verbenamill_model.typing import ServiceName
from verbenamill_policy.fingerprints import Fingerprint, compute_fingerprint
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.routes import Route


#: Statuses after which another upstream may do better.
RETRIED = frozenset((500, 502, 503, 504))


class Call(Struct, kw_only=True):
    """One request of a caller; times are on trio's clock.

    :param id: the caller's name for it; empty if it gave none.
    :param headers: end-to-end headers, without those that daemons set.
    :param origin: service of the VM where it began.
    :param objective: when its answer is due.
    :param deadline: when its caller gives up, or the route does.
    :param is_nested: whether an upstream makes it while it runs another one.
    :param nested_status: of the last call that failed which its upstream made
        while it ran this; 0 if none failed.
    :param is_alone: whether it is suspected of crashes, so that no other copy
        of it runs from the same daemon.
    """

    id: bytes
    route: Route
    service: ServiceName
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    origin: bytes
    arrived: float
    objective: float
    deadline: float
    is_nested: bool = False
    nested_status: int = 0
    is_alone: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.is_idempotent

    def find_fingerprint(self) -> Fingerprint:
        """What it is known by when it comes again."""
        return compute_fingerprint(
            method=self.method,
            host=get_header(self.headers, b'host') or b'',
            target=self.target,
            caller=self.origin,
            body=self.body,
        )


@unique
class ExecutionStatus(Enum):
    """What is known of a try.

    ``NOT_RUN`` is only said when it is certain, also for all time to come.
    After ``UNKNOWN`` the upstream may have run the request.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Outcome(Struct, kw_only=True):
    """What became of one try at one owner.

    :param answer: the upstream's answer, if there is one.
    :param reason: why there is none, in one of a few wordings.
    :param detail: what decided that, for the log.
    :param wait: when there may be room, in seconds from now.
    :param reached: whether an upstream has seen the request.
    :param everywhere: whether other owners would say the same.
    :param took: time at the upstream, in seconds.
    :param usual: what requests of this route take at this upstream, in s.
    :param load: requests running and queued at the owner.
    :param crash: of the upstream while it ran the request, if it crashed.
    :param blocked: whether the request is refused for crashes under it.
    :param limit: that the upstream names, if it names one.
    :param knows_limit: whether that comes from an answer of this start of the
        upstream, or from a reminder. An owner that has just started has none.
    :param pause: until the limit has room for such a request, in seconds.
    :param has_left: whether the upstream has said that it ends.
    """

    execution: ExecutionStatus
    answer: ClientResponse | None = None
    reason: str = ''
    detail: str = ''
    wait: float = 0
    reached: bool = False
    everywhere: bool = False
    took: float | None = None
    usual: float | None = None
    load: int = -1
    crash: CrashId | None = None
    blocked: bool = False
    limit: RateLimit | None = None
    knows_limit: bool = False
    pause: float = 0
    has_left: bool = False


def not_run(
    reason: str,
    *,
    wait: float = 0,
    reached: bool = False,
) -> Outcome:
    """Outcome of a request that has not run and never will."""
    return Outcome(
        execution=ExecutionStatus.NOT_RUN,
        reason=reason,
        wait=wait,
        reached=reached,
    )


def unknown(reason: str, *, crash: CrashId | None = None) -> Outcome:
    """Outcome of a request that may have run."""
    return Outcome(
        execution=ExecutionStatus.UNKNOWN,
        reason=reason,
        reached=True,
        crash=crash,
    )
