"""Whether the zone of this daemon is evacuated."""

from collections.abc import Callable

import trio

from verbenamill_model.typing import AvailabilityZone

#: Time from the news of an evacuation until the local upstream gets no more
#: requests, in seconds. Meanwhile the other daemons hear of it too, so that
#: few requests are refused here.
REFUSAL_DELAY = 1.0


class OwnZone:
    """Applies the evacuation of the own zone to the local upstream.

    :param zone: the zone of this daemon.
    :param evacuated_zones: returns the zones that are evacuated.
    :param on_return: called when the zone is no longer evacuated.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        evacuated_zones: Callable[[], frozenset[AvailabilityZone]],
        *,
        on_return: Callable[[], None],
    ) -> None:
        self._zone = zone
        self._evacuated_zones = evacuated_zones
        self._on_return = on_return
        self._evacuated_since: float | None = None

    def refuses_requests(self) -> bool:
        """Whether the local upstream gets no requests any more."""
        self.refresh()
        since = self._evacuated_since
        return (
            since is not None and trio.current_time() - since >= REFUSAL_DELAY
        )

    def refresh(self) -> None:
        """Notice the begin or the end of an evacuation."""
        if self._zone in self._evacuated_zones():
            if self._evacuated_since is None:
                self._evacuated_since = trio.current_time()
        elif self._evacuated_since is not None:
            self._evacuated_since = None
            self._on_return()
