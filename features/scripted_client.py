"""Client of the platform's services whose calls all get the same answer."""

from adapter.services import PlatformClient
from adapter.settings import (
    Addresses,
    Bounds,
    CloudSettings,
    PlatformSettings,
    StoreSettings,
)

from primrosepitch.metrics import Metrics
from primrosepitch.net.http_messages import HttpResponse


class ScriptedClient:
    """HTTP client that answers every call with the same response."""

    def __init__(self, status, body):
        self.response = HttpResponse(status, [], body)

    async def call(
        self, address, request, deadline, send_by=0.0, connection=0, process=0
    ):
        return self.response

    def is_connected(self, address, process):
        return True


def platform_client(body, status=200, client=None):
    address = "127.0.0.1:1"
    settings_of_node = PlatformSettings(
        node_name="n",
        ip_address="127.0.0.1",
        zone="hall",
        listen_addresses=Addresses(address),
        platform=StoreSettings(address),
        bounds=Bounds(fencing_required=True),
        advice=address,
        cloud=CloudSettings(address),
    )
    client = client or ScriptedClient(status, body)
    return PlatformClient(
        settings_of_node,
        client,
        client,
        Metrics(),
        lambda _, s, p: s,
    )
