"""Items under which servers crashed are still owed: they are placed again soon after the servers are back.

Each test brings about one way in which crashes could keep an item from being placed: connections that are reset in
each of its runs, and servers that lose power while they run it, so that nobody is told."""

import time
import unittest

from platformworld.world import World, eventually

#: From the users' pages: an item must not be at no server for longer while servers have room.
PLACED_SECONDS = 5.0
ROUNDS = 6
#: Results of a batch are due after this time.
DUE_SECONDS = 7.5
CRASHES = 9


class Unlucky(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.addCleanup(self.world.close)

    def arrivals_since(self, moment):
        return {run["id"] for engine in self.world.engines for run in engine.requests if run["at"] > moment}

    def check_placed_again(self, items, calm_since):
        eventually(lambda: self.arrivals_since(calm_since) | self.listed() >= items, PLACED_SECONDS,
                   f"each of {len(items)} items at a server or listed")

    def listed(self):
        page = self.world.results(self.world.nodes[1], "b1")
        return set() if page is None else {result["id"] for result in page["results"]}

    def test_item_whose_connections_were_reset_in_many_runs_is_done_in_time(self):
        for engine in self.world.engines:
            engine.crash_next = CRASHES // len(self.world.engines)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 1), 202)
        self.world.wait_results(self.world.nodes[1], "b1", 1, seconds=DUE_SECONDS)
        # One engine may finish it before the others have used up their crashes.
        self.assertGreater(sum(len(engine.requests) for engine in self.world.engines), CRASHES * 2 // 3)

    def test_items_of_servers_that_lost_power_several_times_are_placed_again(self):
        for engine in self.world.engines:
            engine.events, engine.pace = 200, 0.1
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 6), 202)
        time.sleep(0.5)
        for _ in range(ROUNDS):
            for engine in self.world.engines:
                engine.go_dark()
            time.sleep(0.4)
            for engine in self.world.engines:
                engine.come_back()
            calm_since = time.monotonic()
            time.sleep(2.0)
        self.check_placed_again({f"item{number}" for number in range(6)}, calm_since)


if __name__ == "__main__":
    unittest.main()
