"""Stand-in for the operator, who changes the configuration."""

import random
import time

from scripts.platform_cluster import PlatformCluster
from scripts.table_changes import CALLS, ENGINES, SPARES, Change, changed
from soak.history import History, Table
from soak.room import OTHERS, Room
from soak.rules import TIMEOUT_S

__all__ = ["EXTRA_ROUTE", "GUEST_KEY", "Operator"]

EXTRA_ROUTE = "extra"
GUEST_KEY = "guest-key"
MOVES = {ENGINES: SPARES, CALLS: OTHERS}
MAX_STEP = 7
MAX_ATTEMPTS = 4


class Operator:
    """Writes configurations, each a change of the last.

    Parameters
    ----------
    cluster : PlatformCluster
        The store and the routers.
    history : History
        Where the configurations are noted.
    room : Room
        How much room the replicas have.
    rng : random.Random
        Draws the changes.
    """

    def __init__(
        self,
        cluster: PlatformCluster,
        history: History,
        room: Room,
        rng: random.Random,
    ):
        self._cluster = cluster
        self._history = history
        self._engine = {"slots": room.slots, "kvCapacity": room.tokens}
        self._rng = rng
        self._version = 1
        self._moved: set[str] = set()
        self._has_extra = False
        self._has_guest = False

    def write(self) -> None:
        """Write the configuration."""
        self._version += self._rng.randint(1, MAX_STEP)
        cfg = changed(self._version, Change.NONE)
        for route in cfg["routes"]:
            route["maxAttempts"] = MAX_ATTEMPTS
            route["timeoutMs"] = round(TIMEOUT_S * 1e3)
            if route["name"] in self._moved:
                route["service"] = MOVES[route["service"]]
        for service in cfg["services"]:
            if "engine" in service:
                service["engine"] = service["engine"] | self._engine
        if self._has_extra:
            added = next(each for each in cfg["routes"] if each["name"] == "again")
            names = {"name": EXTRA_ROUTE, "prefix": f"/{EXTRA_ROUTE}/"}
            cfg["routes"].append(added | names)
        if self._has_guest:
            cfg["tenants"].append({"name": "guest", "apiKeys": [GUEST_KEY]})
        self._cluster.put_document(cfg)
        services = {each["name"]: each["service"] for each in cfg["routes"]}
        tenants = {key: t["name"] for t in cfg["tenants"] for key in t["apiKeys"]}
        self._history.tables.append(Table(time.monotonic(), services, tenants))

    def move_routes(self) -> None:
        """Move some routes to the other service of their kind, or back."""
        names = ["once", "again", "stream", "resume"]
        self._moved ^= set(self._rng.sample(names, self._rng.randint(1, 4)))
        self.write()

    def toggle_route(self) -> None:
        """Add a route, or remove it."""
        self._has_extra = not self._has_extra
        self.write()

    def toggle_key(self) -> None:
        """Add a tenant, or take its key away."""
        self._has_guest = not self._has_guest
        self.write()
