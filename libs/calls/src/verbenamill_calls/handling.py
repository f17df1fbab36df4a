"""Steps that requests of callers and of daemons have in common."""

from datetime import timedelta

from verbenamill_calls.body import Body, Limits, Relayed, read_body
from verbenamill_calls.call import Refusal, Reply
from verbenamill_http.connection import HttpConnection
from verbenamill_http.messages import Header, ReadFailure, RequestHead
from verbenamill_calls.requests import wants_continue
from verbenamill_calls.responses import encode_refusal, send_reply
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stats import CallStats
from verbenamill_runtime import Clock

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Handling:
    """Reads bodies and sends answers within the limits.

    :ivar is_stopping: tells callers to use another connection from now on.
    """

    def __init__(
        self,
        settings: CallSettings,
        clock: Clock,
        stats: CallStats,
    ) -> None:
        self.is_stopping = False
        self.settings = settings
        self.clock = clock
        self.stats = stats

    async def read_body(
        self,
        connection: HttpConnection,
        head: RequestHead,
        deadline: timedelta,
    ) -> Body | ReadFailure:
        """Read a request's body, as far as it may be kept in memory."""
        if wants_continue(head) and not connection.has_buffered_event:
            await connection.send(_CONTINUE)
        return await read_body(
            connection,
            head.framing,
            limit=self.settings.buffer,
            most=self.settings.max_body,
            limits=self.limits(deadline),
        )

    async def reject(
        self,
        connection: HttpConnection,
        refusal: Refusal,
    ) -> bool:
        """Refuse a request for its own sake, unread."""
        self.stats.rejected += 1
        await connection.send(encode_refusal(refusal, close=True))
        return False

    async def send_reply(
        self,
        connection: HttpConnection,
        reply: Reply,
        *,
        extra: list[Header],
        deadline: timedelta,
        close: bool,
    ) -> bool:
        """Relay an answer; one that breaks off ends the connection.

        Its end is then missing visibly, so nobody takes it for whole.
        """
        relayed = Relayed.SINK_BROKEN
        try:
            relayed = await send_reply(
                connection,
                reply,
                extra=extra,
                limits=self.limits(deadline),
                close=close,
            )
        finally:
            reply.finish(relayed)
        if relayed is Relayed.WHOLE:
            self.stats.answered += 1
            return True
        self.stats.broken += 1
        connection.close()
        return False

    def limits(self, deadline: timedelta) -> Limits:
        """Bounds on the relay of a message until a deadline."""
        return Limits(
            deadline,
            self.clock,
            silence=self.settings.body_timeout.total_seconds(),
        )

    def must_close(self, body: Body) -> bool:
        """Whether a connection cannot be used after this request."""
        # What is left of a body would be read as the next request.
        return self.is_stopping or not body.is_read
