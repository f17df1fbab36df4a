"""The quotas in force, and the rule by which a share may hold whole tokens."""

from collections.abc import Iterable
from typing import NewType
from zlib import crc32

from msgspec import Struct

from verbenamill_model.typing import OrganisationName, VmId
from verbenamill_policy.organisations import Organisation, Quota

#: Checksum of an organisation's name, by which messages name it.
OrganisationId = NewType('OrganisationId', int)
Quotas = dict[OrganisationId, Quota]

#: Time at the rate of a quota that buckets hold at least, in seconds. With a
#: smaller burst, tokens would be lost between two requests for them.
_MIN_BURST_TIME = 0.1
#: Part of the slack that pools hold in addition to the burst. Without it, the
#: parts of a small burst in several pools are less than one token each.
_POOLED_SLACK = 0.2


class QuotaMargin(Struct, frozen=True, kw_only=True):
    """Requests that may run in a window beyond the rate and the burst.

    :param window: length of the window, in seconds.
    :param overshoot: share of the rate and the burst in addition.
    :param slack: number of requests in addition.
    """

    window: float = 5
    overshoot: float = 0.1
    slack: float = 20

    @property
    def pooled_slack(self) -> float:
        """Number of requests that pools hold in addition to the burst."""
        return _POOLED_SLACK * self.slack

    @property
    def standalone_slack(self) -> float:
        """Number of whole tokens that standalone daemons hold beyond that."""
        return self.slack - self.pooled_slack


def identify(name: OrganisationName) -> OrganisationId:
    """Compute the checksum by which messages name an organisation."""
    return OrganisationId(crc32(name.encode()))


def collect_quotas(
    organisations: Iterable[Organisation], margin: QuotaMargin
) -> Quotas:
    """Collect the quotas by which pools earn and hold tokens, by checksum.

    Organisations whose checksums are equal share the smaller of their quotas,
    so that neither exceeds its own.
    """
    quotas: Quotas = {}
    for organisation in organisations:
        if organisation.quota is None:
            continue
        id = identify(organisation.name)
        quota = _make_holdable(organisation.quota, margin)
        other = quotas.get(id, quota)
        quotas[id] = Quota(
            rate=min(quota.rate, other.rate),
            burst=min(quota.burst, other.burst),
        )
    return quotas


def _make_holdable(quota: Quota, margin: QuotaMargin) -> Quota:
    """Raise a burst so that pools can hold the tokens between requests."""
    burst = max(quota.burst, 1) + margin.pooled_slack
    burst = max(burst, quota.rate * _MIN_BURST_TIME)
    return Quota(rate=max(quota.rate, 0), burst=burst)


def may_hold_token(
    vm: VmId, id: OrganisationId, *, burst: float, daemons: int, slack: float
) -> bool:
    """Whether a daemon on its own may hold a whole token of a small burst.

    The hash selects about ``burst + slack`` of all daemons, so that all of them
    together hold no more than that.

    :param daemons: number of daemons.
    """
    place = crc32(f'{vm}/{id}'.encode()) / (1 << 32)
    return place * daemons < burst + slack
