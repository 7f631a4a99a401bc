"""Configuration documents and the configuration merged from them."""

from __future__ import annotations

import msgspec

from primrosepitch.errors import ConfigError
from primrosepitch.ids import DcId, InstanceId, KeyId, PoolId, QueueId, TeamId

__all__ = [
    "PUBLIC_TEAM",
    "Config",
    "Document",
    "FleetSettings",
    "InstanceSpec",
    "KeySpec",
    "PoolSpec",
    "ServiceSpec",
    "TeamSpec",
    "merge",
]

PUBLIC_TEAM = TeamId("public")
"""Built-in team for requests without a key on open queues."""


class KeySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Salted hash of one key of a team.

    :param salt: hexadecimal salt
    :param digest: hexadecimal SHA-256 of salt and key
    """

    salt: str
    digest: str


class TeamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share, upper limit and keys of a team.

    :param share: weight for sharing capacity when the fleet is saturated, above 0
    :param limit: upper limit of requests and tasks running in the whole fleet
    :param queues: queues that the team may use; empty means all
    :param keys: keys by public id
    :param stale_key_deadline_s: seconds without contact to the log after which a
        cut-off data centre refuses the team's keys; ``None`` means never
    """

    share: float = 1.0
    limit: int = 1
    queues: list[QueueId] = []
    keys: dict[KeyId, KeySpec] = {}
    stale_key_deadline_s: float | None = None


class PoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of instances.

    :param spare: whether instances are taken from this pool first when another pool
        needs one
    """

    spare: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, which has one queue of the same name.

    :param pool: pool whose endpoints run the service
    :param min_available: availability budget: minimum number of available instances
        of the pool
    :param open: whether requests without a key are accepted
    :param queue_limit: maximum number of waiting requests in one entry
    """

    pool: PoolId
    min_available: int = 0
    open: bool = False
    queue_limit: int = 1000


class InstanceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An instance that runs an endpoint.

    :param dc: data centre
    :param rack: failure domain inside the data centre
    :param pool: initial pool; later moves are commands
    :param address: IP address
    :param port: TCP port of the endpoint
    :param slots: maximum number of concurrent requests
    :param connections: maximum number of open connections
    :param cores: number of processor cores
    :param memory_gb: memory in GB
    :param accelerators: number of accelerators
    :param image: name of the installed image, to detect correlated failures
    """

    dc: DcId
    rack: str
    pool: PoolId
    address: str
    port: int
    slots: int = 8
    connections: int = 64
    cores: int = 16
    memory_gb: int = 32
    accelerators: int = 0
    image: str = ""


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the whole fleet; durations in seconds.

    :param max_request_s: maximum timeout of a request
    :param default_request_s: timeout of a request that specifies none
    :param claim_window_s: time for which a request id is remembered
    :param leaving_deadline_s: maximum age of an instance list used for routing
    :param isolation_window_s: time without contact to the log after which a process
        stops using its units
    :param idle_return_s: time after which idle units return to the reserve
    :param correlation_window_s: window in which failures of a wave are counted together
    :param max_parallel: maximum number of instances of a wave stopped at a time
    :param reuse: connection reuse for non-idempotent requests: ``fresh``, ``expect``
        or ``pooled``
    :param routing: name of the routing policy
    """

    max_request_s: float = 30.0
    default_request_s: float = 10.0
    claim_window_s: float = 600.0
    leaving_deadline_s: float = 5.0
    isolation_window_s: float = 21600.0
    idle_return_s: float = 2.0
    correlation_window_s: float = 600.0
    max_parallel: int = 4
    reuse: str = "fresh"
    routing: str = "least_loaded"


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of one YAML file of the configuration folder."""

    pools: dict[PoolId, PoolSpec] = {}
    services: dict[QueueId, ServiceSpec] = {}
    teams: dict[TeamId, TeamSpec] = {}
    instances: dict[InstanceId, InstanceSpec] = {}
    fleet: FleetSettings | None = None


class Config(msgspec.Struct):
    """Configuration merged from all documents."""

    pools: dict[PoolId, PoolSpec] = {}
    services: dict[QueueId, ServiceSpec] = {}
    teams: dict[TeamId, TeamSpec] = {}
    instances: dict[InstanceId, InstanceSpec] = {}
    fleet: FleetSettings = FleetSettings()


def merge(documents: dict[str, Document]) -> Config:
    """Merge documents in the order of their file names.

    :param documents: documents by file name
    :returns: the merged configuration
    :raises ConfigError: if a name is defined in two files
    """
    cfg = Config(pools={}, services={}, teams={}, instances={})
    fleet_file = ""
    for name in sorted(documents):
        doc = documents[name]
        for section in ("pools", "services", "teams", "instances"):
            target = getattr(cfg, section)
            for key, value in getattr(doc, section).items():
                if key in target:
                    raise ConfigError(f"{name}: {section}.{key} is defined twice")
                target[key] = value
        if doc.fleet is not None:
            if fleet_file:
                raise ConfigError(f"{name}: fleet is also defined in {fleet_file}")
            fleet_file = name
            cfg.fleet = doc.fleet
    return cfg
