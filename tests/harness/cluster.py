"""Starts a deployment: stand-ins, then the product's processes, all on loopback addresses."""

from __future__ import annotations

import hashlib
import json
import os
import pathlib
import socket
import subprocess
import tempfile
import time

from harness import http
from harness.deployment import Deployment
from harness.process import BIN, Process

OPERATOR_KEY = "demo-operator-key"
ROLES = ("gateway", "dispatcher", "controller")
HTTP_PORT = {"gateway": 8080, "dispatcher": 8081, "controller": 8082}
LINK_PORT = {"gateway": 7010, "dispatcher": 7011, "controller": 7012}
GOSSIP_PORT = {"gateway": 7020, "dispatcher": 7021, "controller": 7022}
STANDIN_PORT = 7000
SERVER_PORT = 9000
LOCK_PORT = 6999
SLOTS = range(10, 120)


def eventually(holds, seconds: float = 15, pause: float = 0.1, what: str = "condition"):
    """The first true value of holds(); fails after some seconds."""
    deadline = time.monotonic() + seconds
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = holds()
            if value:
                return value
        except (OSError, http.http.client.HTTPException, ValueError, KeyError) as error:
            last_error = error
        time.sleep(pause)
    raise AssertionError(f"{what}: not within {seconds} s ({last_error})")


class Cluster:
    """A running deployment. Use as a context manager; everything that it started ends with it."""

    def __init__(self, deployment: Deployment, vms: int | None = None, engines: int | None = None,
                 plains: int | None = None, cold_ms: int = 300, node_settings: dict | None = None,
                 role_settings: dict | None = None, proxied: tuple[str, ...] = (), engine_settings: dict | None = None,
                 plain_settings: dict | None = None, cheap_share: float = 0.5, folder: pathlib.Path | None = None):
        self.deployment = deployment
        self.vms = vms if vms is not None else deployment.vms
        self.counts = {
            deployment.engine.name: engines if engines is not None else deployment.engine.servers,
            deployment.plain.name: plains if plains is not None else deployment.plain.servers,
        }
        zones = len(deployment.zones)
        #: Processes that the ordering stand-in may hand out: as many in each zone as any spread can ask for.
        self.pool_counts = {service: -(-count // zones) * zones for service, count in self.counts.items()}
        self.cold_ms = cold_ms
        self.node_settings = node_settings or {}
        self.role_settings = role_settings or {}
        self.proxied = proxied
        self.engine_settings = engine_settings or {}
        self.plain_settings = plain_settings or {}
        self.cheap_share = cheap_share
        self._temporary = None
        if folder is None and os.environ.get("NUTMEGPLANK_KEEP"):
            folder = pathlib.Path(tempfile.mkdtemp(prefix="nutmegplank-"))
        elif folder is None:
            self._temporary = tempfile.TemporaryDirectory(prefix="nutmegplank-")
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.slot, self._lock = self._take_slot()

    @staticmethod
    def _take_slot() -> tuple[int, socket.socket]:
        """A network of loopback addresses that no other cluster on this machine uses."""
        first = os.getpid() % len(SLOTS)
        for index in range(len(SLOTS)):
            slot = SLOTS[(first + index) % len(SLOTS)]
            lock = socket.socket()
            try:
                lock.bind((f"127.{slot}.0.1", LOCK_PORT))
                return slot, lock
            except OSError:
                lock.close()
        raise AssertionError("no free loopback network")

    # Addresses

    def standin_address(self, number: int) -> str:
        return f"127.{self.slot}.0.{number}"

    def vm_address(self, vm: int) -> str:
        zone = vm % len(self.deployment.zones) + 1
        return f"127.{self.slot}.{zone}.{vm + 1}"

    def server_address(self, zone: int, number: int) -> str:
        return f"127.{self.slot}.{zone + 1}.{number + 100}"

    STANDINS = {"log": 1, "cloud": 2, "usage": 3, "weights": 4, "faultproxy": 5}

    def standin(self, name: str) -> str:
        return f"{self.standin_address(self.STANDINS[name])}:{STANDIN_PORT}"

    def seen_by_product(self, name: str) -> str:
        """The endpoint of a stand-in, through the fault proxy when it is proxied."""
        if name not in self.proxied:
            return self.standin(name)
        return f"{self.standin_address(5)}:{STANDIN_PORT + 1 + self.proxied.index(name)}"

    def log_for(self, role: str, vm: int) -> str:
        """Each process may have a route of its own to the log: proxied as "log:gateway-0"."""
        name = f"log:{role}-{vm}"
        return self.seen_by_product_named(name) if name in self.proxied else self.seen_by_product("log")

    def seen_by_product_named(self, name: str) -> str:
        return f"{self.standin_address(5)}:{STANDIN_PORT + 1 + self.proxied.index(name)}"

    def http_endpoint(self, role: str, vm: int) -> str:
        return f"{self.vm_address(vm)}:{HTTP_PORT[role]}"

    def gateways(self) -> list[str]:
        return [self.http_endpoint("gateway", vm) for vm in range(self.vms)]

    def controllers(self) -> list[str]:
        return [self.http_endpoint("controller", vm) for vm in range(self.vms)]

    # Starting and ending

    def __enter__(self) -> "Cluster":
        try:
            self.start_standins()
            for vm in range(self.vms):
                self.start_vm(vm)
            for vm in range(self.vms):
                for role in ROLES:
                    self.processes[f"{role}-{vm}"].wait_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.close()

    def close(self) -> None:
        for process in self.processes.values():
            process.thaw()
            process.kill()
        self._lock.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def start(self, program: str, name: str, settings: dict) -> Process:
        self.processes[name] = Process(program, name, settings, self.folder).start()
        return self.processes[name]

    def start_standins(self) -> None:
        def endpoint(number: int) -> dict:
            return {"address": self.standin_address(number), "port": STANDIN_PORT}

        pool = self.server_pool()
        started = [
            self.start("standin-log", "log", endpoint(1)),
            self.start("standin-cloud", "cloud", {**endpoint(2), "lag_ms": 200, "pool": pool}),
            self.start("standin-usage", "usage", endpoint(3)),
            self.start("standin-weights", "weights", endpoint(4)),
        ]
        if self.proxied:
            routes = []
            for name in self.proxied:
                base = "log" if name.startswith("log:") else name
                target = self.standin(base) if base in self.STANDINS else self.server_target(base)
                routes.append({"name": name, "listen": self.seen_by_product_named(name), "target": target})
            started.append(self.start("standin-faultproxy", "faultproxy", {**endpoint(5), "routes": routes}))
        for server in pool:
            started.append(self.start_server(server))
        for process in started:
            process.wait_ready()

    def server_pool(self) -> list[dict]:
        pool = []
        for offset, service in ((0, self.deployment.engine), (50, self.deployment.plain)):
            for number in range(self.pool_counts[service.name]):
                zone = number % len(self.deployment.zones)
                server = f"{service.name}-{number}"
                real = f"{self.server_address(zone, number + offset)}:{SERVER_PORT}"
                cheap = service.kind == "engine" and (number // len(self.deployment.zones)) % 2 < self.cheap_share * 2 - 0.5
                pool.append({
                    "id": server,
                    "service": service.name,
                    "zone": self.deployment.zones[zone],
                    "address": self.seen_by_product_named(server) if server in self.proxied else real,
                    "cheap": cheap,
                    "checks_fencing": number % 2 == 0,
                })
        return pool

    def server_target(self, name: str) -> str:
        for offset, service in ((0, self.deployment.engine), (50, self.deployment.plain)):
            if name.startswith(service.name + "-"):
                number = int(name.rsplit("-", 1)[1])
                return f"{self.server_address(number % len(self.deployment.zones), number + offset)}:{SERVER_PORT}"
        raise KeyError(name)

    def start_server(self, server: dict) -> Process:
        real = self.server_target(server["id"])
        host, port = real.rsplit(":", 1)
        engine = server["service"] == self.deployment.engine.name
        service = self.deployment.engine if engine else self.deployment.plain
        settings = {"address": host, "port": int(port), "cold_ms": self.cold_ms, "cold_limit": service.cold_limit}
        if engine:
            settings |= {"weight_store": self.standin("weights"), "checks_fencing": server["checks_fencing"]}
            settings |= {"model": service.name, **self.engine_settings}
        else:
            settings |= self.plain_settings
        return self.start("standin-engine" if engine else "standin-plain", server["id"], settings)

    def node(self, role: str, vm: int) -> dict:
        seeds = [f"{self.vm_address(seed)}:{GOSSIP_PORT['controller']}" for seed in range(min(3, self.vms))]
        return {
            "id": f"{role}-{vm}",
            "vm": f"vm-{vm}",
            "zone": self.deployment.zone_of_vm(vm),
            "address": self.vm_address(vm),
            "http_port": HTTP_PORT[role],
            "link_port": LINK_PORT[role],
            "gossip_port": GOSSIP_PORT[role],
            "log_service": self.log_for(role, vm),
            "seeds": seeds,
            **self.node_settings,
        }

    def start_process(self, role: str, vm: int) -> Process:
        settings = {"node": self.node(role, vm), "vm_list": self.seen_by_product("cloud")}
        if role == "controller":
            settings |= {
                "ordering": self.seen_by_product("cloud"),
                "ordering_checks_fencing": True,
                "policy": {"zone_room": "none"},
                "usage_reporting": self.seen_by_product("usage"),
                "operators": [{"name": "demo", "sha256": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}],
            }
        settings |= self.role_settings.get(role, {})
        return self.start(f"nutmegplank-{role}", f"{role}-{vm}", settings)

    def start_vm(self, vm: int) -> None:
        for role in ROLES:
            self.start_process(role, vm)

    def kill_vm(self, vm: int) -> None:
        for role in ROLES:
            self.processes[f"{role}-{vm}"].kill()

    # Acting on stand-ins

    def control(self, standin: str, fault: dict) -> None:
        endpoint = self.standin(standin) if standin in self.STANDINS else self.server_target(standin)
        answer = http.call(endpoint, "POST", "/control", fault)
        assert answer.status == 200, f"{standin}: {answer.text}"

    def fault(self, route: str, mode: str, **fields) -> None:
        self.control("faultproxy", {"name": route, "mode": mode, **fields})

    def stats(self, standin: str) -> dict:
        endpoint = self.standin(standin) if standin in self.STANDINS else self.server_target(standin)
        return http.call(endpoint, "GET", "/stats").json()

    # Operators

    def ctl(self, *arguments: str, check: bool = True, timeout: float = 60) -> subprocess.CompletedProcess:
        key = self.folder / "operator.key"
        key.write_text(OPERATOR_KEY)
        command = [str(BIN / "nutmegplankctl"), *arguments, f"--controllers={','.join(self.controllers())}",
                   f"--operator-key-file={key}"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=timeout, check=False)
        if check:
            assert done.returncode == 0, f"{command}\n{done.stdout}\n{done.stderr}"
        return done

    def write_declarations(self, declarations: dict | None = None) -> pathlib.Path:
        folder = self.folder / "declarations"
        folder.mkdir(exist_ok=True)
        path = folder / "deployment.json"
        path.write_text(json.dumps(declarations or self.deployment.declarations(), indent=2))
        return folder

    def apply(self, declarations: dict | None = None) -> None:
        self.ctl("apply", str(self.write_declarations(declarations)), "--why=test")

    def wait_servers(self, service: str, count: int, seconds: float = 20) -> None:
        """Until the product's dispatchers can use that many backend servers of a service."""
        def enough() -> bool:
            servers = self.admin("GET", "/admin/v1/servers").json()
            entries = servers["servers"] if isinstance(servers, dict) else servers
            return sum(1 for entry in entries if entry["service"] == service and entry["state"] == "live") >= count

        eventually(enough, seconds, what=f"{count} backend servers of {service}")

    def admin(self, method: str, target: str, body=None, vm: int = 0) -> http.Answer:
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return http.call(self.http_endpoint("controller", vm), method, target, body, headers)

    def call(self, vm: int, method: str, target: str, body=None, key: str | None = None, headers=None,
             timeout: float = 15) -> http.Answer:
        """A caller's request to one gateway."""
        sent = dict(headers or {})
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        return http.call(self.http_endpoint("gateway", vm), method, target, body, sent, timeout)
