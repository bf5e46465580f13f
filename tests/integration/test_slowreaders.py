"""Callers and servers that read slowly or not at all, while what they are sent is large."""

import http.client
import socket
import threading
import time
import unittest

from platformworld.world import HOST, KEY, World

#: Memory of the smallest machine of the users' deployments.
SMALLEST_MACHINE_MB = 160
MEGABYTE = 1024 * 1024
#: Holding all of them would take more than the memory of the machine.
UNREAD_ANSWERS, ANSWER_BYTES = 60, 4 * MEGABYTE - 64 * 1024
SMALL_WINDOW = 4096
#: Seconds without a byte; less than the 15 s after which an idle connection is closed.
END_BOUND = 10
LARGE_REQUESTS, REQUEST_BYTES = 12, 6 * MEGABYTE


class SlowReaders(unittest.TestCase):
    def setUp(self):
        self.world = World(nodes=1, engines=1, plains=2)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def peak_mb(self) -> float:
        with open(f"/proc/{self.node.popen.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) / 1024

    def ask(self, path: str, body: bytes = b"", version: str = "1.1") -> socket.socket:
        """A caller that sends a request and reads nothing for now."""
        opened = socket.socket()
        self.addCleanup(opened.close)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        opened.settimeout(END_BOUND)
        opened.connect((self.node.ip, self.node.ports["front"]))
        opened.sendall(f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                       f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return opened

    @staticmethod
    def read_all(opened: socket.socket) -> bytes:
        parts = []
        while part := opened.recv(65536):
            parts.append(part)
            if part.endswith(b"\r\n0\r\n\r\n"):
                break
        return b"".join(parts)

    def check_serving(self):
        self.assertTrue(self.node.running())
        self.assertLess(self.peak_mb(), SMALLEST_MACHINE_MB)
        for server in self.world.plains:
            server.answer_bytes = None
        deadline = time.monotonic() + 8
        while self.node.call("POST", "/orders/after", b"small")[:2] != (200, b"done:small"):
            self.assertLess(time.monotonic(), deadline, "ordinary requests are answered again")
            time.sleep(0.05)

    def answer_at_length(self, chunked: bool):
        for server in self.world.plains:
            server.answer_bytes, server.answer_chunked = ANSWER_BYTES, chunked

    def test_callers_that_never_read_answers_of_known_length(self):
        self.answer_at_length(chunked=False)
        for number in range(UNREAD_ANSWERS):
            self.ask(f"/orders/{number}")
        time.sleep(4)
        self.check_serving()

    def test_callers_that_never_read_answers_of_unknown_length(self):
        self.answer_at_length(chunked=True)
        for number in range(UNREAD_ANSWERS):
            self.ask(f"/orders/{number}")
        time.sleep(4)
        self.check_serving()

    def test_caller_that_reads_slowly_gets_the_whole_answer(self):
        for chunked in (False, True):
            self.answer_at_length(chunked)
            opened = self.ask("/orders/slow")
            response = http.client.HTTPResponse(opened)
            response.begin()
            time.sleep(1)
            self.assertEqual(response.status, 200)
            self.assertEqual(len(response.read()), ANSWER_BYTES)

    def test_caller_of_the_older_protocol_gets_the_whole_answer(self):
        self.answer_at_length(chunked=False)
        whole = self.read_all(self.ask("/orders/old", version="1.0"))
        head, body = whole.split(b"\r\n\r\n", 1)
        self.assertTrue(head.startswith(b"HTTP/1.0 200"), head)
        self.assertNotIn(b"chunked", head)
        self.assertEqual(len(body), ANSWER_BYTES)

    def test_answer_that_its_server_breaks_off_does_not_look_complete(self):
        self.answer_at_length(chunked=False)
        for server in self.world.plains:
            server.break_after = ANSWER_BYTES // 2
        response = http.client.HTTPResponse(self.ask("/orders/broken"))
        response.begin()
        if response.status != 200:
            return
        with self.assertRaises((ConnectionError, http.client.IncompleteRead)):
            response.read()

    def test_server_that_reads_slowly_while_requests_are_large(self):
        """Small requests pass; what the server has been sent at any time stays within its share."""
        slow = [StalledServer() for _ in self.world.plains]
        for server, stalled in zip(self.world.plains, slow):
            self.addCleanup(stalled.close)
            server.address = stalled.endpoint
            server.announce()
        time.sleep(1)
        body = b"y" * REQUEST_BYTES
        callers = [threading.Thread(target=self.ask, args=(f"/once/{number}", body), daemon=True)
                   for number in range(LARGE_REQUESTS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(15)
        time.sleep(1)
        most = max(stalled.connections for stalled in slow)
        self.assertLessEqual(most * REQUEST_BYTES, 32 * MEGABYTE)
        for server in self.world.plains:
            server.address = server.server.endpoint
            server.announce()
        time.sleep(1)
        self.check_serving()


class StalledServer:
    """Takes connections and reads nothing from them."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.endpoint = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.opened: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def connections(self) -> int:
        return len(self.opened)

    def accept(self) -> None:
        while True:
            try:
                self.opened.append(self.listener.accept()[0])
            except OSError:
                return

    def close(self) -> None:
        self.listener.close()
        for opened in self.opened:
            opened.close()
