"""The accepted configuration, and the selection of a request's route."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_model.typing import (
    ConfigVersion,
    RegionName,
    RouteName,
    ServiceName,
)
from verbenamill_policy.cold_starts import ColdStartLimit
from verbenamill_policy.organisations import Organisation, OrganisationIndex


@unique
class RouteKind(Enum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    UPLOAD = 'upload'


class Split(Struct, frozen=True):
    """Share of a route's requests that one service gets."""

    service: ServiceName
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """Routing of the requests with one host and path prefix.

    :param prefix: path prefix that begins and ends with a slash; the longest
        matching one is used.
    :param timeout: maximum time until a caller gets an answer, in seconds.
    :param objective: latency objective, in seconds.
    :param priority: priority in queues; 0 is served first.
    :param max_attempts: maximum number of upstreams that one request may be
        sent to.
    :param splits: services of the route, at least one, with weights
        above 0.
    :param homes: regions whose upstreams may run the requests; empty for all.
    :param is_public: whether callers need no key.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    splits: tuple[Split, ...]
    homes: frozenset[RegionName] = frozenset()
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


class Limits(Struct, frozen=True, kw_only=True):
    """Limits on the requests of callers, in bytes and seconds."""

    max_header: int = 32 * 1024
    max_body: int = 64 * 1024 * 1024
    header_timeout: float = 10
    idle_timeout: float = 60


class ServiceProperties(Struct, frozen=True, kw_only=True):
    """Properties of the upstreams of one service.

    :param health_path: path of their health check; empty if there is none.
    """

    health_path: str = ''
    cold_start: ColdStartLimit = ColdStartLimit()


class Configuration(Struct, frozen=True, kw_only=True):
    """The complete configuration of a proxy, which is replaced as a whole.

    :param version: increases with each accepted change.
    :param properties: properties of the services that have any.
    :param organisations: the organisations whose keys callers must send;
        ``None`` if no keys are required.
    """

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: frozenset[ServiceName]
    limits: Limits
    properties: dict[ServiceName, ServiceProperties] = {}
    organisations: tuple[Organisation, ...] | None = None

    def properties_of(self, service: ServiceName) -> ServiceProperties:
        """Properties of the upstreams of a service."""
        return self.properties.get(service, _NO_PROPERTIES)


_NO_PROPERTIES = ServiceProperties()


class RouteTable:
    """Finds routes by host and longest path prefix.

    :ivar organisations: the organisations of the configuration; ``None`` if
        callers need no keys.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.organisations = (
            None
            if configuration.organisations is None
            else OrganisationIndex(configuration.organisations)
        )
        self._hosts: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            host = self._hosts.setdefault(route.host.lower().encode(), {})
            host[route.prefix.encode()] = route

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Find the route of a request; ``None`` if there is none.

        Each prefix ends with a slash, so only the parts of the path that end
        with one are looked up. The cost depends on the length of the path and
        not on the number of routes.
        """
        prefixes = self._hosts.get(host.lower().partition(b':')[0])
        if prefixes is None:
            return None
        path = target.partition(b'?')[0]
        end = path.rfind(b'/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b'/', 0, end)
        return None


class SplitCounter:
    """Distributes a route's requests over its services by weight.

    It uses smooth weighted round robin: after any number of requests each
    service is within one request of its share. Random choice would deviate
    more.
    """

    def __init__(self) -> None:
        self._credits: dict[RouteName, list[float]] = {}

    def pick(self, route: Route) -> ServiceName:
        """Choose the service of the next request on a route."""
        splits = route.splits
        if len(splits) == 1:
            return splits[0].service
        credits = self._credits.get(route.name)
        if credits is None or len(credits) != len(splits):
            credits = [float(0) for _ in splits]
            self._credits[route.name] = credits
        for index, split in enumerate(splits):
            credits[index] += split.weight
        best = max(range(len(splits)), key=credits.__getitem__)
        credits[best] -= sum(part.weight for part in splits)
        return splits[best].service
