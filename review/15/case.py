"""What is no answer of a server is passed on as the success of a stream, and a second answer follows on the caller's
connection in the middle of the first."""

import pathlib
import re
import socket

from platformworld.httpd import Spoiled

from deployment import HOST, KEY, TROUBLE, Deployment, play

#: Requests of each kind; the answer to one of them is faulty, which is 0.025 (garble on the sheet's site: 0.02 to 0.03).
REQUESTS, FAULTY = 40, 20
#: Bytes that are no answer of the server: they have neither of its headers.
PAGE = b"<html><body>It works!</body></html>"
NO_ANSWER = (b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: %d\r\n\r\n" % len(PAGE)) + PAGE


class Caller:
    """Sends one request on a connection that stays open, and reads for as long as bytes come."""

    def __init__(self, machine, record) -> None:
        self.machine, self.record = machine, record

    def call(self, path: str, request: str) -> bytes:
        connection = socket.create_connection((self.machine.ip, self.machine.ports["front"]), timeout=0.6)
        connection.sendall((f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                            f"X-Request-Id: {request}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n").encode())
        received = b""
        try:
            while part := connection.recv(65536):
                received += part
        except OSError:
            pass
        connection.close()
        return received


def heads(received: bytes) -> list[bytes]:
    """The heads of all answers on the connection."""
    return [received[match.start():].split(b"\r\n\r\n", 1)[0] for match in re.finditer(rb"HTTP/1\.[01] \d{3} ", received)]


def case(record) -> bool:
    world = Deployment(nodes=2, engines=2, plains=2)
    asked: dict[str, int] = {}

    def spoil(request, answer, body):
        name = request.headers.get("x-request-id", "")
        spoils = TROUBLE and name.startswith(("stream", "order")) and int(name[-2:]) == FAULTY
        if not spoils or asked.setdefault(name, 0):
            return None
        asked[name] += 1
        record.note(f"server sends for {name}: {NO_ANSWER!r}")
        return Spoiled(NO_ANSWER)

    for server in world.engines + world.plains:
        server.server.spoil = spoil
    caller, held = Caller(world.nodes[0], record), True
    for kind, path in (("order", "/orders/1"), ("stream", "/talks/1")):
        for number in range(REQUESTS):
            name = f"{kind}{number:02}"
            received = caller.call(path, name)
            answers = heads(received)
            statuses = [head.split(b" ", 2)[1].decode() for head in answers]
            unstamped = [head for head in answers if head.split(b" ", 2)[1].startswith(b"2")
                         and b"x-server-stamp:" not in head.lower()]
            if unstamped or len(answers) != 1:
                record.note(f"caller of {name} receives: {received!r}")
            if unstamped:
                record.note(f"MIXED: {name} got a success without X-Server-Stamp, with a body that no server sent")
            if len(answers) > 1:
                record.note(f"MIXED: {name} got {len(answers)} answers, {statuses}, on a connection with one request")
            held = held and not unstamped and len(answers) == 1
        record.note(f"{REQUESTS} requests of the kind {kind} are done")
    world.close()
    return held


play(str(pathlib.Path(__file__).parent), case)
