"""Whose a call is: with a key, without one, and with one that nobody holds, on public and other routes, for each kind of
call; with two tenants that choose the same ids, and versions of the configuration that change all of that meanwhile."""

import base64
import contextlib
import http.client
import json
import time
import unittest

from platformworld.paths import PathsWorld
from platformworld.texts import software_of
from platformworld.world import HOST, MODEL, World, eventually

#: Bounds of the users' pages, in seconds.
CONFIGURATION_BOUND = 2.0
SETTLE_BOUND = 1.0
AMEND, CAFE, STRANGER = "key-one", "key-two", "key-of-nobody"
TENANTS = [{"name": "amend", "api_keys": [AMEND]}, {"name": "cafe", "api_keys": [CAFE]}]
#: A request of each kind that is forwarded: safe, unsafe, a stream.
PATHS = ("/orders/1", "/once/1", "/talks/1")
ALL_ROUTES = {"orders", "once", "checks", "talks", "steps"}
#: How a call comes, and the tenant that is to be seen behind it.
KEYS = {AMEND: "amend", CAFE: "cafe", None: None}
EVENTS = 14
#: A batch that was accepted elsewhere a moment ago is waited for this long.
ARRIVAL_MS = 400
#: Of one caller, one after the other.
CALLS = 5
#: The partition of the store that lists batches.
INDEX = ("nutmegplank", 0)


def header(key: str | None) -> dict:
    return {} if key is None else {"Authorization": f"Bearer {key}"}


class OwnershipCase(unittest.TestCase):
    WORLD, ENGINES, SCORERS = World, 3, 0

    def setUp(self):
        self.world = self.WORLD(engines=self.ENGINES, scorers=self.SCORERS)
        self.addCleanup(self.finish)
        self.nodes = self.world.nodes
        for engine in self.world.engines:
            engine.events = EVENTS

    def finish(self):
        self.world.close()

    def configure(self, public=(), tenants=TENANTS):
        """Returns when all machines have the version."""
        routes = [{**route, "public": route["name"] in public} for route in self.world.configuration()["routes"]]
        self.world.configure(routes=routes, tenants=tenants)
        wanted = self.world.config_version
        for node in self.nodes:
            eventually(lambda: node.events("configuration.applied")[-1]["version"] == wanted, CONFIGURATION_BOUND,
                       f"version {wanted} at {node.name}")

    def batch(self, name: str, items: int, headers: dict | None = None) -> bytes:
        """Its items are called by `name`, so that results tell whose they are."""
        return json.dumps({"step": 1, "model": MODEL, "min_version": 1, "group_count": items, "items": [
            {"id": f"{name}-{number}", "path": f"/steps/{number}",
             "headers": {"X-Model": MODEL, "X-Token-Usage": "20,40", "X-Length-Hint": "6", **(headers or {})},
             "body": base64.b64encode(f"{name} {number}".encode()).decode(), "tokens": 60, "group": f"g{number}",
             **self.world.scorer(number)}
            for number in range(items)]}).encode()

    def submit(self, node, batch: str, body: bytes, key: str | None) -> int:
        return node.call("POST", f"/steps/{batch}", body, key=key,
                         headers={"X-Request-Id": batch, "X-Deadline-Ms": "8000"})[0]

    def read(self, node, batch: str, key: str | None):
        status, body, _ = node.call("GET", f"/v1/lots/{batch}?after=0", key=key, headers={"X-Wait-Ms": "200"})
        return status, json.loads(body).get("results") if status == 200 else None

    def body(self, node, batch: str, item: str, key: str | None):
        return node.call("GET", f"/v1/items/{batch}?id={item}", key=key)[:2]

    def end(self, node, batch: str, key: str | None) -> int:
        return node.call("DELETE", f"/v1/lots/{batch}", key=key)[0]

    def check_whole(self, batch: str, key: str | None, name: str, items: int):
        """All machines list all items of the batch `name`, and nothing else."""
        def complete(node):
            status, results = self.read(node, batch, key)
            self.assertEqual(status, 200)
            return results if len(results) >= items else None

        for node in self.nodes:
            results = eventually(lambda: complete(node), 15, f"{items} results of {batch} at {node.name}")
            self.assertEqual(sorted(result["id"] for result in results), sorted(f"{name}-{n}" for n in range(items)))
            for result in results:
                self.assertEqual((result["state"], len(result["text"].split("\n"))), ("completed", EVENTS))

    def settle(self):
        time.sleep(SETTLE_BOUND)

    def runs(self, name: str) -> list[dict]:
        return [run for engine in self.world.engines for run in engine.requests if run["id"].startswith(f"{name}-")]

    def check_tenant(self, run: dict, tenant: str | None):
        """What a server saw of the owner, and nothing that a caller said of it."""
        self.assertEqual(run["headers"].get("x-tenant"), tenant, run["id"])
        self.assertNotIn("authorization", run["headers"], run["id"])

    def check_items(self, name: str, tenant: str | None):
        runs = self.runs(name)
        self.assertTrue(runs)
        for run in runs:
            self.check_tenant(run, tenant)

    def slow_down(self):
        """Items last long enough for what a test does meanwhile."""
        for engine in self.world.engines:
            engine.pace = 0.7

    def speed_up(self):
        for engine in self.world.engines:
            engine.pace = 0.02


class Requests(OwnershipCase):
    def servers(self):
        return [*self.world.plains, *self.world.engines]

    def call(self, node, path: str, request: str, authorization: list[str]):
        """Claims to be cafe's in all that a caller can write, beside what it sends as its key."""
        connection = http.client.HTTPConnection(node.ip, node.ports["front"], timeout=10)
        connection.putrequest("POST", path, skip_host=True)
        for name, value in [("Host", HOST), ("X-Request-Id", request), ("X-Tenant", "cafe"), ("x-tenant", "cafe"),
                            ("Connection", "X-Tenant"), ("Content-Length", "0"),
                            *(("Authorization", value) for value in authorization)]:
            connection.putheader(name, value)
        connection.endheaders()
        try:
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def check(self, path: str, authorization: list[str], status: int, tenant: str | None):
        self.number = getattr(self, "number", 0) + 1
        request = f"r-{self.number}"
        with self.subTest(path=path, authorization=authorization, version=self.world.config_version):
            self.assertEqual(self.call(self.nodes[self.number % 3], path, request, authorization), status)
            seen = [run for server in self.servers() for run in server.requests if run["id"] == request]
            self.assertEqual(len(seen), 1 if status == 200 else 0)
            for run in seen:
                self.check_tenant(run, tenant)

    def test_each_route_with_each_key(self):
        """On a public route a key counts as on any other, and one that nobody holds is refused."""
        known = [([f"Bearer {AMEND}"], "amend"), ([f"bearer  {CAFE}"], "cafe"),
                 ([f"Bearer {AMEND}", f"Bearer {AMEND}"], "amend"), (["Basic YTpi", f"Bearer {AMEND}"], "amend")]
        nobodys = [[f"Bearer {STRANGER}"], ["Bearer"], ["Bearer "], [f"Bearer {AMEND}", f"Bearer {CAFE}"],
                   [f"Bearer {AMEND}", f"Bearer {STRANGER}"], [f"Bearer {AMEND.upper()}"]]
        none = [[], ["Basic YTpi"]]
        for public in ((), ALL_ROUTES):
            self.configure(public)
            for path in PATHS:
                for authorization, tenant in known:
                    self.check(path, authorization, 200, tenant)
                for authorization in nobodys:
                    self.check(path, authorization, 401, None)
                for authorization in none:
                    self.check(path, authorization, 200 if public else 401, None)

    def test_without_tenants_keys_mean_nothing(self):
        for tenants, status in ((None, 200), ([], 401)):
            self.configure(tenants=tenants)
            for path in PATHS:
                for authorization in ([], [f"Bearer {AMEND}"], [f"Bearer {STRANGER}"]):
                    self.check(path, authorization, status, None)

    def test_keys_that_change_hands_count_on_public_routes_too(self):
        self.configure(ALL_ROUTES)
        for path in PATHS:
            self.check(path, [f"Bearer {AMEND}"], 200, "amend")
        self.configure(ALL_ROUTES, [{"name": "amend", "api_keys": ["key-three"]},
                                    {"name": "cafe", "api_keys": [CAFE, AMEND]}])
        for path in PATHS:
            self.check(path, [f"Bearer {AMEND}"], 200, "cafe")
            self.check(path, ["Bearer key-three"], 200, "amend")
        self.configure(ALL_ROUTES, [{"name": "amend", "api_keys": ["key-three"]}, {"name": "cafe", "api_keys": [CAFE]}])
        for path in PATHS:
            self.check(path, [f"Bearer {AMEND}"], 401, None)

    def test_reports_of_use_hold_what_tenants_asked_for_and_nothing_else(self):
        self.configure(ALL_ROUTES)
        for number in range(8):
            for key in KEYS:
                self.assertEqual(self.nodes[number % 3].call("POST", "/orders/1", key=key)[0], 200)

        def reported():
            counts = {}
            for window in {window: counts for _, window, counts in self.world.usage}.values():
                for tenant, requests in window.items():
                    counts[tenant] = counts.get(tenant, 0) + requests
            return counts

        eventually(lambda: reported().get("amend", 0) >= 8 and reported().get("cafe", 0) >= 8, 15, "the reports")
        self.assertEqual(reported(), {"amend": 8, "cafe": 8})


class Streams(OwnershipCase):
    ENGINES = 1
    #: Streams of each tenant, so that some pairs begin at different software versions.
    PAIRS = 12
    READ = 3

    def read_stream(self, connection, key: str, request: str, after: list[str] | None = None, begun_by: str = ""):
        """The status, and the data of the next events."""
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "8000", **header(key)}
        if after is not None:
            headers |= {"Last-Event-Id": str(len(after)), "Resumes": begun_by}
        connection.request("POST", "/talks/1", request.encode(), headers)
        response = connection.getresponse()
        data = []
        while response.status == 200 and len(data) < self.READ:
            line = response.readline().decode()
            if not line:
                break
            if line.startswith("data: "):
                data.append(line.removeprefix("data: ").strip())
        return response.status, data

    def connect(self):
        node = self.nodes[0]
        return contextlib.closing(http.client.HTTPConnection(node.ip, node.ports["front"], timeout=5))

    def begin_pair(self, request: str) -> dict:
        """Both tenants' streams of one id, at the same time, so that they go to different servers."""
        with self.connect() as first, self.connect() as second:
            return {key: self.read_stream(connection, key, request) for key, connection in ((AMEND, first), (CAFE, second))}

    def test_tenants_that_choose_the_same_request_id_do_not_share_the_beginning_of_a_stream(self):
        """A stream went on at the software version that had begun the other tenant's stream of that id."""
        self.configure()
        # Streams at the version that was there first need no record; the others have one.
        time.sleep(SETTLE_BOUND)
        self.world.add_engine("2.0")
        time.sleep(SETTLE_BOUND)
        for engine in self.world.engines:
            engine.pace = 0.05
        begun = []
        for number in range(self.PAIRS):
            begun.append((f"same-{number}", self.begin_pair(f"same-{number}")))
        differ = 0
        for request, pair in begun:
            self.assertEqual({status for status, _ in pair.values()}, {200})
            versions = {key: software_of(data) for key, (_, data) in pair.items()}
            if versions[AMEND] == versions[CAFE]:
                continue
            differ += 1
            for key, (_, data) in pair.items():
                with self.connect() as connection:
                    status, more = self.read_stream(connection, key, f"{request}-{KEYS[key]}", data, request)
                with self.subTest(request=request, tenant=KEYS[key], began_at=versions[key]):
                    self.assertEqual(software_of(data + more), versions[key])
                    # Without a record the beginning may be the other's: refused as not run then, never guessed.
                    self.assertIn(status, (200,) if versions[key] == {"2.0"} else (200, 503))
                    self.assertEqual(len(more), self.READ if status == 200 else 0)
        print("pairs that began at different versions:", differ)
        self.assertGreater(differ, 0)


class Batches(OwnershipCase):
    ITEMS = 8

    def check_access(self, batch: str, item: str, by_key: dict):
        """The status of results and bodies for each key, at each machine. Bodies are given until an item is listed."""
        for key, status in sorted(by_key.items(), key=lambda entry: entry[1]):
            for node in self.nodes:
                with self.subTest(batch=batch, key=key, node=node.name):
                    self.assertEqual(self.read(node, batch, key)[0], status)
                    self.assertEqual(self.body(node, batch, item, key)[0], status)

    def test_batches_belong_to_the_key_on_every_route(self):
        """Review case 9: on a public route nobody could read, end or get bodies of a batch that came with a key."""
        for public in ((), ALL_ROUTES):
            self.configure(public)
            self.slow_down()
            kind = "public" if public else "private"
            for key, tenant in KEYS.items():
                batch = f"{kind}-{tenant}"
                status = 401 if key is None and not public else 202
                self.assertEqual(self.submit(self.nodes[0], batch, self.batch(batch, self.ITEMS), key), status)
                if status != 202:
                    continue
                self.settle()
                item = f"{batch}-0"
                mine = {key: 200} if tenant else {None: 200, AMEND: 200}
                others = {CAFE if tenant == "amend" else AMEND: 404, None: 401} if tenant else {}
                self.check_access(batch, item, {**mine, **others, STRANGER: 401})
                self.assertEqual(self.body(self.nodes[1], batch, item, key), (200, f"{batch} 0".encode()))
                for node in self.nodes:
                    for other, refused in {**others, STRANGER: 401}.items():
                        self.assertEqual(self.end(node, batch, other), refused)
                self.assertEqual(self.read(self.nodes[2], batch, key)[0], 200)
                self.assertEqual(self.end(self.nodes[1], batch, key), 200)
                self.assertEqual(self.end(self.nodes[2], batch, key), 200)
                self.check_items(batch, tenant)
            self.assertEqual(self.submit(self.nodes[0], f"{kind}-x", self.batch("x", 1), STRANGER), 401)
        self.assertFalse(self.runs("x"))

    def test_results_of_a_public_route_are_read_with_the_key_and_without(self):
        self.configure(ALL_ROUTES)
        for key, tenant in KEYS.items():
            self.assertEqual(self.submit(self.nodes[0], f"b-{tenant}", self.batch(f"{tenant}", self.ITEMS), key), 202)
        for key, tenant in KEYS.items():
            self.check_whole(f"b-{tenant}", key, f"{tenant}", self.ITEMS)
            self.check_items(f"{tenant}", tenant)

    def test_tenants_that_choose_the_same_id_have_batches_of_their_own(self):
        """The second one was answered 202 and kept nowhere."""
        self.configure(ALL_ROUTES)
        self.slow_down()
        for turn, (key, tenant) in enumerate(KEYS.items()):
            for node in (self.nodes[turn], self.nodes[0]):
                self.assertEqual(self.submit(node, "same", self.batch(f"{tenant}", self.ITEMS), key), 202)
        self.settle()
        self.assertEqual(self.end(self.nodes[1], "same", CAFE), 200)
        self.speed_up()
        self.check_whole("same", AMEND, "amend", self.ITEMS)
        self.check_whole("same", None, "None", self.ITEMS)
        self.assertEqual({run["headers"].get("x-tenant") for name in ("amend", "cafe", "None")
                          for run in self.runs(name)}, {"amend", "cafe", None})
        for name, tenant in (("amend", "amend"), ("cafe", "cafe"), ("None", None)):
            self.check_items(name, tenant)
        self.assertEqual(len(self.runs("amend")), self.ITEMS)
        for event in ("rollout.placed", "rollout.run_ended", "batch.read", "rollout.batch_opened"):
            named = {line["batch"] for node in self.nodes for line in node.events(event)}
            self.assertEqual(named, {"same"}, event)
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            eventually(node.ready, 10, "ready again")
        self.check_whole("same", AMEND, "amend", self.ITEMS)
        self.check_whole("same", None, "None", self.ITEMS)
        status, results = self.read(self.nodes[2], "same", CAFE)
        self.assertEqual(status, 200)
        self.assertTrue(all(result["id"].startswith("cafe-") for result in results))

    def test_routes_that_become_public_and_private_leave_batches_with_their_owner(self):
        self.configure()
        self.slow_down()
        self.assertEqual(self.submit(self.nodes[0], "before", self.batch("before", self.ITEMS), AMEND), 202)
        self.configure(ALL_ROUTES)
        self.check_access("before", "before-0", {AMEND: 200, CAFE: 404, None: 401, STRANGER: 401})
        self.assertEqual(self.submit(self.nodes[1], "before", self.batch("before", self.ITEMS), AMEND), 202)
        self.assertEqual(self.submit(self.nodes[1], "keyed", self.batch("keyed", self.ITEMS), AMEND), 202)
        self.assertEqual(self.submit(self.nodes[1], "keyless", self.batch("keyless", self.ITEMS), None), 202)
        self.settle()
        self.configure()
        self.check_access("keyed", "keyed-0", {AMEND: 200, CAFE: 404, None: 401, STRANGER: 401})
        self.check_access("keyless", "keyless-0", {AMEND: 200, None: 200, STRANGER: 401})
        self.speed_up()
        for batch, key, tenant in (("before", AMEND, "amend"), ("keyed", AMEND, "amend"), ("keyless", None, None)):
            self.check_whole(batch, key, batch, self.ITEMS)
            self.check_items(batch, tenant)
            self.assertEqual(len(self.runs(batch)), self.ITEMS)

    def test_new_keys_of_the_tenant_reach_its_batches(self):
        for public in ((), ALL_ROUTES):
            self.configure(public)
            self.slow_down()
            batch = f"b{len(public)}"
            self.assertEqual(self.submit(self.nodes[0], batch, self.batch(batch, self.ITEMS), AMEND), 202)
            self.configure(public, [{"name": "amend", "api_keys": ["key-three"]},
                                    {"name": "cafe", "api_keys": [CAFE, AMEND]}])
            self.settle()
            self.check_access(batch, f"{batch}-0", {"key-three": 200, AMEND: 404, CAFE: 404, STRANGER: 401})
            self.assertEqual(self.end(self.nodes[2], batch, AMEND), 404)
            self.speed_up()
            self.check_whole(batch, "key-three", batch, self.ITEMS)
            self.check_items(batch, "amend")

    def test_batches_outlive_the_loss_of_the_tenants(self):
        self.configure()
        self.slow_down()
        self.assertEqual(self.submit(self.nodes[0], "b1", self.batch("b1", self.ITEMS), AMEND), 202)
        self.configure(tenants=None)
        self.settle()
        self.check_access("b1", "b1-0", {None: 200, AMEND: 200, STRANGER: 200})
        # The same submission again, as after a lost answer: it is not kept twice.
        self.assertEqual(self.submit(self.nodes[1], "b1", self.batch("b1", self.ITEMS), None), 202)
        self.configure()
        self.check_access("b1", "b1-0", {AMEND: 200, CAFE: 404, None: 401, STRANGER: 401})
        self.speed_up()
        self.check_whole("b1", AMEND, "b1", self.ITEMS)
        self.check_items("b1", "amend")
        self.assertEqual(len(self.runs("b1")), self.ITEMS)

    def test_batches_from_before_the_tenants_are_read_with_keys(self):
        self.configure(tenants=None)
        self.slow_down()
        self.assertEqual(self.submit(self.nodes[0], "b1", self.batch("b1", self.ITEMS), None), 202)
        self.assertEqual(self.submit(self.nodes[0], "b2", self.batch("b2", self.ITEMS), STRANGER), 202)
        self.settle()
        self.configure()
        for batch in ("b1", "b2"):
            self.check_access(batch, f"{batch}-0", {AMEND: 200, None: 200, STRANGER: 401})
        # The same submission again, as after a lost answer, and another one that happens to have the same id.
        self.assertEqual(self.submit(self.nodes[1], "b1", self.batch("b1", self.ITEMS), AMEND), 202)
        self.assertEqual(self.submit(self.nodes[2], "b1", self.batch("other", self.ITEMS), CAFE), 202)
        self.settle()
        self.speed_up()
        self.check_whole("b1", AMEND, "b1", self.ITEMS)
        self.check_whole("b2", AMEND, "b2", self.ITEMS)
        self.check_whole("b1", CAFE, "other", self.ITEMS)
        self.check_items("b1", None)
        self.check_items("other", "cafe")
        self.assertEqual(len(self.runs("b1")), self.ITEMS)
        self.assertEqual(self.end(self.nodes[0], "b2", AMEND), 200)

    def test_own_headers_of_items_say_nothing_of_the_owner(self):
        """Servers got a key that stood among an item's headers, and a tenant that stood behind a line break."""
        claims = {"Authorization": f"Bearer {CAFE}", "authorization": f"Bearer {CAFE}", "X-Tenant": "cafe",
                  "x-tenant": "cafe", "Connection": "X-Tenant", "Proxy-Authorization": "Basic YTpi",
                  "X-Api-Key": CAFE, "Host": "other.example"}
        for public, keys in (((), (AMEND,)), (ALL_ROUTES, KEYS)):
            self.configure(public)
            for key in keys:
                name = f"claims{len(public)}{KEYS[key]}"
                self.assertEqual(self.submit(self.nodes[0], name, self.batch(name, self.ITEMS, claims), key), 202)
                self.check_whole(name, key, name, self.ITEMS)
                self.check_items(name, KEYS[key])
                for run in self.runs(name):
                    self.assertEqual(run["headers"]["host"], HOST)
                    self.assertNotIn(CAFE, json.dumps(run["headers"]))
        smuggled = [{"X-Note": "a\r\nX-Tenant: cafe"}, {"X-Note": "a\nX-Tenant: cafe"}, {"X-Note\r\nX-Tenant": "cafe"},
                    {"X-Tenant ": "cafe"}, {"X-Tenant:": "cafe"}, {"": "cafe"}]
        for number, headers in enumerate(smuggled):
            with self.subTest(headers=headers):
                name = f"smuggled{number}"
                self.assertEqual(self.submit(self.nodes[0], name, self.batch(name, 1, headers), AMEND), 400)
        for number, path in enumerate(("/steps/1 HTTP/1.1\r\nX-Tenant: cafe\r\nX-Note:", "/steps/1 2", "")):
            with self.subTest(path=path):
                body = json.loads(self.batch(f"path{number}", 1))
                body["items"][0]["path"] = path
                self.assertEqual(self.submit(self.nodes[0], f"path{number}", json.dumps(body).encode(), AMEND), 400)
        self.settle()
        for name in [f"smuggled{n}" for n in range(len(smuggled))] + [f"path{n}" for n in range(3)]:
            self.assertFalse(self.runs(name), name)

    def test_calls_without_a_key_read_nothing_of_the_store(self):
        """A crowd of them must not use up the calls that all machines have together."""
        self.configure(ALL_ROUTES)
        reads = {}
        for key, status in ((None, 401), (AMEND, 404)):
            before = self.world.store.short_reads[INDEX]
            for number in range(10):
                self.assertEqual(self.read(self.nodes[number % 3], f"nothing{number}", key)[0], status)
            reads[key] = self.world.store.short_reads[INDEX] - before
        self.assertEqual(reads, {None: 0, AMEND: 10})

    def test_calls_without_a_key_are_refused_at_once_where_no_batch_comes_without(self):
        self.configure()
        for _ in range(CALLS):
            self.assertEqual(self.read(self.nodes[0], "nothing", None)[0], 401)

        def held():
            refused = [line for line in self.nodes[0].events("call.refused") if line["code"] == "unknown_key"]
            return [line["held_ms"] for line in refused] if len(refused) == CALLS else None
        self.assertLess(min(eventually(held, 5, "a log line for each call")), ARRIVAL_MS)


class Relayed(OwnershipCase):
    WORLD = PathsWorld
    ITEMS = 4

    def test_batches_that_another_machine_keeps_belong_to_the_key_that_came_with_them(self):
        """A machine that does not reach the store hands submissions on to one that does."""
        self.configure(ALL_ROUTES)
        cut = self.nodes[0]
        self.world.cut_off(cut)
        eventually(lambda: self.submit(cut, "first", self.batch("first", 1), AMEND) == 202, 10, "a submission relayed")
        for key, tenant in KEYS.items():
            self.assertEqual(self.submit(cut, "same", self.batch(f"{tenant}", self.ITEMS), key), 202)
        self.assertEqual(self.submit(cut, "x", self.batch("x", 1), STRANGER), 401)
        self.world.cut.clear()
        # Until it has read the store again it can't be sure and says so.
        eventually(lambda: self.read(cut, "first", AMEND)[0] == 200, 10, "the machine is back")
        for key, tenant in KEYS.items():
            self.check_whole("same", key, f"{tenant}", self.ITEMS)
            self.check_items(f"{tenant}", tenant)
        self.assertFalse(self.runs("x"))


class Scores(OwnershipCase):
    SCORERS = 2
    ITEMS = 6

    def test_scores_carry_neither_key_nor_tenant_on_public_routes(self):
        self.configure(ALL_ROUTES)
        for key, tenant in KEYS.items():
            name = f"{tenant}"
            self.assertEqual(self.submit(self.nodes[0], f"b-{name}", self.batch(name, self.ITEMS), key), 202)
            self.check_whole(f"b-{name}", key, name, self.ITEMS)
            self.check_items(name, tenant)
        calls = [call for scorer in self.world.scorers for call in scorer.requests]
        self.assertGreaterEqual(len(calls), self.ITEMS * len(KEYS))
        for call in calls:
            self.check_tenant(call, None)


del OwnershipCase

if __name__ == "__main__":
    unittest.main()
