"""A machine gets SIGTERM while callers have streams of three seconds."""

import http.client
import json
import pathlib
import random
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, HOST, KEY, TROUBLE, Deployment, Record, run_case  # noqa: E402

#: Each begins a stream every INTERVAL_SECONDS; every third keeps the directory's answer three times as long.
CLIENTS = 24
INTERVAL_SECONDS = 0.6
TIME_LIMIT_MS = 8000
#: A stream lasts EVENTS * PACE = 4 s.
EVENTS, PACE = 20, 0.2
GRACE = BOUNDS["grace_s"]
#: Requests that were sent later than this after the SIGTERM count in any case.
LATE_SEND_SECONDS = 3.0
WARM_UP_SECONDS = 7.0


class World(Deployment):
    def before_start(self) -> None:
        super().before_start()
        self.configure(routes=[
            self.route("steps", "/steps/", "rollout", "quote", retention_s=40, result_deadline_ms=7500),
            self.route("talks", "/talks/", "streaming", "quote", resumable=False, max_attempts=2)])
        for engine in self.engines:
            engine.events, engine.pace = EVENTS, PACE


class Client(threading.Thread):
    """Asks the directory, keeps its answer for `ttl_s` or for three times as long, and begins streams at a fixed rate,
    each on a new connection to one of the addresses."""

    def __init__(self, number: int, world: World, stop: threading.Event, sent: list) -> None:
        super().__init__(daemon=True)
        self.number, self.world, self.stop_event, self.sent = number, world, stop, sent
        self.keeps = 3 if number % 3 == 0 else 1
        self.random = random.Random(number)
        self.addresses, self.until, self.failed = [], 0.0, set()
        self.streams: list[threading.Thread] = []

    def resolve(self) -> None:
        zone = self.world.ZONES[self.number % len(self.world.ZONES)]
        for node in self.random.sample(self.world.nodes, len(self.world.nodes)):
            try:
                status, body, _ = node.call("GET", f"/v1/resolve?name={HOST}&region=south-wales&zone={zone}", key=None,
                                            port="directory", timeout=1)
            except OSError:
                continue
            answer = json.loads(body) if status == 200 else {}
            if answer.get("addresses"):
                self.addresses, self.failed = answer["addresses"], set()
                self.until = time.monotonic() + self.keeps * min(answer["ttl_s"], BOUNDS["ttl_max_s"])
                return

    def run(self) -> None:
        time.sleep(self.number * INTERVAL_SECONDS / CLIENTS)
        count = 0
        while not self.stop_event.is_set():
            if time.monotonic() >= self.until:
                self.resolve()
            choice = [address for address in self.addresses if address not in self.failed]
            if not choice:
                self.until = 0.0
                time.sleep(0.05)
                continue
            count += 1
            stream = threading.Thread(target=self.stream, daemon=True,
                                      args=(self.random.choice(choice), f"c{self.number:02d}r{count:03d}"))
            stream.start()
            self.streams.append(stream)
            time.sleep(INTERVAL_SECONDS * self.random.uniform(0.8, 1.2))

    def stream(self, address: str, request_id: str) -> None:
        ip, port = address.rsplit(":", 1)
        entry = {"id": request_id, "to": address, "sent": time.monotonic(), "end": None, "events": 0, "status": 0,
                 "complete": False, "problem": ""}
        connection = http.client.HTTPConnection(ip, int(port), timeout=TIME_LIMIT_MS / 1000)
        try:
            connection.connect()
        except OSError:
            self.failed.add(address)
            return
        self.sent.append(entry)
        try:
            connection.request("POST", f"/talks/{request_id}", b"prompt", {
                "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": request_id,
                "X-Deadline-Ms": str(TIME_LIMIT_MS), "Connection": "close"})
            response = connection.getresponse()
            entry["status"] = response.status
            text = b""
            while part := response.read1():
                text += part
                entry["events"] = text.count(b"\n\n")
            entry["complete"] = True
        except (OSError, http.client.HTTPException) as error:
            entry["problem"] = f"{type(error).__name__}: {error}"
            self.failed.add(address)
        finally:
            entry["end"] = time.monotonic()
            connection.close()


def play(record: Record):
    world = World(record, nodes=3, engines=2, plains=1)
    stop, sent = threading.Event(), []
    try:
        record(f"{len(world.nodes)} nodes ready, lease at {world.holder().name}")
        clients = [Client(number, world, stop, sent) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(WARM_UP_SECONDS)
        node = next(node for node in world.nodes if node is not world.holder())
        address = f"{node.ip}:{node.ports['front']}"
        began = time.monotonic()
        if TROUBLE:
            record(f"platform: SIGTERM to {node.name}")
            node.signal(signal.SIGTERM)
        ended = None
        while time.monotonic() - began < GRACE:
            if ended is None and not node.running():
                ended = time.monotonic() - began
                record(f"{node.name} has ended {ended:.2f} s after the SIGTERM, exit code {node.popen.returncode}")
            time.sleep(0.02)
        if TROUBLE and node.running():
            record("platform: SIGKILL after grace_s")
            node.kill()
        time.sleep(2)
        stop.set()
        for client in clients:
            client.join(2)
        for stream in [stream for client in clients for stream in client.streams]:
            stream.join(TIME_LIMIT_MS / 1000 + 1)
        passed_on = {run["id"] for engine in world.engines for run in engine.requests}
        lost = []
        for entry in sorted(sent, key=lambda one: one["sent"]):
            since = entry["sent"] - began
            mark = "complete" if entry["complete"] else "NOT COMPLETE"
            record(f"  {entry['id']} to {entry['to']} sent {since:+.2f} s ended {entry['end'] - began:+.2f} s "
                   f"status={entry['status']} events={entry['events']} passed_on={entry['id'] in passed_on} {mark} "
                   f"{entry['problem']}")
            in_time = entry["end"] - entry["sent"] < TIME_LIMIT_MS / 1000
            if (entry["to"] == address and not entry["complete"] and entry["id"] in passed_on and in_time
                    and LATE_SEND_SECONDS < since < GRACE + 1):
                lost.append(entry)
        record(f"{len(sent)} streams, {sum(entry['to'] == address for entry in sent)} of them at {node.name}")
        if lost:
            return (f"LOST: {len(lost)} streams were sent over {LATE_SEND_SECONDS} s after the SIGTERM, passed on to a "
                    f"worker that was at work, and cut off when the process ended")
        return None
    finally:
        stop.set()
        world.close()


run_case(str(HERE), play)
