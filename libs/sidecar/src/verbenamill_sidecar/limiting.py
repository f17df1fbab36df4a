"""The limit that the own upstream names in its answers."""

import trio

from verbenamill_policy.limits import LimitBelief
from verbenamill_policy.members import UpstreamRecord
from verbenamill_sidecar.in_band import InBand
from verbenamill_telemetry import Event, log


class LimitKeeper:
    """Knows the limit of the own upstream, and tells of its changes."""

    def __init__(self) -> None:
        self._belief = LimitBelief()

    def begin(self) -> None:
        """Another start of an upstream is there: it has named no limit."""
        self._belief = LimitBelief()

    def hear(
        self,
        upstream: UpstreamRecord,
        said: InBand,
        *,
        asked_at: float,
    ) -> None:
        """Take in what an answer says.

        :param asked_at: when its request was sent.
        """
        if said.limit is not None:
            self._belief.name(said.limit, trio.current_time())
        elif said.names_none:
            self._belief.name_none(asked_at=asked_at)
        self._tell(upstream)

    def _tell(self, upstream: UpstreamRecord) -> None:
        belief = self._belief
        before = belief.told
        if not belief.take_news(trio.current_time()):
            return
        if belief.rate is None:
            log(
                Event.UPSTREAM_UNLIMITED,
                instance=upstream.instance,
                before=before,
            )
            return
        log(
            Event.UPSTREAM_LIMITED,
            instance=upstream.instance,
            rate=belief.rate,
            before=before,
            source='answer',
        )
