"""Documents that operators write and the configuration merged from them."""

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
"""Built-in team that requests without a key on open queues count for."""


class KeySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Salted hash of one key of a team.

    :param salt: hexadecimal salt
    :param digest: hexadecimal SHA-256 of salt and key
    """

    salt: str
    digest: str


class TeamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share, upper limit and keys of a team.

    :param share: weight when all is full, above 0
    :param limit: most requests and tasks running in the whole fleet
    :param queues: queues the team may use; empty means all
    :param keys: keys by public id
    :param stale_key_deadline_s: seconds without contact to the log after which a
        cut-off data centre refuses the team's keys; ``None`` goes on serving
    """

    share: float = 1.0
    limit: int = 1
    queues: list[QueueId] = []
    keys: dict[KeyId, KeySpec] = {}
    stale_key_deadline_s: float | None = None


class PoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of instances.

    :param spare: instances of this pool are taken first when another pool needs one
    """

    spare: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service with one queue of its own name.

    :param pool: pool whose endpoints run it
    :param min_available: availability budget: fewest instances of the pool that
        must be available
    :param open: whether callers need no key
    :param queue_limit: most requests waiting in one entry
    """

    pool: PoolId
    min_available: int = 0
    open: bool = False
    queue_limit: int = 1000


class InstanceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint instance.

    :param dc: data centre
    :param rack: failure domain inside the data centre
    :param pool: pool to which it belongs at first; later moves are commands
    :param address: IP number
    :param port: TCP port of the endpoint
    :param slots: requests that it runs at a time
    :param connections: connections that it accepts
    :param cores: processors
    :param memory_gb: memory in GB
    :param accelerators: accelerators
    :param image: name of the installed image, for correlated failures
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

    :param max_request_s: longest deadline of a request
    :param default_request_s: deadline of a request that names none
    :param claim_window_s: time for which a request id is remembered
    :param leaving_deadline_s: oldest instance list that an entry may route by
    :param isolation_window_s: time without contact to the log after which a process
        stops using its units
    :param idle_return_s: time after which idle units return to the reserve
    :param correlation_window_s: window in which failures of a wave count together
    :param max_parallel: most instances of a wave stopped at a time
    :param reuse: connections for non-idempotent requests: ``fresh``, ``expect`` or
        ``pooled``
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
