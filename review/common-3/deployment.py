"""A small deployment for the cases 11 to 15: machines started with the command of the deploy file, the project's own
stand-ins for store, servers and platform, and a record of what was sent, answered and run."""

from __future__ import annotations

import base64
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from platformworld.world import HOST, KEY, MODEL, Node, World, eventually  # noqa: E402

#: A case ends by itself before the limit of 120 s.
LONGEST_RUN = 110
#: With TROUBLE=0 a case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: What common-3/run.sh turns into the exit codes 1, 0 and 2; 1 is also how Python ends with an error.
BROKEN, HELD, CANNOT_RUN = 3, 0, 2


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started, self.lock = time.monotonic(), threading.Lock()

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def node_command() -> list[str]:
    with open(ROOT / "deploy" / "system.toml", "rb") as deploy:
        return tomllib.load(deploy)["roles"]["node"]["run"].split()


class Machine(Node):
    """One machine, with the settings file of DEPLOY.md."""

    def settings(self) -> dict:
        world = self.world
        return {
            "node_name": self.name, "role": "node", "machine_class": "edge",
            "serves": ["edge", "directory"], "ip": self.ip, "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {name: f"{self.ip}:{port}" for name, port in self.ports.items()},
            "internal_ports": [7640, 7655], "seeds": [], "bootstrap": True, "in_failure_budget": False,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": world.memory_mb, "max_fds": 8200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
            "bounds": {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "lost_ms": 200,
                       "config_apply_ms": 2000, "enforce_fencing": True, "lease_ms": 3000, "usage_window_s": 5,
                       "usage_late_s": 10, "recover_s": 12, "finish_s": 10, "status_s": world.status_s,
                       "cancel_ms": 3000, "settle_ms": 1000, "ttl_max_s": 5},
            "platform": {"address": world.store_endpoint(self), "form": "log", "writes_per_s": 800,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "partition_mb_s": 20.0,
                         "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                         "retention_s": world.retention_s, "part_mb": 200, "ttl_min_ms": 1000},
            "cloud": {"address": world.cloud_server.endpoint, "rate_per_s": 50.0, "duties": ["metering"],
                      "duty_per_s": 50.0}}

    def start(self) -> "Machine":
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.log_mark = self.log.stat().st_size if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(node_command(), cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                          env={"PATH": os.environ["PATH"], "NUTMEGPLANK_NODE_FILE": str(path)})
        return self


class Deployment(World):
    """Machines before engines ("quote") and plain servers ("desk"), as in the users' site files, but fewer."""

    running: list["Deployment"] = []

    ended = False
    HEARTBEAT_SECONDS = 1.2
    RETENTION_SECONDS = 40  # Of items, as in the sheet of cwmteg-orders.
    memory_mb, status_s, retention_s = 270, 120, 300

    def before_start(self) -> None:
        Deployment.running.append(self)
        self.nodes = [Machine(self, number) for number in range(len(self.nodes))]
        self.prepare()
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def heartbeats(self) -> None:
        """The servers write their entries again and again, as PROTOCOL.md says."""
        while not self.ended:
            for server in [*self.engines, *self.plains]:
                if server.up and not server.dark:
                    self.loop.loop.call_soon_threadsafe(server.announce)
            time.sleep(self.HEARTBEAT_SECONDS)

    def prepare(self) -> None:
        """For cases that change the stand-ins before the machines start."""


def rollout_item(name: str, group: str, body: bytes, headers: dict[str, str] | None = None) -> dict:
    return {"id": name, "path": f"/steps/{name}", "group": group, "tokens": 521, "body": base64.b64encode(body).decode(),
            "headers": {"X-Model": MODEL, "X-Token-Usage": "271,250", "X-Length-Hint": "6", **(headers or {})}}


def submission(items: list[dict], groups: int, step: int = 1) -> bytes:
    return json.dumps({"step": step, "model": MODEL, "min_version": 1, "group_count": groups, "items": items}).encode()


def submit(machine: Machine, batch: str, body: bytes, key: str = KEY, timeout: float = 12) -> int | str:
    """One attempt; the status, or why there is none."""
    try:
        return machine.call("POST", f"/steps/{batch}", body, key=key, timeout=timeout,
                            headers={"X-Request-Id": batch, "X-Deadline-Ms": str(int(timeout * 1000)),
                                     "Content-Type": "application/json"})[0]
    except OSError as problem:
        return type(problem).__name__


def read_results(machine: Machine, batch: str, after: int = 0, key: str = KEY) -> dict | None:
    try:
        status, body, _ = machine.call("GET", f"/v1/lots/{batch}?after={after}", key=key, timeout=3)
    except OSError:
        return None
    return json.loads(body) if status == 200 else None


def read_all(machines: list[Machine], batch: str, key: str = KEY) -> list[dict]:
    """All results that are listed, from whichever machine answers."""
    results: list[dict] = []
    for _ in range(200):
        pages = (read_results(machine, batch, len(results), key) for machine in machines if machine.running())
        page = next((page for page in pages if page is not None), None)
        if page is None or not page["results"]:
            break
        results += page["results"]
    return results


def end(code: int) -> None:
    """Ends all processes that the case started, then the case."""
    for deployment in Deployment.running:
        deployment.ended = True
        for machine in deployment.nodes:
            machine.kill()
    sys.stdout.flush()
    os._exit(code)


def play(folder: str, case) -> None:
    """Runs `case(record)`, which returns whether the rule held, and exits as issue 49 asks."""
    record = Record(pathlib.Path(folder))
    watchdog = threading.Timer(LONGEST_RUN, lambda: (record.note("took too long"), end(CANNOT_RUN)))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: end(CANNOT_RUN))
    record.note(f"TROUBLE={int(TROUBLE)}")
    try:
        held = case(record)
    except Exception as problem:  # noqa: BLE001
        record.note(f"the case could not run: {problem!r}")
        print(f"the case could not run: {problem!r}")
        end(CANNOT_RUN)
    verdict = "the rule held" if held else "THE RULE WAS BROKEN"
    record.note(verdict)
    print(verdict)
    end(HELD if held else BROKEN)
