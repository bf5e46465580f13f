"""Scored items: a text is listed only with the stamp of its scorer's answer, whatever happens to scorers and machines.

Each test brings about one way in which a score could be wrong, missing, or cost a second generation: a scorer that
fails, loses answers, answers twice or is slow, and machines that are lost between the last event and the score."""

import time
import unittest

from platformworld.world import KEY, World, eventually

ITEMS = 8
MAX_ATTEMPTS = 4
#: Complete texts are kept within this time.
CHECKPOINT = 0.8


class Scoring(unittest.TestCase):
    def setUp(self):
        self.world = World(scorers=2)
        self.addCleanup(self.world.close)

    def calls(self):
        return [call for scorer in self.world.scorers for call in scorer.requests]

    def generations(self):
        return sum(len(engine.requests) for engine in self.world.engines)

    def check_scores(self, results):
        """Each score is the stamp of a good answer to the item's own call, made after its text."""
        last_event_at = {}
        for engine in self.world.engines:
            last_event_at.update(engine.last_event_at)
        for result in results:
            self.assertEqual(result["state"], "completed")
            self.assertEqual(len(result["text"].split("\n")), 6)
            number = result["id"].removeprefix("item")
            own = [call for call in self.calls() if call["id"] == f"score{number}"]
            self.assertIn(result["score"], [call["stamp"] for call in own if call["status"] == 200])
            for call in own:
                self.assertGreater(call["at"], last_event_at[result["id"]])
                self.assertEqual((call["path"], call["body"]), (f"/checks/{number}", b"check" + number.encode()))

    def set_scorers(self, **values):
        for scorer in self.world.scorers:
            for name, value in values.items():
                setattr(scorer, name, value)

    def wait_scoring(self):
        eventually(lambda: len({call["id"] for call in self.calls()}) == ITEMS, 8, "a call for each item")

    def test_each_text_is_scored_once_without_key_and_workspace(self):
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        results = self.world.wait_results(self.world.nodes[1], "b1", ITEMS)
        self.check_scores(results)
        self.assertEqual(len(self.calls()), ITEMS)
        for call in self.calls():
            self.assertNotIn("x-tenant", call["headers"])
            self.assertNotIn("authorization", call["headers"])
            self.assertNotIn(KEY, str(call["headers"]))
            self.assertIn("x-deadline-ms", call["headers"])
        for node in self.world.nodes:
            self.assertEqual(self.world.wait_results(node, "b1", ITEMS), results)

    def test_scorer_that_always_fails_costs_its_item_after_all_attempts(self):
        self.set_scorers(fail_for={b"check3"})
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        results = self.world.wait_results(self.world.nodes[0], "b1", ITEMS)
        self.assertEqual([result["id"] for result in results if result["state"] == "lost"], ["item3"])
        self.check_scores([result for result in results if result["id"] != "item3"])
        self.assertEqual(len([call for call in self.calls() if call["id"] == "score3"]), MAX_ATTEMPTS)
        self.assertEqual(self.generations(), ITEMS)

    def test_lost_answers_of_scorers_cost_no_item(self):
        self.set_scorers(lose_next=8)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        self.check_scores(self.world.wait_results(self.world.nodes[0], "b1", ITEMS, 20))
        self.assertEqual(self.generations(), ITEMS)

    def test_second_answers_to_a_call_belong_to_no_other(self):
        for batch, late_copy in (("b1", 0.0), ("b2", 0.0), ("b3", 0.01), ("b4", 0.01)):
            self.set_scorers(late_copy=late_copy, requests=[])
            self.assertEqual(self.world.submit(self.world.nodes[0], batch, ITEMS), 202)
            self.check_scores(self.world.wait_results(self.world.nodes[0], batch, ITEMS))

    def test_slow_scorers_answer_in_the_end(self):
        self.set_scorers(work=1.2)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 16), 202)
        self.check_scores(self.world.wait_results(self.world.nodes[0], "b1", 16, 30))

    def test_clump_of_calls_leaves_slots_to_callers(self):
        """The work ends before the time limit of a call: the server may still be at an abandoned call, whose slot counts
        as free, when the next one arrives a millisecond later."""
        self.set_scorers(work=0.4)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 24), 202)
        self.check_scores(self.world.wait_results(self.world.nodes[0], "b1", 24, 30))
        for scorer in self.world.scorers:
            self.assertLessEqual(scorer.most_running, 4)

    def test_killed_holder_leaves_texts_that_only_need_a_score(self):
        self.set_scorers(work=1.9)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        self.wait_scoring()
        time.sleep(CHECKPOINT + 0.2)
        self.world.holder().kill()
        self.set_scorers(work=0.02)
        reader = next(node for node in self.world.nodes if node.running())
        self.check_scores(self.world.wait_results(reader, "b1", ITEMS, 20))
        self.assertEqual(self.generations(), ITEMS)

    def test_loss_of_all_machines_leaves_texts_that_only_need_a_score(self):
        self.set_scorers(work=1.9)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        self.wait_scoring()
        time.sleep(CHECKPOINT + 0.2)
        for node in self.world.nodes:
            node.kill()
        self.set_scorers(work=0.02)
        for node in self.world.nodes:
            node.start()
        self.check_scores(self.world.wait_results(self.world.nodes[2], "b1", ITEMS, 25))
        self.assertEqual(self.generations(), ITEMS)

    def test_ended_batch_stops_its_scorers(self):
        self.set_scorers(work=5)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        self.wait_scoring()
        self.assertEqual(self.world.nodes[1].call("DELETE", "/v1/lots/b1")[0], 200)
        time.sleep(1)
        before = len(self.calls())
        time.sleep(1.5)
        self.assertEqual(len(self.calls()), before)


if __name__ == "__main__":
    unittest.main()
