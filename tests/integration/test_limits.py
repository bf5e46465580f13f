"""Backend servers that name a request limit get no more than it allows, from all machines and on all paths together.

Each test brings about one way in which machines could exceed it in sum: many machines that each send a little, one
machine that sends all items, scoring calls beside callers' requests, checks of a weight order, machines that start, and
limits that change."""

import itertools
import threading
import time
import unittest

from platformworld.limits import CONTACT_SECONDS, WINDOW_SECONDS
from platformworld.world import World, eventually

#: Long enough for a full window after the rule holds.
JUDGED_SECONDS = CONTACT_SECONDS + WINDOW_SECONDS + 1


class Limits(unittest.TestCase):
    def setUp(self):
        options = {"test_scoring_calls_beside_requests_keep_the_limit": {"scorers": 2},
                   "test_many_machines_keep_a_small_limit": {"nodes": 9}}
        self.world = World(**options.get(self._testMethodName, {}))
        self.addCleanup(self.world.close)
        self.stopping = threading.Event()
        self.addCleanup(self.stopping.set)
        self.served = 0
        self.numbers = itertools.count()

    def limit(self, servers, per_second):
        for server in servers:
            server.limit_to(per_second)

    def check_limits(self, servers):
        found = [line for server in servers for line in server.limits.violations(server.name)]
        self.assertEqual(found, [])

    def request(self, node):
        try:
            status = node.call("POST", "/orders/1", b"mats", timeout=3,
                               headers={"X-Request-Id": f"order{next(self.numbers)}", "X-Deadline-Ms": "1500"})[0]
        except OSError:
            return
        if status == 200:
            self.served += 1

    def press(self, per_machine=4):
        """Callers that send request after request at all machines."""
        def turns(node):
            while not self.stopping.is_set():
                self.request(node)
                time.sleep(0.02)
        for node in self.world.nodes:
            for _ in range(per_machine):
                threading.Thread(target=turns, args=(node,), daemon=True).start()

    def feed_items(self, items=60, every=0.5):
        """A trainer that submits batch after batch, more than limited engines bear."""
        def submit():
            for number in itertools.count():
                if self.stopping.is_set():
                    return
                status = self.world.submit(self.world.nodes[0], f"b{number}", items, first=number * items)
                self.assertEqual(status, 202)
                time.sleep(every)
        threading.Thread(target=submit, daemon=True).start()

    def test_requests_of_all_machines_keep_the_limit(self):
        self.limit(self.world.plains, 8.0)
        self.press()
        time.sleep(JUDGED_SECONDS)
        self.check_limits(self.world.plains)
        # The limit is used: two servers bear 16 a second.
        self.assertGreater(self.served, 0.5 * 16 * JUDGED_SECONDS)

    def test_many_machines_keep_a_small_limit(self):
        self.limit(self.world.plains, 1.0)
        self.press(per_machine=1)
        time.sleep(JUDGED_SECONDS)
        self.check_limits(self.world.plains)
        self.assertGreater(self.served, 0)

    def test_items_keep_the_limit_and_go_on_when_it_ends(self):
        self.limit(self.world.engines, 5.0)
        self.feed_items()
        time.sleep(JUDGED_SECONDS)
        self.check_limits(self.world.engines)
        taken = self.taken()
        self.assertGreater(taken, 0.5 * 15 * JUDGED_SECONDS)
        self.limit(self.world.engines, None)
        # Without a limit, 24 slots take more than a hundred items a second.
        eventually(lambda: self.taken() > taken + 300, 8, "items go on without a limit")

    def taken(self):
        return sum(len(engine.requests) for engine in self.world.engines)

    def test_scoring_calls_beside_requests_keep_the_limit(self):
        self.limit(self.world.scorers, 4.0)
        self.feed_items()
        time.sleep(JUDGED_SECONDS)
        self.check_limits(self.world.scorers)
        self.assertGreater(sum(len(scorer.requests) for scorer in self.world.scorers), 0)

    def test_limit_that_falls_again_is_kept(self):
        self.limit(self.world.plains, 30.0)
        self.press()
        time.sleep(CONTACT_SECONDS + 1)
        self.limit(self.world.plains, 5.0)
        time.sleep(JUDGED_SECONDS)
        self.check_limits(self.world.plains)

    def test_restarted_machine_keeps_the_limit(self):
        self.limit(self.world.plains, 6.0)
        self.press()
        time.sleep(CONTACT_SECONDS)
        for node in self.world.nodes[:2]:
            node.kill()
            node.start()
        for node in self.world.nodes[:2]:
            eventually(node.ready, 10, f"{node.name} ready")
        time.sleep(WINDOW_SECONDS + 1)
        self.check_limits(self.world.plains)

    def test_checks_of_weight_orders_keep_the_limit(self):
        for engine in self.world.engines:
            engine.load_time = JUDGED_SECONDS
        self.limit(self.world.engines, 1.0)
        self.feed_items(items=6)
        self.world.name_version(2)
        time.sleep(JUDGED_SECONDS + 1)
        self.check_limits(self.world.engines)


if __name__ == "__main__":
    unittest.main()
