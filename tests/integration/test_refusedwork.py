"""Work that a server refuses for its own sake must not hold capacity of other work: prompts larger than an engine's
memory, texts that outgrow it, and requests that a server faults."""

import base64
import http.client
import json
import threading
import time
import unittest

from platformworld.httpd import Answer, Reset
from platformworld.world import HOST, KEY, MODEL, World, eventually

OTHER_KEY = "key-two"
SLOTS = 8
#: As in the configuration; prompts below are tried, since engines may have less.
MEMORY, LARGE_PROMPT = 40_000, 36_000
IMPOSSIBLE_PROMPT = 59_800
#: Time limit of a step, in which its items are owed.
STEP_SECONDS = 12
STEP_ITEMS = 96
#: More than there are slots.
OUTGROWN = 30
#: More than there are engines.
IMPOSSIBLE = 4
#: What surely can't be served is refused within this.
AT_ONCE = 1.0


def tokens_of(request) -> int:
    """What a request needs when it is sent: its prompt, and the text that it goes on with."""
    prompt = int(request.headers.get("x-token-usage", "0").split(",")[0])
    return prompt + int(request.headers.get("last-event-id", "0"))


class RefusedWork(unittest.TestCase):
    def setUp(self):
        self.world = World(scorers=2 if "scor" in self._testMethodName else 0)
        self.addCleanup(self.world.close)
        self.world.configure(tenants=[{"name": "amend", "api_keys": [KEY]}, {"name": "guest", "api_keys": [OTHER_KEY]}])
        self.refused = 0
        self.node = self.world.nodes[0]
        eventually(self.knows_guest, 5, "the guest's key at all machines")

    def knows_guest(self):
        return all(node.call("POST", "/orders/1", b"mats", key=OTHER_KEY)[0] == 200 for node in self.world.nodes)

    def serve_with(self, server, refuse):
        """`refuse(request)` gives the refusal of a request, if there is one."""
        sound = server.serve

        async def serve(request):
            refusal = refuse(request)
            if refusal is None:
                return await sound(request)
            self.refused += 1
            return refusal
        server.serve = serve

    def limit_memory(self, engine, memory):
        def refuse(request):
            if tokens_of(request) < memory:
                return None
            return Answer(503, {"X-Request-Id": request.headers["x-request-id"], "X-Not-Executed": "1"})
        self.serve_with(engine, refuse)

    def submit_guests(self, count, prompt=LARGE_PROMPT, key=OTHER_KEY, small=0, name="guest", headers=None):
        def item(number, prompt):
            return {"id": f"{name}{number}", "path": f"/steps/{name}{number}", "group": f"g{number}",
                    "tokens": prompt + 200, "body": base64.b64encode(b"prompt").decode(),
                    "headers": {"X-Model": MODEL, "X-Token-Usage": f"{prompt},200", "X-Length-Hint": "6",
                                **(headers or {})}}
        items = [item(number, prompt) for number in range(count)]
        items += [item(count + number, 200) for number in range(small)]
        body = json.dumps({"step": 1, "model": MODEL, "min_version": 1, "group_count": small or count, "items": items})
        began = time.monotonic()
        status, body, _ = self.node.call("POST", f"/steps/{name}", body.encode(), key=key, headers={
            "X-Request-Id": name, "X-Deadline-Ms": "12000"})
        return status, json.loads(body), time.monotonic() - began

    def check_step_is_done(self, name="step"):
        self.assertEqual(self.world.submit(self.world.nodes[1], name, STEP_ITEMS), 202)
        began = time.monotonic()
        results = self.world.wait_results(self.world.nodes[2], name, STEP_ITEMS, seconds=STEP_SECONDS)
        print(f"{name}: {len(results)} items in {time.monotonic() - began:.1f} s, {self.refused} refusals")
        self.assertEqual({result["state"] for result in results}, {"completed"})

    def set_pace(self, seconds):
        for engine in self.world.engines:
            engine.pace = seconds

    def test_items_larger_than_all_engines_have_room_for(self):
        self.set_pace(0.05)
        for engine in self.world.engines:
            self.limit_memory(engine, LARGE_PROMPT)
        self.assertEqual(self.submit_guests(5)[0], 202)
        time.sleep(1)
        self.check_step_is_done("first")
        self.check_step_is_done("second")
        self.assertGreater(self.refused, 0)

    def test_items_that_only_one_engine_has_room_for_are_run_there(self):
        for engine in self.world.engines[1:]:
            self.limit_memory(engine, LARGE_PROMPT)
        self.check_step_is_done("first")
        self.assertEqual(self.submit_guests(6)[0], 202)

        def are_done():
            page = self.node.call("GET", "/v1/lots/guest?after=0", key=OTHER_KEY)
            return page[0] == 200 and len(json.loads(page[1])["results"]) == 6
        eventually(are_done, STEP_SECONDS, "large items at the engine that has room")

    def test_texts_that_outgrow_all_engines(self):
        limit, events = 300, 6
        for engine in self.world.engines:
            self.limit_memory(engine, limit)
            sound = engine.stream

            async def stream(item, start, sound=sound, engine=engine):
                count = start
                async for event in sound(item, start):
                    if item.startswith("guest") and count >= events // 2:
                        raise Reset
                    count += 1
                    yield event
            engine.stream = stream
        # Their prompts have room, and half of their texts.
        self.assertEqual(self.submit_guests(OUTGROWN, prompt=limit - events // 2)[0], 202)
        eventually(lambda: self.refused > 0, 5, "a text that has outgrown an engine")
        # Their results are due before those of the steps, so that they are placed first.
        time.sleep(2)
        self.check_step_is_done("first")
        self.check_step_is_done("second")

    def check_faulted_items(self, status, headers):
        def refuse(request):
            if not request.headers.get("x-request-id", "").startswith("guest"):
                return None
            return Answer(status, headers(request))
        for engine in self.world.engines:
            self.serve_with(engine, refuse)
        self.assertEqual(self.submit_guests(60, prompt=200)[0], 202)
        time.sleep(1)
        self.check_step_is_done("first")
        self.check_step_is_done("second")

    def test_items_that_engines_fault(self):
        self.check_faulted_items(404, lambda request: {"X-Request-Id": request.headers["x-request-id"],
                                                       "X-Server-Stamp": "s.1"})

    def test_items_whose_heads_engines_do_not_take(self):
        self.check_faulted_items(431, lambda request: {})

    def test_items_that_engines_fault_as_not_run(self):
        self.check_faulted_items(400, lambda request: {"X-Not-Executed": "1"})

    def test_items_that_name_a_weight_version_of_their_own(self):
        """The header is the system's: engines that have another version would count as other servers at their addresses."""
        def refuse(request):
            if request.headers.get("x-expect-version") != "999":
                return None
            return Answer(421, {"X-Request-Id": request.headers["x-request-id"], "X-Not-Executed": "1",
                                "X-Weight-Versions": "1"})
        for engine in self.world.engines:
            self.serve_with(engine, refuse)
        self.assertEqual(self.submit_guests(20, prompt=200, headers={"X-Expect-Version": "999"})[0], 202)
        self.check_step_is_done()
        self.assertEqual(self.talk(200, "stream", {"X-Expect-Version": "999"})[0], 200)
        self.assertEqual(self.refused, 0)

    def test_batch_that_no_engine_can_run_is_refused_at_once(self):
        status, body, took = self.submit_guests(2, prompt=IMPOSSIBLE_PROMPT)
        print(status, body, f"{took:.2f} s")
        self.assertEqual(status, 413)
        self.assertEqual(body["error"]["code"], "too_large")
        self.assertIn("guest0", body["error"]["message"])
        self.assertLess(took, AT_ONCE)
        self.assertEqual([run for engine in self.world.engines for run in engine.requests], [])

    def test_batch_with_few_items_that_no_engine_can_run_is_complete_without_them(self):
        for engine in self.world.engines:
            self.limit_memory(engine, MEMORY)
        self.assertEqual(self.submit_guests(IMPOSSIBLE, prompt=IMPOSSIBLE_PROMPT, small=20)[0], 202)

        def results():
            return json.loads(self.node.call("GET", "/v1/lots/guest?after=0", key=OTHER_KEY)[1])["results"]
        eventually(lambda: len(results()) == 20, STEP_SECONDS, "the items that can be run")
        self.check_step_is_done()
        self.assertEqual(len(results()), 20)
        eventually(lambda: len(results()) == 20 + IMPOSSIBLE, World.RETENTION_SECONDS + 5, "the other items, given up")
        lost = {result["id"] for result in results() if result["state"] == "lost"}
        self.assertEqual(lost, {f"guest{number}" for number in range(IMPOSSIBLE)})

    def talk(self, prompt, request, headers=None):
        connection = http.client.HTTPConnection(self.node.ip, self.node.ports["front"], timeout=12)
        began = time.monotonic()
        connection.request("POST", "/talks/1", b"", {
            "Host": HOST, "Authorization": f"Bearer {OTHER_KEY}", "X-Request-Id": request, "X-Deadline-Ms": "5000",
            "X-Token-Usage": f"{prompt},200", **(headers or {})})
        answer = connection.getresponse()
        answer.read()
        connection.close()
        return answer.status, time.monotonic() - began

    def test_requests_larger_than_all_engines_have_room_for(self):
        for engine in self.world.engines:
            self.limit_memory(engine, LARGE_PROMPT)
        status, took = self.talk(IMPOSSIBLE_PROMPT, "impossible")
        self.assertEqual(status, 413)
        self.assertLess(took, AT_ONCE)
        self.assertEqual(self.refused, 0)
        self.assertEqual(self.talk(200, "small")[0], 200)
        stopped = threading.Event()

        def call_steadily(caller):
            number = 0
            while not stopped.is_set():
                self.talk(LARGE_PROMPT, f"large{caller}.{number}")
                number += 1
        callers = [threading.Thread(target=call_steadily, args=(caller,)) for caller in range(16)]
        for caller in callers:
            caller.start()
        try:
            statuses = [self.talk(200, f"small{number}")[0] for number in range(20)]
            self.check_step_is_done()
        finally:
            stopped.set()
            for caller in callers:
                caller.join()
        self.assertEqual(set(statuses), {200})
        self.assertGreater(self.refused, 0)

    def check_scores(self, answer):
        faulted = b"check0"
        for scorer in self.world.scorers:
            self.serve_with(scorer, lambda request: answer(request) if request.body == faulted else None)
        self.assertEqual(self.world.submit(self.node, "b1", 40), 202)
        began = time.monotonic()
        results = self.world.wait_results(self.node, "b1", 39, seconds=STEP_SECONDS)
        print(f"39 scores in {time.monotonic() - began:.1f} s, {self.refused} refusals")
        self.assertNotIn("item0", {result["id"] for result in results})
        # A scorer that is sound is not taken for lost.
        lost = [event for node in self.world.nodes for event in node.events("server.lost")]
        self.assertEqual([event for event in lost if event["server"].startswith("i-s")], [])

    def test_scoring_calls_that_servers_fault(self):
        self.check_scores(lambda request: Answer(404, {}))

    def test_scoring_calls_that_servers_fault_with_a_stamp(self):
        self.check_scores(lambda request: Answer(413, {"X-Request-Id": request.headers["x-request-id"],
                                                       "X-Server-Stamp": "s.1"}))


if __name__ == "__main__":
    unittest.main()
