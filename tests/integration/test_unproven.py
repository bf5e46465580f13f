"""What bears no proof that it is a server's answer to the request reaches no caller as an answer, and a connection with
one request gets one answer at most."""

import itertools
import re
import socket
import time
import unittest

from platformworld.httpd import Spoiled
from platformworld.streamclient import StreamClient
from platformworld.texts import parse_event
from platformworld.world import HOST, KEY, World, eventually

NUMBERS = itertools.count()
PAGE = b"<html><body>It works!</body></html>"
EVENTS = b"id: 1\ndata: forged\n\nid: 2\ndata: forged\n\n"
#: A caller's wait for an answer, and for more of it.
ANSWER_SECONDS = 4.0
QUIET_SECONDS = 0.6
ITEMS = 12


def with_length(status: str, body: bytes, *lines: str) -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


def in_chunks(status: str, body: bytes, *lines: str, end: bytes = b"0\r\n\r\n") -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status}", *lines, "Transfer-Encoding: chunked"])
    return head.encode() + b"\r\n\r\n%x\r\n" % len(body) + body + b"\r\n" + end


#: What comes in place of an answer: bytes, and whether the connection ends behind them.
FORGED = {
    "page": (with_length("200 OK", PAGE, "Content-Type: text/html"), False),
    "page in chunks": (in_chunks("200 OK", PAGE), False),
    "page without an end": (in_chunks("200 OK", PAGE, end=b""), False),
    "page that is cut": (with_length("200 OK", PAGE)[:-4], True),
    "events": (in_chunks("200 OK", EVENTS, "Content-Type: text/event-stream", "X-Weight-Versions: 1"), False),
    "events of another request": (in_chunks("200 OK", EVENTS, "X-Request-Id: another", "X-Server-Stamp: s.1"), True),
    "created": (with_length("201 Created", PAGE), False),
    "nothing": (b"HTTP/1.1 204 No Content\r\n\r\n", False),
    "moved": (with_length("302 Found", PAGE, "Location: /"), False),
    "not found": (with_length("404 Not Found", PAGE), False),
    "gateway": (with_length("502 Bad Gateway", PAGE), False),
    "two pages": (with_length("200 OK", PAGE) * 2, False),
}


class Unproven(unittest.TestCase):
    def setUp(self):
        self.world = World(scorers=2 if "scores" in self._testMethodName else 0)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def spoil(self, servers, form, concerns=lambda request: True):
        sent, closes = FORGED[form]
        for server in servers:
            server.server.spoil = lambda request, answer, body: Spoiled(sent, closes) if concerns(request) else None

    def mend(self):
        for server in [*self.world.plains, *self.world.engines, *self.world.scorers]:
            server.server.spoil = None

    def call(self, path: str, *lines: str) -> bytes:
        """All that comes on a connection with one request."""
        connection = socket.create_connection((self.node.ip, self.node.ports["front"]), timeout=ANSWER_SECONDS)
        head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}",
                f"X-Request-Id: unproven{next(NUMBERS)}", "X-Deadline-Ms: 3000", "Content-Length: 0", *lines]
        connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        received = b""
        try:
            while part := connection.recv(65536):
                received += part
                connection.settimeout(QUIET_SECONDS)
        except OSError:
            pass
        connection.close()
        return received

    def check_answer(self, received: bytes, form: str):
        """One head at most, no success, and nothing of what was forged."""
        statuses = re.findall(rb"HTTP/1\.[01] (\d{3}) ", received)
        self.assertLessEqual(len(statuses), 1, received)
        self.assertIn(statuses, ([], [b"502"], [b"503"], [b"504"]), received)
        self.assertNotIn(b"It works!", received)
        self.assertNotIn(b"forged", received)
        self.assertTrue(received or form == "page without an end", "no answer")

    def check_path(self, servers, path, *lines):
        for form in FORGED:
            with self.subTest(form=form):
                self.spoil(servers, form)
                began = time.monotonic()
                received = self.call(path, *lines)
                print(path, form, received[:40], f"{time.monotonic() - began:.2f} s")
                self.check_answer(received, form)
                self.mend()
        eventually(lambda: b" 200 " in self.call(path)[:20], 10, "service after the forged answers")

    def test_of_requests(self):
        self.check_path(self.world.plains, "/orders/1")

    def test_of_requests_that_run_once(self):
        self.check_path(self.world.plains, "/once/1")

    def test_of_streams(self):
        self.check_path(self.world.engines, "/talks/1")

    def test_of_resumed_streams(self):
        client = StreamClient("resumed")
        self.assertEqual(client.open(self.node), 200)
        self.assertTrue(client.read(2))
        client.close()
        self.check_path(self.world.engines, "/talks/1", "Last-Event-Id: 2", f"Resumes: {client.first_request}")

    def test_of_items(self):
        for form in FORGED:
            with self.subTest(form=form):
                spoiled = set()

                def concerns(request):
                    name = request.headers.get("x-request-id", "")
                    if not request.path.startswith("/steps/") or name in spoiled:
                        return False
                    spoiled.add(name)
                    return True
                self.spoil(self.world.engines, form, concerns)
                batch, first = f"b{next(NUMBERS)}", next(NUMBERS) * ITEMS
                self.assertEqual(self.world.submit(self.node, batch, ITEMS, first=first), 202)
                for result in self.world.wait_results(self.node, batch, ITEMS):
                    self.assertEqual(result["state"], "completed")
                    events = [parse_event(line) for line in result["text"].split("\n")]
                    self.assertEqual([(event.item, event.number) for event in events],
                                     [(result["id"], number) for number in range(1, 7)])
                self.assertEqual(len(spoiled), ITEMS)
                self.mend()

    def test_of_scores(self):
        for form in FORGED:
            with self.subTest(form=form):
                spoiled = set()

                def concerns(request):
                    name = request.headers.get("x-request-id", "")
                    if name in spoiled:
                        return False
                    spoiled.add(name)
                    return True
                self.spoil(self.world.scorers, form, concerns)
                batch, first = f"b{next(NUMBERS)}", next(NUMBERS) * ITEMS
                self.assertEqual(self.world.submit(self.node, batch, ITEMS, first=first), 202)
                stamps = {call["stamp"] for scorer in self.world.scorers for call in scorer.requests}
                for result in self.world.wait_results(self.node, batch, ITEMS):
                    self.assertEqual(result["state"], "completed")
                    stamps = {call["stamp"] for scorer in self.world.scorers for call in scorer.requests}
                    self.assertIn(result["score"], stamps)
                self.assertEqual(len(spoiled), ITEMS)
                self.mend()


if __name__ == "__main__":
    unittest.main()
