"""Counts requests by organisation and verdict, and logs refusals."""

from collections import Counter
from heapq import nlargest

from verbenamill_model.typing import OrganisationName
from verbenamill_policy.organisations import Organisation
from verbenamill_policy.quotas.accounts import Verdict
from verbenamill_telemetry import Event, log

#: Requests by organisation and verdict.
VerdictCounts = Counter[tuple[OrganisationName, Verdict]]

#: Most organisations with metric labels of their own.
_MAX_LABELS = 50
#: Label of all other organisations.
_OTHERS = OrganisationName('others')
#: Time without a refusal after which refusals have ended, in seconds.
_QUIET_TIME = 5.0


class VerdictLog:
    """Counts requests by organisation and verdict, and logs refusals."""

    def __init__(self) -> None:
        self._counts: VerdictCounts = Counter()
        self._refused_at: dict[OrganisationName, float] = {}
        self._refused: Counter[OrganisationName] = Counter()

    def count(
        self,
        organisation: OrganisationName,
        verdict: Verdict,
        reason: str,
        now: float,
    ) -> None:
        """Count a request, and log if refusals of its organisation begin.

        :param reason: reason of a refusal.
        """
        self._counts[organisation, verdict] += 1
        if verdict is Verdict.ADMITTED:
            return
        if organisation not in self._refused_at:
            log(
                Event.QUOTA_EXCEEDED,
                organisation=organisation,
                reason=reason,
            )
        self._refused_at[organisation] = now
        self._refused[organisation] += 1

    def sweep(self, now: float) -> None:
        """Log the end of refusals."""
        for organisation, refused_at in list(self._refused_at.items()):
            if now - refused_at >= _QUIET_TIME:
                self._refused_at.pop(organisation)
                log(
                    Event.QUOTA_RECOVERED,
                    organisation=organisation,
                    refused=self._refused.pop(organisation),
                )

    def summarize(self, organisations: list[Organisation]) -> VerdictCounts:
        """Return the counts, with the smaller organisations as one.

        Organisations are ordered by the rates of their quotas, which do not
        change with the traffic, so that no counter moves to another label.
        """
        limited = [one for one in organisations if one.quota is not None]
        largest = nlargest(_MAX_LABELS, limited, key=_rate_of)
        labelled = {one.name for one in largest}
        counts: VerdictCounts = Counter()
        for (name, verdict), count in self._counts.items():
            label = name if name in labelled else _OTHERS
            counts[label, verdict] += count
        return counts


def _rate_of(organisation: Organisation) -> float:
    return 0 if organisation.quota is None else organisation.quota.rate
