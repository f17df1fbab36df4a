"""Report of the version of every daemon, and why some lag."""

from collections import Counter
from collections.abc import Sequence

from msgspec import Struct

from verbenamill_cli.daemons import SurveyedDaemon
from verbenamill_cli.errors import ExitCode
from verbenamill_cli.history import History
from verbenamill_cli.output import Report, format_table
from verbenamill_model.status import Status
from verbenamill_model.traffic import Upstream
from verbenamill_model.typing import AvailabilityZone, VmId

#: Largest fleet of which every daemon is listed, and most lagging daemons that
#: are listed of a larger one.
MAX_LISTED_DAEMONS = 60


class DaemonStatus(Struct, frozen=True, kw_only=True):
    """Line of the report about one daemon.

    :param upstream: service, version and state of its upstream.
    :param reason: why the daemon lags; empty when it does not.
    """

    id: VmId
    availability_zone: AvailabilityZone
    upstream: str
    version: int | None
    offset: int | None
    reason: str


class FleetStatus(Struct, frozen=True, kw_only=True):
    """Content of the report.

    :param head: last offset of the log, or the highest offset among the
        daemons when the log does not answer.
    :param version: version that all daemons should run.
    :param log: text that describes the state of the log.
    """

    head: int
    version: int
    log: str
    daemons: tuple[DaemonStatus, ...]


def format_status(
    daemons: list[SurveyedDaemon],
    history: History | None,
    log: str,
    *,
    show_all: bool = False,
) -> Report:
    """Report what the daemons run, compared with the end of the log.

    :param history: the folded log, or ``None`` when the log does not answer.
    :param log: text that describes the state of the log.
    :param show_all: list every daemon of a large fleet too.
    """
    fleet = compare_with_log(daemons, history, log)
    lagging = [daemon for daemon in fleet.daemons if daemon.reason]
    return Report(
        data=fleet,
        lines=(
            f'log: {fleet.log}; last record {fleet.head}, '
            f'version {fleet.version}',
            f'{len(fleet.daemons)} daemons, {len(lagging)} not up to date',
            *_format_daemons_or_zones(fleet, lagging, show_all=show_all),
        ),
        code=ExitCode.LAGGING if lagging else ExitCode.OK,
    )


def compare_with_log(
    daemons: list[SurveyedDaemon],
    history: History | None,
    log: str,
) -> FleetStatus:
    """Find the daemons that lag behind the log, and why."""
    answers = (daemon.answer for daemon in daemons)
    statuses = [answer for answer in answers if isinstance(answer, Status)]
    if history is None:
        head = max((status.offset for status in statuses), default=-1)
        version = max((status.version for status in statuses), default=-1)
    else:
        # The log was read before the daemons were queried. A daemon with a
        # higher offset has read a newer record, which is no fault.
        head = history.state.offset
        version = history.state.snapshot.version
    diagnosis = _LagDiagnosis(statuses, history, head)
    return FleetStatus(
        head=head,
        version=version,
        log=log,
        daemons=tuple(
            _describe_daemon(daemon, diagnosis) for daemon in daemons
        ),
    )


def _describe_daemon(
    daemon: SurveyedDaemon,
    diagnosis: '_LagDiagnosis',
) -> DaemonStatus:
    answer = daemon.answer
    member = daemon.member
    if isinstance(answer, Status):
        return DaemonStatus(
            id=member.id,
            availability_zone=member.availability_zone,
            upstream=_describe_upstream(member.upstream),
            version=answer.version,
            offset=answer.offset,
            reason=diagnosis.reason_for(answer),
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


class _LagDiagnosis:
    """Explains why a daemon lags by comparison with the other daemons."""

    def __init__(
        self,
        statuses: list[Status],
        history: History | None,
        head: int,
    ) -> None:
        self._head = head
        self._daemons_by_zone = Counter(
            status.availability_zone for status in statuses
        )
        self._behind_by_zone = Counter(
            status.availability_zone
            for status in statuses
            if status.offset < head
        )
        self._max_members = max(
            (status.members for status in statuses),
            default=0,
        )
        self._expected_digests = _find_expected_digests(statuses, history)

    def reason_for(self, status: Status) -> str:
        """First reason that applies, or an empty text."""
        expected = self._expected_digests.get(status.offset)
        if expected is not None and status.digest != expected:
            return (
                f'its state at {status.offset} differs from the others: '
                'restart it and report this'
            )
        if status.offset < self._head:
            return self._explain_missing_records(status)
        if not status.ready:
            return 'not ready: it has no configuration confirmed yet'
        return ''

    def _explain_missing_records(self, status: Status) -> str:
        zone = status.availability_zone
        missing = self._head - status.offset
        behind = f'{missing} record{"s" if missing > 1 else ""} behind'
        if status.members == 1 and self._max_members > 1:
            return f'{behind}: it is cut off from every other daemon'
        is_whole_zone = (
            self._behind_by_zone[zone] == self._daemons_by_zone[zone]
        )
        if is_whole_zone and self._daemons_by_zone[zone] > 1:
            return (
                f'{behind}, as all of {zone}: its log readers do not reach '
                'the log, or the zone is cut off'
            )
        if not status.ready:
            return f'{behind}: it is starting'
        return f'{behind}: the change is on its way, or its links are slow'


def _find_expected_digests(
    statuses: list[Status],
    history: History | None,
) -> dict[int, str]:
    """Expected digest by offset: that of the log, else the most common."""
    counts = Counter((status.offset, status.digest) for status in statuses)
    digests = {
        offset: digest for (offset, digest), _ in reversed(counts.most_common())
    }
    if history is not None:
        digests[history.state.offset] = history.state.digest
    return digests


def _format_daemons_or_zones(
    fleet: FleetStatus,
    lagging: list[DaemonStatus],
    *,
    show_all: bool,
) -> tuple[str, ...]:
    if show_all or len(fleet.daemons) <= MAX_LISTED_DAEMONS:
        return _format_daemons(fleet.daemons)
    zones = _format_zones(fleet)
    if not lagging:
        return zones
    hidden = len(lagging) - MAX_LISTED_DAEMONS
    rest = (f'and {hidden} more; --all names every daemon',)
    return (
        *zones,
        *_format_daemons(lagging[:MAX_LISTED_DAEMONS]),
        *(rest if hidden > 0 else ()),
    )


def _format_zones(fleet: FleetStatus) -> tuple[str, ...]:
    zones = Counter(daemon.availability_zone for daemon in fleet.daemons)
    lagging = Counter(
        daemon.availability_zone for daemon in fleet.daemons if daemon.reason
    )
    return format_table(
        ('ZONE', 'DAEMONS', 'NOT UP TO DATE'),
        ((zone, zones[zone], lagging[zone]) for zone in sorted(zones)),
    )


def _format_daemons(daemons: Sequence[DaemonStatus]) -> tuple[str, ...]:
    return format_table(
        ('DAEMON', 'ZONE', 'UPSTREAM', 'VERSION', 'OFFSET', 'STATE'),
        (
            (
                daemon.id,
                daemon.availability_zone,
                daemon.upstream,
                _format_number(daemon.version),
                _format_number(daemon.offset),
                daemon.reason or 'up to date',
            )
            for daemon in daemons
        ),
    )


def _format_number(number: int | None) -> str:
    return '?' if number is None else str(number)
