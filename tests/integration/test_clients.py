"""Crowds of clients that keep to no limit, against real processes: each stays alive, within its memory and descriptors."""

from __future__ import annotations

import os
import socket
import threading
import unittest

from harness.case import ClusterCase
from platformworld.world import HOST, KEY, Node, World, eventually

MEBIBYTE = 1 << 20
#: Of one request body in the crowds; the pages' own limit is eight times as much.
LARGEST_BODY = 4 * MEBIBYTE
#: Memory of the node's machine in the crowds, and of the gateway's process, in MB.
NODE_MEMORY_MB, GATEWAY_MEMORY_MB = 64, 128
#: Descriptors of the node's machine in the crowds; the platform keeps 200 of them for files.
NODE_DESCRIPTORS, FILE_DESCRIPTORS = 600, 200
#: The smallest machine of the users' deployments, and the largest body that a client may send to it.
SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS, PAGES_LARGEST_BODY = 120, 3075, 33554432
#: Clients of a crowd, by process; one in FINISHERS sends its body to the end.
NODE_CROWD, GATEWAY_CROWD, FINISHERS = 40, 60, 8
#: Connections of the crowd that only connects, and begins a request or not.
CONNECTIONS = 500
PIECE, LARGE_CHUNK, SMALL_CHUNK, FAR = 65536, 262144, 1, 20
#: Small chunks cost the sender six times their bytes.
SMALL_CHUNKS_BYTES = 262144
SEND_SECONDS, ANSWER_SECONDS, CROWD_SECONDS = 15, 30, 90


def announced(length: int, piece: int, sent: int | None = None):
    """Parts of a body that is announced with a length."""
    head = f"Content-Length: {length}\r\n\r\n".encode()
    sent = length if sent is None else sent
    return [head], (b"x" * min(piece, sent - start) for start in range(0, sent, piece))


def chunked(length: int, chunk: int, ended: bool):
    """Parts of a body in chunks; one that does not end stops before its last byte."""
    def parts():
        many = max(1, PIECE // (chunk + 8))
        one = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
        for start in range(0, length // chunk, many):
            yield one * min(many, length // chunk - start)
        yield b"0\r\n\r\n" if ended else b"2\r\nx"
    return [b"Transfer-Encoding: chunked\r\n\r\n"], parts()


class Crowd:
    """Clients on connections of their own that stay open until close()."""

    def __init__(self, address: tuple[str, int], head: str) -> None:
        self.address, self.head = address, head.encode()
        self.sockets: list[socket.socket] = []
        self.threads: list[threading.Thread] = []

    def add(self, body) -> None:
        thread = threading.Thread(target=self.send, args=(body,), daemon=True)
        self.threads.append(thread)
        thread.start()

    def send(self, body) -> None:
        try:
            connection = socket.create_connection(self.address, timeout=SEND_SECONDS)
            self.sockets.append(connection)
            begin, rest = body
            connection.sendall(self.head + b"".join(begin))
            for part in rest:
                connection.sendall(part)
        except OSError:
            pass  # Refused or cut off, which is allowed.

    def connect(self, count: int) -> None:
        """Every other one begins a request."""
        for number in range(count):
            try:
                connection = socket.create_connection(self.address, timeout=SEND_SECONDS)
                self.sockets.append(connection)
                if number % 2:
                    connection.sendall(self.head)
            except OSError:
                pass

    def wait(self) -> None:
        for thread in self.threads:
            thread.join(CROWD_SECONDS)

    def close(self) -> None:
        for connection in self.sockets:
            connection.close()


def peak_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) * 1024 / 1e6


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


class Crowds:
    """The same crowds for each process; subclasses say which and what it may use."""

    def crowd(self) -> Crowd:
        raise NotImplementedError

    def check(self, crowd: Crowd) -> None:
        """The crowd is still connected."""
        raise NotImplementedError

    def play(self, body_of) -> None:
        crowd = self.crowd()
        self.addCleanup(crowd.close)
        for number in range(self.CROWD):
            crowd.add(body_of(number))
        crowd.wait()
        self.check(crowd)

    def test_large_bodies_that_stop_short(self):
        self.play(lambda number: announced(LARGEST_BODY, LARGEST_BODY,
                                           LARGEST_BODY - (number % FINISHERS != 0)))

    def test_large_bodies_in_pieces_that_stop_short(self):
        self.play(lambda number: announced(LARGEST_BODY, PIECE, LARGEST_BODY - (number % FINISHERS != 0)))

    def test_large_chunks_that_stop_short(self):
        self.play(lambda number: chunked(LARGEST_BODY - 2, LARGE_CHUNK, number % FINISHERS == 0))

    def test_small_chunks_that_stop_short(self):
        self.play(lambda number: chunked(SMALL_CHUNKS_BYTES, SMALL_CHUNK, number % FINISHERS == 0))

    def test_bodies_far_over_the_limit_announced(self):
        self.play(lambda number: announced(FAR * LARGEST_BODY, PIECE))

    def test_bodies_far_over_the_limit_just_sent(self):
        self.play(lambda number: chunked(FAR * LARGEST_BODY, LARGE_CHUNK, True))


class SmallNode(Node):
    """A machine with the memory and the descriptors that its world says."""

    def settings(self) -> dict:
        settings = super().settings()
        settings["limits"] |= {"memory_mb": self.world.memory_mb, "max_fds": self.world.max_fds}
        return settings


class SmallWorld(World):
    def __init__(self, memory_mb: int, max_fds: int, largest_body: int) -> None:
        self.memory_mb, self.max_fds, self.largest_body = memory_mb, max_fds, largest_body
        super().__init__(nodes=1)

    def before_start(self) -> None:
        self.nodes = [SmallNode(self, number) for number in range(len(self.nodes))]
        self.configure(limits={"idle_timeout_ms": 15000, "max_body_bytes": self.largest_body})
        for server in self.plains:
            server.echoes = False


class NodeCase(unittest.TestCase):
    MEMORY_MB, DESCRIPTORS, LARGEST = NODE_MEMORY_MB, NODE_DESCRIPTORS, LARGEST_BODY

    def setUp(self):
        self.world = SmallWorld(self.MEMORY_MB, self.DESCRIPTORS, self.LARGEST)
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]

    def check_process(self):
        self.assertTrue(self.node.running(), "the process ended")
        peak, opened = peak_mb(self.node.popen.pid), descriptors(self.node.popen.pid)
        print(f"peak {peak:.0f} MB of {self.MEMORY_MB}, {opened} descriptors of {self.DESCRIPTORS}")
        self.assertLess(peak, self.MEMORY_MB)
        self.assertLess(opened, self.DESCRIPTORS - FILE_DESCRIPTORS)

    def ordinary(self) -> bool:
        try:
            return self.node.call("POST", "/orders/1", b"ordinary")[0] == 200
        except OSError:
            return False


class NodeCrowds(Crowds, NodeCase):
    CROWD = NODE_CROWD

    def crowd(self) -> Crowd:
        return Crowd((self.node.ip, self.node.ports["front"]),
                     f"POST /orders/2 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n")

    def check(self, crowd: Crowd) -> None:
        self.check_process()
        eventually(self.ordinary, ANSWER_SECONDS, "an ordinary request is answered")
        self.check_process()

    def test_connections_that_stay_open(self):
        crowd = self.crowd()
        self.addCleanup(crowd.close)
        crowd.connect(CONNECTIONS)
        self.check(crowd)


class SmallestMachine(NodeCase):
    MEMORY_MB, DESCRIPTORS, LARGEST = SMALLEST_MEMORY_MB, SMALLEST_DESCRIPTORS, PAGES_LARGEST_BODY

    def test_largest_body_is_served_in_calm(self):
        self.assertEqual(self.node.call("POST", "/orders/1", b"x" * PAGES_LARGEST_BODY, timeout=ANSWER_SECONDS)[0], 200)
        self.check_process()

    def test_largest_chunked_body_is_served_in_calm(self):
        status = self.node.call("POST", "/orders/1", (b"x" * PIECE for _ in range(PAGES_LARGEST_BODY // PIECE)),
                                timeout=ANSWER_SECONDS)[0]
        self.assertEqual(status, 200)
        self.check_process()


class GatewayCrowds(Crowds, ClusterCase):
    CROWD = GATEWAY_CROWD
    options = {"vms": 1, "engines": 1, "plains": 1,
               "role_settings": {"gateway": {"limits": {"body_bytes": LARGEST_BODY}}}}

    def crowd(self) -> Crowd:
        ip, port = self.cluster.http_endpoint("gateway", 0).split(":")
        return Crowd((ip, int(port)),
                     f"POST /orders HTTP/1.1\r\nHost: {ip}\r\nAuthorization: Bearer {self.key}\r\n")

    def check_process(self):
        for name, process in self.cluster.processes.items():
            self.assertTrue(process.alive(), f"{name} ended")
        gateway = self.cluster.processes["gateway-0"]
        peak, opened = peak_mb(gateway.popen.pid), descriptors(gateway.popen.pid)
        print(f"peak {peak:.0f} MB of {GATEWAY_MEMORY_MB}, {opened} descriptors")
        self.assertLess(peak, GATEWAY_MEMORY_MB)
        self.assertLess(opened, NODE_DESCRIPTORS)

    def ordinary(self) -> bool:
        try:
            return self.order("ordinary").status == 200
        except OSError:
            return False

    def check(self, crowd: Crowd) -> None:
        self.check_process()
        eventually(self.ordinary, ANSWER_SECONDS, "an ordinary request is answered")
        self.check_process()


if __name__ == "__main__":
    unittest.main()
