"""Servers of two software versions in one service: no stream and no text holds events of both.

What two versions write does not fit together, and servers do not check it. Each test brings about one way in which a
stream could go on at the wrong version: a lost engine, a new holder of the lease, texts that are carried to a later
batch, a version that leaves, a client that goes to another machine, and the loss of all machines."""

import concurrent.futures
import socket
import time
import unittest

from platformworld.paths import PathsWorld
from platformworld.streamclient import StreamClient
from platformworld.texts import software_of
from platformworld.world import HOST, KEY, World, eventually

OLD, NEW = "1.0", "2.0"
EVENTS, PACE = 16, 0.1
#: Texts with 12 events are kept within 0.8 s; these have 25 events by then.
LONG_EVENTS, LONG_PACE, KEPT_AFTER = 40, 0.08, 2.0
ITEMS = 16
CLIENTS = 24
#: A machine sends nothing to a server whose response was lost for less than this.
PAUSE_SECONDS = 0.7
#: Clients of the users' pages wait that long for the first byte of a machine that has not read them.
PROMPT_SECONDS = 1.0
#: Streams are taken up for this long after they began.
TAKE_UP_SECONDS = 60


class SoftwareCase(unittest.TestCase):
    ENGINES = {OLD: 2, NEW: 2}
    WORLD = World

    def setUp(self):
        self.world = self.WORLD(engines=0)
        self.addCleanup(self.world.close)
        for software, count in self.engines_at_start().items():
            for _ in range(count):
                self.add_engine(software)
        for engine in self.world.engines:
            self.wait_known(engine)

    def engines_at_start(self):
        return self.ENGINES

    def add_engine(self, software):
        first = not self.world.engines
        engine = self.world.add_engine(software)
        if first:
            engine.events, engine.pace = EVENTS, PACE
        return engine

    def wait_known(self, engine):
        for node in self.world.nodes:
            if not node.running():
                continue
            eventually(lambda node=node: any(line["server"] == engine.name for line in node.events("server.changed")),
                       5, f"{engine.name} known at {node.name}")

    def engines_of(self, software):
        return [engine for engine in self.world.engines if engine.software == software]

    def restart_all(self):
        for node in self.world.nodes:
            node.kill()
        for node in self.world.nodes:
            node.start()
        for node in self.world.nodes:
            eventually(node.ready, 10, f"{node.name} ready")

    def exchange_software(self):
        """One server of each version comes back under its id with the other one, at once."""
        for engine in [self.engines_of(OLD)[0], self.engines_of(NEW)[0]]:
            engine.stop()
            engine.become(engine.name, NEW if engine.software == OLD else OLD)

    def leave(self, software):
        for engine in self.engines_of(software):
            engine.leave()
            engine.stop()


class Items(SoftwareCase):
    def submit(self, batch="b1"):
        self.assertEqual(self.world.submit(self.world.nodes[0], batch, ITEMS), 202)

    def submit_long(self):
        """Returns when the texts so far are kept in the store."""
        for engine in self.world.engines:
            engine.events, engine.pace = LONG_EVENTS, LONG_PACE
        self.submit()
        time.sleep(KEPT_AFTER)

    def add_engines(self):
        """Items that are placed once more do not find the engines as they were."""
        for software in (NEW, OLD):
            self.wait_known(self.add_engine(software))

    def resumed_runs(self):
        return sum(run["from"] > 0 for engine in self.world.engines for run in engine.requests)

    def check_texts(self, batch="b1"):
        results = self.world.wait_results(self.world.nodes[1], batch, ITEMS, seconds=25)
        for result in results:
            self.assertEqual(result["state"], "completed")
            lines = result["text"].split("\n")
            self.assertEqual(len(lines), self.world.engines[0].events)
            self.assertEqual(len(software_of(lines)), 1, f"{result['id']} is joined: {lines}")

    def lose_an_engine_of_each(self):
        for software in (OLD, NEW):
            engine = self.engines_of(software)[0]
            engine.stop()
            engine.restart()

    def test_items_of_lost_engines_go_on_at_their_version(self):
        self.submit()
        time.sleep(0.6)
        self.lose_an_engine_of_each()
        self.check_texts()
        self.assertGreater(self.resumed_runs(), 0)

    def test_items_of_a_version_that_left_begin_again(self):
        self.submit()
        time.sleep(0.6)
        self.leave(OLD)
        self.check_texts()

    def test_new_holder_resumes_kept_texts_at_their_version(self):
        self.submit_long()
        holder = self.world.holder()
        holder.kill()
        self.add_engines()
        holder.start()
        self.check_texts()
        self.assertGreater(self.resumed_runs(), 0)

    def test_loss_of_all_machines_joins_no_texts_of_a_version_that_left_meanwhile(self):
        self.submit_long()
        for node in self.world.nodes:
            node.kill()
        self.leave(OLD)
        for node in self.world.nodes:
            node.start()
        self.check_texts()

    def test_items_of_servers_that_come_back_with_other_software_are_not_joined(self):
        self.submit()
        time.sleep(0.6)
        self.exchange_software()
        self.check_texts()

    def test_items_that_come_again_go_on_at_their_version(self):
        self.submit("b1")
        time.sleep(0.8)
        self.assertEqual(self.world.nodes[0].call("DELETE", "/v1/lots/b1")[0], 200)
        self.add_engines()
        self.submit("b2")
        self.check_texts("b2")
        self.assertGreater(self.resumed_runs(), 0)


class Streams(SoftwareCase):
    def engines_at_start(self):
        return {OLD: 3} if self._testMethodName.endswith("before_the_new_version_came") else self.ENGINES

    def begin(self, events=3, at_least=0.9):
        """Clients whose stream has begun and then broken off."""
        clients = [StreamClient(f"talk{number}") for number in range(CLIENTS)]

        def start(number):
            client = clients[number]
            if client.open(self.world.nodes[number % len(self.world.nodes)]) == 200:
                client.read(events)
            client.close()
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            list(pool.map(start, range(CLIENTS)))
        begun = [client for client in clients if client.events]
        self.assertGreaterEqual(len(begun), CLIENTS * at_least)
        return begun

    def take_up(self, clients, **options):
        """Each client takes its stream up, loses it after some events, and takes it up again and to its end, each time
        at another machine. Returns who got to the end."""
        def again(number):
            client = clients[number]
            nodes = self.world.nodes
            for turn, events in ((1, 3), (2, EVENTS)):
                if client.open(nodes[(number + turn) % len(nodes)], **options) != 200:
                    return False
                if not client.read(min(events, EVENTS - len(client.events))):
                    return False
            return True
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool:
            went_on = [client for client, done in zip(clients, pool.map(again, range(len(clients)))) if done]
        for client in clients:
            self.assertFalse(client.joined, f"joined: {client.events}")
            self.assertTrue(client.in_order, client.events)
        return went_on

    def check_not_lost(self, clients, went_on):
        # LOST: half of the share of new streams that begin; all began here.
        self.assertGreaterEqual(len(went_on), len(clients) / 2)

    def test_take_up_at_another_machine_goes_on_at_its_version(self):
        clients = self.begin()
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_of_streams_that_sound_servers_broke_off(self):
        # Each machine loses some responses, and takes the servers for lost for a moment.
        for engine in self.world.engines:
            engine.lose_next = 2
        self.begin(at_least=0)
        for engine in self.world.engines:
            engine.lose_next = 0
        time.sleep(PAUSE_SECONDS)
        clients = self.begin(at_least=0.5)
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_right_after_a_server_came_back_with_other_software(self):
        clients = self.begin()
        self.exchange_software()
        # Machines read the list of servers each 0.4 s.
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_after_the_loss_of_all_machines(self):
        clients = self.begin()
        self.restart_all()
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_of_a_stream_from_before_the_new_version_came(self):
        clients = self.begin()
        for _ in range(3):
            self.wait_known(self.add_engine(NEW))
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_after_the_loss_of_all_machines_of_a_stream_from_before_the_new_version_came(self):
        clients = self.begin()
        for _ in range(3):
            self.wait_known(self.add_engine(NEW))
        self.restart_all()
        self.check_not_lost(clients, self.take_up(clients))

    def test_take_up_of_a_version_that_left_is_refused_at_once(self):
        clients = self.begin()
        old = [client for client in clients if software_of(client.events) == {OLD}]
        self.leave(OLD)
        time.sleep(1)
        began = time.monotonic()
        went_on = self.take_up(old)
        self.assertLess(time.monotonic() - began, PROMPT_SECONDS)
        self.assertEqual(went_on, [])
        self.assertEqual({client.status for client in old}, {503})

    def test_take_up_after_the_version_left_and_all_machines_were_lost(self):
        clients = self.begin()
        for node in self.world.nodes:
            node.kill()
        self.leave(OLD)
        self.restart_all()
        went_on = self.take_up(clients)
        new = [client for client in clients if software_of(client.events[:1]) == {NEW}]
        self.check_not_lost(new, went_on)

    def test_take_up_that_does_not_name_its_beginning_is_not_joined(self):
        clients = self.begin()
        self.take_up(clients, name_beginning=False)

    def test_stream_that_breaks_off_shows_no_other_answer(self):
        """Other servers answer with errors by then. The client sees neither these nor a complete stream."""
        for number in range(8):
            node = self.world.nodes[number % len(self.world.nodes)]
            for engine in self.world.engines:
                engine.fail_next = engine.crash_next = 0
            with socket.create_connection((node.ip, node.ports["front"]), 5) as connection:
                connection.sendall(f"POST /talks/1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                                   f"X-Request-Id: cut-{number}\r\nX-Deadline-Ms: 10000\r\n"
                                   "Content-Length: 6\r\n\r\nprompt".encode())
                received = b""
                while b"id: 3\n" not in received:
                    part = connection.recv(65536)
                    self.assertTrue(part, received)
                    received += part
                for engine in self.world.engines:
                    engine.crash_next = engine.running
                    engine.fail_next = 5
                try:
                    while part := connection.recv(65536):
                        received += part
                except ConnectionResetError:
                    pass
            self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
            self.assertEqual(received.count(b"HTTP/1.1"), 1, received)
            self.assertFalse(received.endswith(b"\r\n0\r\n\r\n"), received)
            numbers = [int(line.removeprefix(b"id: ")) for line in received.split(b"\n") if line.startswith(b"id: ")]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)))

    def test_take_up_while_the_store_is_away_is_not_joined(self):
        clients = self.begin()
        self.world.store.mode = "silent"
        self.take_up(clients)
        # What is not known while the store is away may be known later; nobody is told to give up.
        for client in clients:
            if client.status == 503:
                self.assertGreater(float(client.retry_after), 0)
        self.world.store.mode = "up"
        new = self.begin()
        self.check_not_lost(new, self.take_up(new))


class MachineBehind(SoftwareCase):
    ENGINES = {OLD: 3}
    WORLD = PathsWorld

    def test_streams_of_a_version_that_the_machine_has_not_seen_are_not_joined(self):
        """It had seen one version only for as long as streams are taken up, and took this for all that there was."""
        time.sleep(TAKE_UP_SECONDS + 3)
        behind, others = self.world.nodes[2], self.world.nodes[:2]
        self.world.cut.add(behind.name)
        for _ in range(3):
            engine = self.add_engine(NEW)
            for node in others:
                eventually(lambda: any(line["server"] == engine.name for line in node.events("server.changed")), 5,
                           f"{engine.name} known at {node.name}")
        clients = [StreamClient(f"talk{number}") for number in range(CLIENTS)]
        for number, client in enumerate(clients):
            self.assertEqual(client.open(others[number % 2]), 200)
            self.assertTrue(client.read(3))
            client.close()
        self.assertEqual({version for client in clients for version in software_of(client.events)}, {OLD, NEW})
        for number, client in enumerate(clients):
            if client.open(behind, name_beginning=number % 4 < 2) == 200:
                client.read(2)
            client.close()
            self.assertFalse(client.joined, f"joined: {client.events}")
            self.assertTrue(client.in_order, client.events)
        self.world.cut.clear()
        eventually(lambda: clients[0].open(behind) == 200, 5, "the machine takes streams up again")
        went_on = [client for client in clients if client.open(behind) == 200 and client.read(2)]
        self.assertGreaterEqual(len(went_on), CLIENTS / 2)
        for client in clients:
            self.assertFalse(client.joined, f"joined: {client.events}")


if __name__ == "__main__":
    unittest.main()
