"""One call on its way, and what can come of it."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum, unique
from typing import Protocol

from msgspec import Struct

from verbenamill_calls.body import Body, Relayed
from verbenamill_http.connection import EventSource, HttpConnection
from verbenamill_http.messages import Header, ResponseHead
from verbenamill_model.typing import (
    Priority,
    RequestId,
    RouteName,
    ServiceName,
    VersionName,
)


class Call(Struct, kw_only=True):
    """One call, as ingress and owner both see it.

    :param headers: end-to-end headers only.
    :param deadline: on the clock's ``monotonic`` scale.
    :param caller: who asks, for fairness between callers.
    :param is_gone: whether whoever asked has hung up.
    :param key: idempotency key, made unique among callers and services.
    :param is_shortened: whether the caller set the deadline, so that to miss
        it is no failure of the upstream.
    """

    id: RequestId
    route: RouteName
    service: ServiceName
    version: VersionName
    priority: Priority
    idempotent: bool
    deadline: timedelta
    caller: str
    method: bytes
    target: bytes
    headers: list[Header]
    body: Body
    is_gone: Callable[[], bool]
    key: str | None = None
    is_shortened: bool = False


@unique
class Fate(str, Enum):
    """What is known of a call that got no answer of its upstream.

    ``NOT_RUN`` is only said when it is proven. After ``UNKNOWN`` the
    upstream may have run the call. ``FAILED`` is a fault in the call.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Refusal(Struct, frozen=True, kw_only=True):
    """An answer of ours in place of the upstream's.

    :param retry_after: when another try may succeed.
    """

    status: int
    fate: Fate
    reason: str
    retry_after: timedelta | None = None


class Reply:
    """An answer whose head has come and whose body is still to be read.

    :param finish: called once, with how the relay of the body ended.
    """

    def __init__(
        self,
        head: ResponseHead,
        source: EventSource,
        finish: Callable[[Relayed], None],
    ) -> None:
        self.head = head
        self.source = source
        #: Set while the body still has to come over a connection.
        self.connection = source if isinstance(source, HttpConnection) else None
        self._finish: Callable[[Relayed], None] | None = finish

    def finish(self, relayed: Relayed) -> None:
        """Free what the call holds; later calls do nothing."""
        finish = self._finish
        self._finish = None
        if finish is not None:
            finish(relayed)


Answer = Reply | Refusal


class Attempt(Protocol):
    """A call that was sent and whose answer is waited for."""

    async def wait(self, until: timedelta | None = None) -> Answer | None:
        """The answer; ``None`` when it has not come by then.

        :param until: on the clock's ``monotonic`` scale.
        """

    async def is_lost(self) -> bool:
        """Whether its connection seems to have lost it for good."""

    def abandon(self) -> None:
        """Cancel the call and free what it holds."""


def refuse(
    status: int,
    fate: Fate,
    reason: str,
    *,
    retry_after: timedelta | None = None,
) -> Refusal:
    """Make a refusal."""
    return Refusal(
        status=status,
        fate=fate,
        reason=reason,
        retry_after=retry_after,
    )
