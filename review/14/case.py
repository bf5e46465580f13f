"""A machine that is stopped as planned takes requests that it cannot finish: a server runs them, and the caller's
connection is closed without an answer."""

import asyncio
import http.client
import pathlib
import signal
import threading
import time

from platformworld.httpd import Answer

from deployment import HOST, KEY, TROUBLE, Deployment, play

GRACE_SECONDS = 8
#: Callers keep the directory's answer for three times its 2 s at most.
CALLERS, CALLING_SECONDS = 6, 5.9
SHORT_WORK, LONG_WORK = 0.15, 5.0
DEADLINE_MS = 9000
#: Seconds after the SIGTERM; the rule excuses requests that are sent until 3 s after it.
LONG_AT = (3.2, 3.4, 3.6, 3.8)


class Desk(Deployment):
    """Orders may run once at most; some of them take longer than others."""

    def prepare(self) -> None:
        for server in self.plains:
            server.ends = {}
            server.serve = self.serve_at(server)

    def serve_at(self, server):
        async def serve(request) -> Answer:
            name = request.headers.get("x-request-id", "")
            server.requests.append({"id": name, "at": time.monotonic()})
            await asyncio.sleep(LONG_WORK if name.startswith("long") else SHORT_WORK)
            server.ends[name] = time.monotonic()
            return Answer(200, server.stamp(request), b"confirmed")
        return serve


def order(machine, name: str, connection=None) -> str:
    """One order; its status, or how its connection ended."""
    connection = connection or http.client.HTTPConnection(machine.ip, machine.ports["front"], timeout=12)
    try:
        connection.request("POST", "/once/1", b"mats", {
            "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS)})
    except OSError as problem:
        return f"not sent: {type(problem).__name__}"
    try:
        answer = connection.getresponse()
        answer.read()
        return str(answer.status)
    except (OSError, http.client.HTTPException) as problem:
        return f"no answer: {type(problem).__name__}"
    finally:
        connection.close()


def case(record) -> bool:
    world = Desk(nodes=3, engines=1, plains=3)
    machine = world.nodes[0]
    stopped: list[float] = []

    def call_steadily(caller: int) -> None:
        number = 0
        while not stopped or time.monotonic() < stopped[0] + CALLING_SECONDS:
            outcome = order(machine, f"short{caller}.{number}")
            number += 1
            if outcome != "200":  # Callers go to another machine then.
                break
        record.note(f"caller {caller} has sent {number} short orders, the last one: {outcome}")

    callers = [threading.Thread(target=call_steadily, args=(caller,)) for caller in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(3)
    # Connections that are open when the stop begins.
    connections = []
    for _ in LONG_AT:
        connections.append(http.client.HTTPConnection(machine.ip, machine.ports["front"], timeout=12))
        connections[-1].connect()
    stopped.append(time.monotonic())
    if TROUBLE:
        machine.signal(signal.SIGTERM)
        record.note(f"SIGTERM to {machine.name}, grace_s is {GRACE_SECONDS}")
    outcomes: dict[str, str] = {}

    def order_long(number: int) -> None:
        name = f"long{number}"
        sent = time.monotonic() - stopped[0]
        outcomes[name] = order(machine, name, connections[number])
        record.note(f"{name}: sent {sent:.2f} s after the stop began, ended {time.monotonic() - stopped[0]:.2f} s "
                    f"after it: {outcomes[name]}")

    longs = []
    for number, at in enumerate(LONG_AT):
        time.sleep(max(0.0, stopped[0] + at - time.monotonic()))
        longs.append(threading.Thread(target=order_long, args=(number,)))
        longs[-1].start()
    for thread in longs + callers:
        thread.join()
    if TROUBLE:
        machine.popen.wait(GRACE_SECONDS)
        record.note(f"{machine.name} ended {time.monotonic() - stopped[0]:.1f} s after the stop began, "
                    f"status {machine.popen.returncode}")
    time.sleep(LONG_WORK)
    held = True
    for name, outcome in outcomes.items():
        ran = [(server.name, run["at"] - stopped[0]) for server in world.plains for run in server.requests
               if run["id"] == name]
        for server, at in ran:
            record.note(f"{name}: {server} began it {at:.2f} s after the stop began")
        if ran and outcome.startswith("no answer"):
            record.note(f"LOST: {name} was passed on to {ran[0][0]} and its connection ended without an answer")
            held = False
    world.close()
    return held


play(str(pathlib.Path(__file__).parent), case)
