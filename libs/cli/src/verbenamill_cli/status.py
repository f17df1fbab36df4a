"""Which daemon runs which version, which ones lag, and why."""

from collections import Counter
from collections.abc import Sequence

from msgspec import Struct

from verbenamill_cli.daemons import Surveyed
from verbenamill_model.status import Status
from verbenamill_cli.errors import ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, table
from verbenamill_model.traffic import Upstream
from verbenamill_model.typing import AvailabilityZone, VmId

#: Daemons that are named one by one; of a larger fleet only those that lag.
MAX_SHOWN = 60


class DaemonStatus(Struct, frozen=True, kw_only=True):
    """One daemon's line of the report.

    :param upstream: service, version and state of its upstream.
    :param reason: why it lags, empty when it does not.
    """

    id: VmId
    availability_zone: AvailabilityZone
    upstream: str
    version: int | None
    offset: int | None
    reason: str


class FleetStatus(Struct, frozen=True, kw_only=True):
    """The whole report.

    :param head: last offset of the log, or the highest among the daemons
        when the log does not answer.
    :param version: version that all should run.
    :param log: ``reachable``, or why it is not.
    """

    head: int
    version: int
    log: str
    daemons: tuple[DaemonStatus, ...]


def report_status(
    surveyed: list[Surveyed],
    history: History | None,
    log: str,
    *,
    show_all: bool = False,
) -> Report:
    """Compare what the daemons run with the end of the log.

    :param history: the folded log, or ``None`` when it does not answer.
    :param log: what to say of the log.
    :param show_all: name every daemon of a large fleet too.
    """
    fleet = judge(surveyed, history, log)
    lagging = [daemon for daemon in fleet.daemons if daemon.reason]
    return Report(
        data=fleet,
        lines=(
            f'log: {fleet.log}; last record {fleet.head}, '
            f'version {fleet.version}',
            f'{len(fleet.daemons)} daemons, {len(lagging)} not up to date',
            *_show(fleet, lagging, show_all=show_all),
        ),
        code=ExitCode.LAGGING if lagging else ExitCode.OK,
    )


def judge(
    surveyed: list[Surveyed],
    history: History | None,
    log: str,
) -> FleetStatus:
    """Find which daemons lag behind, and why."""
    answers = (daemon.answer for daemon in surveyed)
    statuses = [answer for answer in answers if isinstance(answer, Status)]
    if history is None:
        head = max((status.offset for status in statuses), default=-1)
        version = max((status.version for status in statuses), default=-1)
    else:
        # The log was read before the daemons were asked, so a daemon that
        # is beyond this is not ahead of the others: time has passed.
        head = history.state.offset
        version = history.state.snapshot.version
    reasons = _Reasons(statuses, history, head)
    return FleetStatus(
        head=head,
        version=version,
        log=log,
        daemons=tuple(_judge_one(daemon, reasons) for daemon in surveyed),
    )


def _judge_one(surveyed: Surveyed, reasons: '_Reasons') -> DaemonStatus:
    answer = surveyed.answer
    member = surveyed.member
    if isinstance(answer, Status):
        return DaemonStatus(
            id=member.id,
            availability_zone=member.availability_zone,
            upstream=_describe_upstream(member.upstream),
            version=answer.version,
            offset=answer.offset,
            reason=reasons.of(answer),
        )
    return DaemonStatus(
        id=member.id,
        availability_zone=member.availability_zone,
        upstream=_describe_upstream(member.upstream),
        version=None,
        offset=None,
        reason=answer,
    )


def _describe_upstream(upstream: Upstream | None) -> str:
    if upstream is None:
        return '-'
    state = upstream.state.value
    return f'{upstream.service} {upstream.version} {state}'


class _Reasons:
    """Why a daemon lags, in the light of the others."""

    def __init__(
        self,
        statuses: list[Status],
        history: History | None,
        head: int,
    ) -> None:
        self._head = head
        self._zones = Counter(status.availability_zone for status in statuses)
        self._behind = Counter(
            status.availability_zone
            for status in statuses
            if status.offset < head
        )
        self._most_members = max(
            (status.members for status in statuses),
            default=0,
        )
        self._digests = _known_digests(statuses, history)

    def of(self, status: Status) -> str:
        """The first reason that fits, or an empty text."""
        expected = self._digests.get(status.offset)
        if expected is not None and status.digest != expected:
            return (
                f'its state at {status.offset} differs from the others: '
                'restart it and report this'
            )
        if status.offset < self._head:
            return self._why_behind(status)
        if not status.ready:
            return 'not ready: it has no configuration confirmed yet'
        return ''

    def _why_behind(self, status: Status) -> str:
        zone = status.availability_zone
        missing = self._head - status.offset
        behind = f'{missing} record{"s" if missing > 1 else ""} behind'
        if status.members == 1 and self._most_members > 1:
            return f'{behind}: it is cut off from every other daemon'
        is_whole_zone = self._behind[zone] == self._zones[zone]
        if is_whole_zone and self._zones[zone] > 1:
            return (
                f'{behind}, as all of {zone}: its log readers do not reach '
                'the log, or the zone is cut off'
            )
        if not status.ready:
            return f'{behind}: it is starting'
        return f'{behind}: the change is on its way, or its links are slow'


def _known_digests(
    statuses: list[Status],
    history: History | None,
) -> dict[int, str]:
    """Right digest by offset: the log's, else the most common one."""
    counted = Counter((status.offset, status.digest) for status in statuses)
    digests = {
        offset: digest
        for (offset, digest), _ in reversed(counted.most_common())
    }
    if history is not None:
        digests[history.state.offset] = history.state.digest
    return digests


def _show(
    fleet: FleetStatus,
    lagging: list[DaemonStatus],
    *,
    show_all: bool,
) -> tuple[str, ...]:
    if show_all or len(fleet.daemons) <= MAX_SHOWN:
        return _show_daemons(fleet.daemons)
    zones = _show_zones(fleet)
    if not lagging:
        return zones
    hidden = len(lagging) - MAX_SHOWN
    rest = (f'and {hidden} more; --all names every daemon',)
    return (
        *zones,
        *_show_daemons(lagging[:MAX_SHOWN]),
        *(rest if hidden > 0 else ()),
    )


def _show_zones(fleet: FleetStatus) -> tuple[str, ...]:
    zones = Counter(daemon.availability_zone for daemon in fleet.daemons)
    lagging = Counter(
        daemon.availability_zone for daemon in fleet.daemons if daemon.reason
    )
    return table(
        ('ZONE', 'DAEMONS', 'NOT UP TO DATE'),
        ((zone, zones[zone], lagging[zone]) for zone in sorted(zones)),
    )


def _show_daemons(daemons: Sequence[DaemonStatus]) -> tuple[str, ...]:
    return table(
        ('DAEMON', 'ZONE', 'UPSTREAM', 'VERSION', 'OFFSET', 'STATE'),
        (
            (
                daemon.id,
                daemon.availability_zone,
                daemon.upstream,
                _show_number(daemon.version),
                _show_number(daemon.offset),
                daemon.reason or 'up to date',
            )
            for daemon in daemons
        ),
    )


def _show_number(number: int | None) -> str:
    return '?' if number is None else str(number)
