"""Settings of the daemon, read from TOML and checked whole."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_http.addresses import Address, parse_address
from verbenamill_model.faults import Fault
from verbenamill_model.typing import AvailabilityZone, ServiceName, VmId
from verbenamill_runtime.settings_fields import (
    Flag,
    Name,
    SocketAddress,
    one_of,
    integer_in_range,
)
from verbenamill_runtime.settings_reader import read_sections
from verbenamill_telemetry.log_settings import LogFormat, LogLevel


class VmSettings(Struct, frozen=True, kw_only=True):
    """Who this daemon is.

    :param service: of the upstream beside it.
    """

    id: Annotated[VmId, Name]
    availability_zone: Annotated[AvailabilityZone, Name]
    service: Annotated[ServiceName, Name]


class ListenSettings(Struct, frozen=True, kw_only=True):
    """Where the daemon listens.

    :param callers: requests of callers on this VM and of the upstream.
    :param daemons: requests that other daemons pass on.
    :param gossip: datagrams of other daemons.
    :param announcements: heartbeats of the own upstream.
    :param health: whether callers may be sent here; also the metrics.
    """

    callers: Annotated[str, SocketAddress]
    daemons: Annotated[str, SocketAddress]
    gossip: Annotated[str, SocketAddress]
    announcements: Annotated[str, SocketAddress]
    health: Annotated[str, SocketAddress]


class AdvertiseSettings(Struct, frozen=True, kw_only=True):
    """Where other daemons reach this one, if not where it listens.

    :param daemons: for requests that they pass on; empty: as listened on.
    :param gossip: for datagrams; empty: as listened on.
    """

    daemons: Annotated[str, SocketAddress] = ''
    gossip: Annotated[str, SocketAddress] = ''


class UpstreamSettings(Struct, frozen=True, kw_only=True):
    """Where the own upstream listens."""

    address: Annotated[str, SocketAddress]


class StoreSettings(Struct, frozen=True, kw_only=True):
    """Where the platform's store is."""

    address: Annotated[str, SocketAddress]


class StopSettings(Struct, frozen=True, kw_only=True):
    """Time for a graceful stop.

    :param grace: from the signal until the process is killed, in ms.
    """

    grace: Annotated[int, integer_in_range(1000, 600_000)] = 6000


class StartSettings(Struct, frozen=True, kw_only=True):
    """What is known of this start.

    :param first: whether the whole fleet starts for the first time, so that
        the store has nothing of it yet.
    """

    first: Annotated[bool, Flag] = False


class LoggingSettings(Struct, frozen=True, kw_only=True):
    """How events are written."""

    level: Annotated[LogLevel, one_of(LogLevel)] = LogLevel.INFO
    format: Annotated[LogFormat, one_of(LogFormat)] = LogFormat.JSON


class Settings(Struct, frozen=True, kw_only=True):
    """All settings; one field a section of the file."""

    vm: VmSettings
    listen: ListenSettings
    upstream: UpstreamSettings
    store: StoreSettings
    advertise: AdvertiseSettings = AdvertiseSettings()
    start: StartSettings = StartSettings()
    stop: StopSettings = StopSettings()
    logging: LoggingSettings = LoggingSettings()

    @property
    def upstream_address(self) -> Address:
        """Where the own upstream listens."""
        return parse_address(self.upstream.address)


def load_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read a settings file.

    :returns: the settings, or every fault as one line.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'the file cannot be read: {error}',))
    return check_settings(text)


def check_settings(text: str) -> Result[Settings, tuple[str, ...]]:
    """Check the text of a settings file whole."""
    try:
        document: Mapping[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = Fault(key='', expected=f'TOML: {error}')
        return Failure((str(fault),))
    sections, faults = read_sections(Settings, document)
    if faults:
        return Failure(tuple(str(fault) for fault in faults))
    return Success(Settings(**sections))
