"""Evacuations of availability zones, merged from records in any order."""

from collections.abc import Iterable

from msgspec import Struct

from verbenamill_model.external import NumberOrNone, ZoneField
from verbenamill_model.typing import AvailabilityZone


class Evacuation(Struct, frozen=True, array_like=True):
    """The newest known record on the evacuation of a zone.

    :param number: position of the record in the operators' log, which
        increases with each record.
    :param is_active: whether the zone is evacuated; otherwise it was returned.
    """

    zone: ZoneField
    number: NumberOrNone
    is_active: bool = True


class Evacuations:
    """Which zones are evacuated; the record with the highest number wins.

    The end of an evacuation is remembered as well. Otherwise a daemon that has
    not heard of it would bring the evacuation back.
    """

    def __init__(self) -> None:
        self._known: dict[AvailabilityZone, Evacuation] = {}
        self._zones: frozenset[AvailabilityZone] = frozenset()

    @property
    def known(self) -> list[Evacuation]:
        """All records, to be sent to other daemons."""
        return list(self._known.values())

    @property
    def newest(self) -> int:
        """Number of the newest record; -1 before any."""
        return max((one.number for one in self._known.values()), default=-1)

    @property
    def zones(self) -> frozenset[AvailabilityZone]:
        """Zones that are evacuated; a new object after each change."""
        return self._zones

    def apply(self, evacuation: Evacuation) -> bool:
        """Merge a record; returns whether it changes the evacuated zones."""
        known = self._known.get(evacuation.zone)
        if known is not None and known.number >= evacuation.number:
            return False
        self._known[evacuation.zone] = evacuation
        if evacuation.is_active == (evacuation.zone in self._zones):
            return False
        self._zones = frozenset(
            one.zone for one in self._known.values() if one.is_active
        )
        return True

    def find_ended(
        self, listed: Iterable[Evacuation], *, end: int
    ) -> list[Evacuation]:
        """Find evacuations that a complete listing of the log lacks.

        Their removal is among the records before the end of the log, even if
        these records have expired.

        :param listed: the evacuations that the listing contains.
        :param end: end of the log when the listing began. An evacuation at or
            after its last record is newer than the listing.
        """
        present = {one.zone for one in listed}
        return [
            Evacuation(one.zone, end - 1, is_active=False)
            for one in self._known.values()
            if one.is_active
            and one.zone not in present
            and one.number < end - 1
        ]
