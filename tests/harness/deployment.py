"""The two deployments of the brief, at the size of today, on loopback addresses."""

from __future__ import annotations

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True)
class Service:
    """One service and how many backend servers of it each zone can have."""

    name: str
    kind: str  # "engine" or "plain"
    servers: int
    shards: int
    cold_limit: int
    warm_limit: int


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Zones, VMs, services and workspaces."""

    name: str
    region: str
    zones: tuple[str, ...]
    vms: int
    engine: Service
    plain: Service
    workspaces: tuple[str, ...]
    weights: tuple[int, ...]

    def zone_of_vm(self, vm: int) -> str:
        return self.zones[vm % len(self.zones)]

    def key_of(self, workspace: str) -> str:
        """The demo's key of a workspace; declarations hold its hash only."""
        return f"demo-key-{self.name}-{workspace}"

    def key_hash(self, workspace: str) -> str:
        return hashlib.sha256(self.key_of(workspace).encode()).hexdigest()

    def declarations(self) -> dict:
        """All objects as nutmegplankctl reads them."""
        services = [
            {
                "name": service.name,
                "kind": service.kind,
                "shards": service.shards,
                "cold_limit": service.cold_limit,
                "warm_limit": service.warm_limit,
                "warm_up": "2s",
                "request_time": "30s",
            }
            for service in (self.engine, self.plain)
        ]

        def target(service: Service, share: float) -> dict:
            return {
                "service": service.name,
                "servers": max(1, int(service.servers * share)),
                "most_servers": service.servers,
                "cheap_share": 0.5 if service.kind == "engine" else 0.0,
                "model": "base" if service.kind == "engine" else "",
                "adapters": [],
            }

        def preset(name: str, share: float, refuse: bool) -> dict:
            return {
                "name": name,
                "targets": [target(self.engine, share), target(self.plain, 1.0)],
                "rollout_share": 100,
                "refuse_rollouts": refuse,
            }

        return {
            "workspaces": [
                {"name": name, "weight": weight} for name, weight in zip(self.workspaces, self.weights)
            ],
            "keys": [
                {"id": f"key-{name}", "workspace": name, "sha256": self.key_hash(name)} for name in self.workspaces
            ],
            "services": services,
            "routes": [
                {"name": "completions", "path_prefix": "/v1/completions", "service": self.engine.name},
                {"name": "orders", "path_prefix": "/orders", "service": self.plain.name},
                {
                    "name": "catalogue",
                    "path_prefix": "/catalogue",
                    "service": self.plain.name,
                    "open": True,
                    "workspace": self.workspaces[0],
                    "idempotent": True,
                },
            ],
            "zones": [{"name": zone, "region": self.region} for zone in self.zones],
            "presets": [
                preset("ordinary", 1.0, False),
                preset("peak", 1.0, False),
                preset("maintenance", 0.5, True),
            ],
            "preset_in_force": "ordinary",
        }


CWMTEG = Deployment(
    name="cwmteg",
    region="south-wales",
    zones=("caerdydd", "abertawe", "casnewydd"),
    vms=11,
    engine=Service("quote-gen", "engine", 10, 2, 2, 16),
    plain=Service("order-desk", "plain", 3, 1, 2, 16),
    workspaces=("quotes", "wording", "breweries", "publicans", "ledger", "festival", "archive", "trial"),
    weights=(4, 4, 2, 1, 1, 1, 1, 1),
)

PANTALLA_VIVA = Deployment(
    name="pantalla-viva",
    region="azuay",
    zones=("cuenca", "gualaceo", "paute", "sigsig"),
    vms=10,
    engine=Service("telar", "engine", 8, 2, 2, 16),
    plain=Service("mostrador", "plain", 4, 1, 2, 16),
    workspaces=("seda", "lino", "marcos", "taller", "tienda", "archivo", "pruebas", "envios"),
    weights=(4, 4, 2, 1, 1, 1, 1, 1),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (CWMTEG, PANTALLA_VIVA)}
