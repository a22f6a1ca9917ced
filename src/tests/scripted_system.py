"""One node of the real program in front of scripted servers, which belong to any number of services."""

import base64
import json

from platform_system import System
from scripted_server import ScriptedServer


def service_of(head):
    """The service that a request to a scripted server is for."""
    return head["start"].split("/")[1]


class ScriptedSystem(System):
    """Each service has a route of its name and consists of all scripted servers."""

    def __init__(self, build, routes, servers, answer):
        """`routes` maps services to the properties of their routes. `answer(server, connection,
        head)` serves a request and returns whether its connection may carry another one."""
        self.routes = routes
        self.servers = [ScriptedServer(f"127.0.6.{number + 1}:23300",
                                       lambda server, connection, head, _:
                                       answer(server, connection, head))
                        for number in range(servers)]
        super().__init__(build, engines=0, nodes=1)

    def configure(self):
        routes = [dict(properties, name=name, host="shop.example", path_prefix=f"/{name}/",
                       service=name, target_latency_ms=400, priority=1, auth_exempt=True)
                  for name, properties in self.routes.items()]
        self.put({"op/config": {"version": 1, "routes": routes, "tenants": [],
                                "services": [{"name": name} for name in self.routes]}})
        self.put({f"servers/{name}-{number}": self.entry_of(name, server)
                  for name in self.routes for number, server in enumerate(self.servers)})

    @staticmethod
    def entry_of(service, server, born=1):
        return {"service": service, "address": server.address, "zone": "za", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq_num": 0, "born": born,
                "models": [], "staged": []}

    def put(self, values):
        self.write({"expected": [], "remove": [],
                    "puts": [{"key": key, "value": base64.b64encode(
                        json.dumps(value).encode()).decode()} for key, value in values.items()]})

    def stop(self):
        super().stop()
        for server in self.servers:
            server.stop()
