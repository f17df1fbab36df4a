"""What a settings file may contain: one struct a section."""

from datetime import timedelta
from typing import Annotated

from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone, Region, VmId
from verbenamill_runtime.settings_fields import (
    SocketAddresses,
    Flag,
    HttpUrl,
    Name,
    SocketAddress,
    one_of,
    duration_in_range,
    integer_in_range,
)
from verbenamill_telemetry.log_settings import LogFormat, LogLevel


class VmSettings(Struct, frozen=True, kw_only=True):
    """Who this daemon is."""

    id: Annotated[VmId, Name]
    availability_zone: Annotated[AvailabilityZone, Name]
    region: Annotated[Region, Name]


class ListenSettings(Struct, frozen=True, kw_only=True):
    """Where the daemon listens, and what it tells others to connect to.

    :param advertise_calls: where it differs from ``calls``; likewise the
        other two.
    """

    calls: Annotated[str, SocketAddress]
    control: Annotated[str, SocketAddress]
    admin: Annotated[str, SocketAddress]
    advertise_calls: Annotated[str | None, SocketAddress] = None
    advertise_control: Annotated[str | None, SocketAddress] = None
    advertise_admin: Annotated[str | None, SocketAddress] = None

    @property
    def told_calls(self) -> str:
        """Address for calls that the other daemons are told."""
        return self.advertise_calls or self.calls

    @property
    def told_control(self) -> str:
        """Address for links that the other daemons are told."""
        return self.advertise_control or self.control

    @property
    def told_admin(self) -> str:
        """Address of the admin API that the others are told."""
        return self.advertise_admin or self.admin


class LogServiceSettings(Struct, frozen=True, kw_only=True):
    """Where the platform's log service is."""

    url: Annotated[str, HttpUrl]


class MeshSettings(Struct, frozen=True, kw_only=True):
    """How the daemon finds the others.

    :param seeds: control addresses that are tried first; empty for the
        first daemon.
    """

    seeds: Annotated[tuple[str, ...], SocketAddresses] = ()


class CallLimits(Struct, frozen=True, kw_only=True):
    """Bounds of what the daemon holds for callers.

    :param max_body_bytes: longest request body that is taken.
    :param max_connections: open connections from callers and daemons.
    :param queue_factor: calls that may wait for each slot of the upstream.
    :param queue_timeout: longest such wait before the call is shed.
    :param remembered_requests: finished request ids that are kept.
    :param shutdown_timeout: longest a graceful stop waits for calls.
    """

    max_body_bytes: Annotated[int, integer_in_range(1, 1 << 30)] = 64 << 20
    max_connections: Annotated[int, integer_in_range(1, 100_000)] = 2000
    queue_factor: Annotated[int, integer_in_range(0, 100)] = 4
    queue_timeout: Annotated[
        timedelta,
        duration_in_range(timedelta(milliseconds=1), timedelta(minutes=1)),
    ] = timedelta(milliseconds=250)
    remembered_requests: Annotated[int, integer_in_range(1, 1_000_000)] = 50_000
    shutdown_timeout: Annotated[
        timedelta,
        duration_in_range(timedelta(seconds=1), timedelta(minutes=10)),
    ] = timedelta(seconds=30)


class LoggingSettings(Struct, frozen=True, kw_only=True):
    """How events are written."""

    level: Annotated[LogLevel, one_of(LogLevel)] = LogLevel.INFO
    format: Annotated[LogFormat, one_of(LogFormat)] = LogFormat.TEXT


class TestSettings(Struct, frozen=True, kw_only=True):
    """Switches that only tests may have."""

    switches: Annotated[bool, Flag] = False


class Settings(Struct, frozen=True, kw_only=True):
    """All settings of a daemon; one field a section of the file."""

    vm: VmSettings
    listen: ListenSettings
    log: LogServiceSettings
    mesh: MeshSettings = MeshSettings()
    calls: CallLimits = CallLimits()
    logging: LoggingSettings = LoggingSettings()
    test: TestSettings = TestSettings()
