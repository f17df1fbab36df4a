"""Addresses of daemons on a stream of the system's own.

Seeds in the settings age: every daemon they name may be replaced. Each
availability zone keeps fresh addresses on the log, and a daemon that finds
no peer looks there.
"""

from random import Random

import msgspec
import trio
from msgspec import Struct
from returns.result import Failure

from verbenamill_mesh.members import Members
from verbenamill_mesh.newest_records import read_newest_records
from verbenamill_mesh.peer_sync import ProbePeer
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_model import Entry
from verbenamill_model.typing import AvailabilityZone
from verbenamill_runtime import Log
from verbenamill_runtime.streams import GATEWAYS_STREAM
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Newest records looked at: each availability zone writes one an interval.
NEWEST_RECORDS = 64
#: Unknown addresses tried an interval; most are of daemons long replaced.
MAX_PROBED_ADDRESSES = 5
#: Addresses in one record.
MAX_ADDRESSES = 5


class GatewaysRecord(Struct, frozen=True):
    """Where an availability zone is reached."""

    availability_zone: AvailabilityZone
    addresses: tuple[str, ...]


_decoder = msgspec.json.Decoder(GatewaysRecord)


class GatewayDirectory:
    """Writes the addresses of the own availability zone and reads others."""

    def __init__(
        self,
        *,
        platform_log: Log,
        members: Members,
        peers: Peers,
        probe_peer: ProbePeer,
        settings: MeshSettings,
        random: Random,
        stats: MeshStats,
    ) -> None:
        self._log = platform_log
        self._members = members
        self._peers = peers
        self._probe_peer = probe_peer
        self._settings = settings
        self._random = random
        self._stats = stats

    async def run(self) -> None:
        """Write addresses, and meet unknown zones, until cancelled."""
        interval = self._settings.gateways_interval.total_seconds()
        # The first record of a new mesh comes early, since daemons with
        # stale seeds wait for it.
        pause = min(interval, self._settings.isolation_timeout.total_seconds())
        while True:
            await trio.sleep(pause * self._random.uniform(0.5, 1.5))
            if self._peers.is_primary:
                await self._write_addresses()
                await self._probe_unknown_addresses()
                pause = interval

    async def find_addresses(self) -> tuple[str, ...]:
        """Addresses that were written lately, in no order."""
        records = await self._read_records()
        found = (address for record in records for address in record.addresses)
        return tuple(dict.fromkeys(found))

    async def _write_addresses(self) -> None:
        own = self._peers.own_member
        zone_peers = list(self._members.in_zone(own.availability_zone).values())
        sampled = self._random.sample(
            zone_peers, min(len(zone_peers), MAX_ADDRESSES - 1)
        )
        addresses = dict.fromkeys(
            (own.control, *(member.control for member in sampled)),
        )
        record = GatewaysRecord(own.availability_zone, tuple(addresses))
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await self._log.append(
            GATEWAYS_STREAM,
            msgspec.json.encode(record),
        )
        if isinstance(outcome, Failure):
            # A record that stands twice, or an interval late, does no harm.
            log(Event.LOG_UNAVAILABLE, detail=outcome.failure().detail)

    async def _probe_unknown_addresses(self) -> None:
        """Meet daemons that no seed and no peer has told of.

        Daemons that started while an availability zone was cut in two find
        each other, but not those on the far side, and none of the seeds is
        left. Without this, both would live on as islands for ever.
        """
        alive = self._members.alive().values()
        known_addresses = {member.control for member in alive}
        recorded = await self.find_addresses()
        unknown = [
            address for address in recorded if address not in known_addresses
        ]
        count = min(len(unknown), MAX_PROBED_ADDRESSES)
        for address in self._random.sample(unknown, count):
            await self._probe_peer(address)

    async def _read_records(self) -> list[GatewaysRecord]:
        self._stats.count_log_request(GATEWAYS_STREAM)
        outcome = await read_newest_records(
            self._log, GATEWAYS_STREAM, NEWEST_RECORDS
        )
        if isinstance(outcome, Failure):
            return []
        read = map(_decode, outcome.unwrap())
        return [record for record in read if record is not None]


def _decode(entry: Entry) -> GatewaysRecord | None:
    try:
        return _decoder.decode(entry.body)
    except msgspec.MsgspecError:
        log(Event.MESSAGE_UNKNOWN, kind=f'{GATEWAYS_STREAM} {entry.offset}')
        return None
