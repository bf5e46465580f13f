"""The whole path, and what holds without any failure."""

import unittest

from harness.case import ClusterCase
from harness.cluster import eventually


class Path(ClusterCase):
    def test_steps_and_orders(self):
        load = self.start_load(trainers=[self.trainer(weights_every_ms=1500)])
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)
        self.assertEqual(counted["requests_failed"], 0)
        eventually(lambda: len(self.cluster.stats("usage")["windows"]) > 0, 30, what="a usage window")
        self.assertEqual(self.cluster.stats("usage")["differing"], 0)

    def test_keys_reach_no_server(self):
        forms = (
            ("/v1/completions", {"Authorization": f"Bearer {self.key}"}),
            ("/v1/completions", {"X-Api-Key": self.key}),
            (f"/v1/completions?api_key={self.key}", {}),
            ("/v1/completions", {"Cookie": f"a=b; api_key={self.key}"}),
        )
        body = {"prompt": "p", "max_tokens": 2, "seed": 1}
        for number, (target, headers) in enumerate(forms):
            self.assertEqual(self.cluster.call(0, "POST", target, body, None, headers).status, 200, target)
            order = target.replace("/v1/completions", "/orders")
            answer = self.cluster.call(0, "POST", order, {"order": f"form-{number}"}, None, headers)
            self.assertEqual(answer.status, 200, answer.text)
        for name, process in self.cluster.processes.items():
            if name.rsplit("-", 1)[0] in self.cluster.counts:
                self.assertEqual(self.cluster.stats(name)["keys_seen"], 0, name)
            self.assertNotIn(self.key, (process.folder / f"{name}.log").read_text(), name)

    def test_wrong_key_is_refused_and_open_route_is_not(self):
        body = {"prompt": "p", "max_tokens": 2, "seed": 1}
        for key in (None, "wrong", self.key + "x", ""):
            answer = self.cluster.call(0, "POST", "/v1/completions", body, key)
            self.assertEqual(answer.status, 401, answer.text)
            self.assertEqual(answer.json()["error"]["ran"], "not_run")
        self.assertEqual(self.cluster.call(0, "GET", "/catalogue/mats").status, 200)
        self.assertEqual(self.cluster.call(0, "GET", "/catalogue/mats", key=self.key).status, 200)
        self.assertEqual(self.cluster.call(0, "GET", "/catalogue/mats", key="wrong").status, 401)
        self.assertEqual(self.cluster.call(0, "GET", "/nowhere", key=self.key).status, 404)

    def test_use_of_an_open_route_belongs_to_the_key_that_came_along(self):
        """It was the route's workspace's, and so was the share of the servers that it took."""
        other = self.cluster.deployment.workspaces[1]
        for number in range(6):
            key = self.cluster.deployment.key_of(other) if number % 2 == 0 else None
            self.assertEqual(self.cluster.call(0, "GET", f"/catalogue/mats{number}", key=key).status, 200)

        def used(workspace):
            return sum(figure["requests"] for window in self.cluster.stats("usage")["windows"]
                       for figure in window["figures"] if figure["workspace"] == workspace)
        eventually(lambda: used(other) == 3, 20, what="three requests in the windows of the key's workspace")


if __name__ == "__main__":
    unittest.main()
