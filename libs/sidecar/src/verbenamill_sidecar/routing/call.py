"""One request of a caller and the possible outcomes of its attempts."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import Header, get_header
from verbenamill_model.typing import OrganisationName, ServiceName
from verbenamill_policy.fingerprints import Fingerprint, compute_fingerprint
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.organisations import NO_KEY, KeyFingerprint
from verbenamill_policy.pace import PaceReport
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.routes import Route
from verbenamill_sidecar.state.desired_state import NO_STAMP, VersionStamp

#: Response statuses after which the request may be retried elsewhere.
RETRIABLE_STATUSES = frozenset((500, 502, 503, 504))


class Call(Struct, kw_only=True):
    """One request of a caller; times are on trio's clock.

    :param id: the id that the caller has set; empty if it has set none.
    :param headers: end-to-end headers, without those that daemons set.
    :param origin: service of the VM where the request entered the mesh.
    :param objective: time by which the response is due.
    :param deadline: time at which the caller or the route gives up.
    :param is_nested: whether an upstream makes the call while it runs another.
    :param nested_status: status of the last nested call that failed while this
        request ran; 0 if none failed.
    :param is_alone: whether the request is suspected of crashes, so that the
        same daemon runs no other copy of it at that time.
    :param organisation: the organisation of the caller; empty if none.
    :param organisation_priority: priority that the organisation gives its
        requests instead of that of the route; ``None`` if it gives none.
    :param key: fingerprint of the key that identified the organisation.
    :param nested_calls: number of nested calls that the request has made.
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
    organisation: OrganisationName = OrganisationName('')
    organisation_priority: int | None = None
    key: KeyFingerprint = NO_KEY
    nested_calls: int = 0

    @property
    def priority(self) -> int:
        """Priority in queues; 0 is served first."""
        if self.organisation_priority is None:
            return self.route.priority
        return self.organisation_priority

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.is_idempotent

    def find_fingerprint(self) -> Fingerprint:
        """Compute the fingerprint by which repetitions are recognised."""
        return compute_fingerprint(
            method=self.method,
            host=get_header(self.headers, b'host') or b'',
            target=self.target,
            caller=self.origin,
            body=self.body,
        )


@unique
class ExecutionStatus(Enum):
    """Whether an attempt was executed, as far as that is known.

    ``NOT_RUN`` is used only if it is certain that the upstream did not run the
    request and will not run it later. After ``UNKNOWN`` it may have run it.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Outcome(Struct, kw_only=True):
    """Outcome of one attempt at one owner.

    :param answer: the upstream's response, if there is one.
    :param reason: why there is no response; one of a fixed set of texts.
    :param detail: further details of the reason, for the log.
    :param wait: expected time until there is room, in seconds.
    :param reached: whether an upstream got the request.
    :param everywhere: whether other owners would have the same outcome.
    :param service_time: time at the upstream, in seconds.
    :param mean_service_time: mean of this route at this upstream, in seconds.
    :param load: number of requests running and queued at the owner.
    :param pace: pace of the upstream; ``None`` if it is the usual one.
    :param crash: the crash of the upstream during the request, if any.
    :param blocked: whether the request is refused because of crashes under it.
    :param limit: the limit that the upstream names, if it names one.
    :param knows_limit: whether ``limit`` comes from a response of this start of
        the upstream, or was restored; an owner that has just started knows
        neither.
    :param pause: time until the limit admits such a request, in seconds.
    :param has_left: whether the upstream has announced that it ends.
    :param stamp: version stamp of the owner's desired state.
    """

    execution: ExecutionStatus
    answer: ClientResponse | None = None
    reason: str = ''
    detail: str = ''
    wait: float = 0
    reached: bool = False
    everywhere: bool = False
    service_time: float | None = None
    mean_service_time: float | None = None
    load: int = -1
    pace: PaceReport | None = None
    crash: CrashId | None = None
    blocked: bool = False
    limit: RateLimit | None = None
    knows_limit: bool = False
    pause: float = 0
    has_left: bool = False
    stamp: VersionStamp = NO_STAMP


def not_run(
    reason: str,
    *,
    wait: float = 0,
    reached: bool = False,
) -> Outcome:
    """Make the outcome of a request that has not run and will never run."""
    return Outcome(
        execution=ExecutionStatus.NOT_RUN,
        reason=reason,
        wait=wait,
        reached=reached,
    )


def unknown(reason: str, *, crash: CrashId | None = None) -> Outcome:
    """Make the outcome of a request that may have run."""
    return Outcome(
        execution=ExecutionStatus.UNKNOWN,
        reason=reason,
        reached=True,
        crash=crash,
    )
