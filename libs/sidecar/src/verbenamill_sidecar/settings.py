"""Settings of the daemon, read from TOML and validated as a whole."""

import tomllib
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_http.addresses import Address, parse_address
from verbenamill_model.faults import Fault
from verbenamill_model.typing import (
    AvailabilityZone,
    RegionName,
    ServiceName,
    VmId,
)
from verbenamill_policy.budget import USUAL_RATIO
from verbenamill_policy.cold_starts import ColdStartMargin
from verbenamill_policy.quotas.limits import QuotaMargin
from verbenamill_runtime.settings_fields import (
    Flag,
    Name,
    NamePairs,
    SocketAddress,
    duration_in_range,
    number_in_range,
    one_of,
)
from verbenamill_runtime.settings_reader import read_sections
from verbenamill_telemetry.log_settings import LogFormat, LogLevel

_MIN_GRACE = timedelta(seconds=0.1)
_MAX_GRACE = timedelta(hours=1)
_DEFAULT_GRACE = timedelta(seconds=6)

_Pairs = tuple[tuple[str, str], ...]


class VmSettings(Struct, frozen=True, kw_only=True):
    """Identity of this daemon.

    :param service: service of the upstream beside this daemon.
    """

    id: Annotated[VmId, Name]
    availability_zone: Annotated[AvailabilityZone, Name]
    service: Annotated[ServiceName, Name]


class RegionSettings(Struct, frozen=True, kw_only=True):
    """Regions of the availability zones.

    :param zones: each zone and its region.
    """

    zones: Annotated[_Pairs, NamePairs] = ()

    @property
    def by_zone(self) -> dict[AvailabilityZone, RegionName]:
        """Region of each known zone."""
        return {
            AvailabilityZone(zone): RegionName(region)
            for zone, region in self.zones
        }


class ListenSettings(Struct, frozen=True, kw_only=True):
    """Addresses that the daemon listens on.

    :param callers: for requests of callers on this VM and of the upstream.
    :param daemons: for requests that other daemons forward.
    :param gossip: for datagrams of other daemons.
    :param announcements: for heartbeats of the upstream beside this daemon.
    :param health: for readiness checks and metrics.
    """

    callers: Annotated[str, SocketAddress]
    daemons: Annotated[str, SocketAddress]
    gossip: Annotated[str, SocketAddress]
    announcements: Annotated[str, SocketAddress]
    health: Annotated[str, SocketAddress]


class AdvertiseSettings(Struct, frozen=True, kw_only=True):
    """Addresses at which other daemons reach this one.

    :param daemons: for forwarded requests; empty for the listen address.
    :param gossip: for datagrams; empty for the listen address.
    """

    daemons: Annotated[str, SocketAddress] = ''
    gossip: Annotated[str, SocketAddress] = ''


class UpstreamSettings(Struct, frozen=True, kw_only=True):
    """Address of the upstream beside this daemon."""

    address: Annotated[str, SocketAddress]


class StoreSettings(Struct, frozen=True, kw_only=True):
    """Address of the platform's store."""

    address: Annotated[str, SocketAddress]


class StopSettings(Struct, frozen=True, kw_only=True):
    """Time limit of a graceful stop.

    :param grace: time from the signal until the process is killed.
    """

    grace: Annotated[timedelta, duration_in_range(_MIN_GRACE, _MAX_GRACE)] = (
        _DEFAULT_GRACE
    )


class RetrySettings(Struct, frozen=True, kw_only=True):
    """Requests that may be sent to a second upstream.

    :param ratio: share of the requests for a service, over the whole fleet.
    """

    ratio: Annotated[float, number_in_range(0, 100)] = USUAL_RATIO


class StartSettings(Struct, frozen=True, kw_only=True):
    """What the operator states about this start.

    :param first: whether the whole fleet starts for the first time, so that
        the store holds no state of it yet.
    """

    first: Annotated[bool, Flag] = False


class ColdStartSettings(Struct, frozen=True, kw_only=True):
    """Requests that a cold upstream may get in one second beyond its rate.

    The rate itself is part of the configuration.

    :param overshoot: factor on the rate.
    :param slack: number of requests in addition.
    """

    overshoot: Annotated[float, number_in_range(1, 100)] = 1.5
    slack: Annotated[float, number_in_range(0, 1_000_000)] = 4

    @property
    def margin(self) -> ColdStartMargin:
        """These settings as the policy uses them."""
        return ColdStartMargin(overshoot=self.overshoot, slack=self.slack)


class QuotaSettings(Struct, frozen=True, kw_only=True):
    """Requests of an organisation that may run in a window beyond its quota.

    The quota itself is part of the configuration.

    :param window: length of the window, in seconds.
    :param overshoot: share of the rate and the burst in addition.
    :param slack: number of requests in addition.
    """

    window: Annotated[float, number_in_range(0.1, 3600)] = 5
    overshoot: Annotated[float, number_in_range(0, 100)] = 0.1
    slack: Annotated[float, number_in_range(0, 1_000_000)] = 20

    @property
    def margin(self) -> QuotaMargin:
        """These settings as the policy uses them."""
        return QuotaMargin(
            window=self.window, overshoot=self.overshoot, slack=self.slack
        )


class LoggingSettings(Struct, frozen=True, kw_only=True):
    """Level and format of the log."""

    level: Annotated[LogLevel, one_of(LogLevel)] = LogLevel.INFO
    format: Annotated[LogFormat, one_of(LogFormat)] = LogFormat.JSON


class Settings(Struct, frozen=True, kw_only=True):
    """All settings; each field is a section of the file."""

    vm: VmSettings
    listen: ListenSettings
    upstream: UpstreamSettings
    store: StoreSettings
    advertise: AdvertiseSettings = AdvertiseSettings()
    start: StartSettings = StartSettings()
    stop: StopSettings = StopSettings()
    retries: RetrySettings = RetrySettings()
    cold_start: ColdStartSettings = ColdStartSettings()
    quota: QuotaSettings = QuotaSettings()
    regions: RegionSettings = RegionSettings()
    logging: LoggingSettings = LoggingSettings()

    @property
    def upstream_address(self) -> Address:
        """Address of the upstream beside this daemon."""
        return parse_address(self.upstream.address)


def load_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read a settings file.

    :returns: the settings, or one line per error.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'the file cannot be read: {error}',))
    return check_settings(text)


def check_settings(text: str) -> Result[Settings, tuple[str, ...]]:
    """Validate the whole text of a settings file."""
    try:
        document: Mapping[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = Fault(key='', expected=f'TOML: {error}')
        return Failure((str(fault),))
    sections, faults = read_sections(Settings, document)
    if faults:
        return Failure(tuple(str(fault) for fault in faults))
    return Success(Settings(**sections))
