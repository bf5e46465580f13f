"""Small HTTP calls with JSON, for tests."""

from __future__ import annotations

import dataclasses
import http.client
import json


@dataclasses.dataclass
class Answer:
    status: int
    headers: dict
    text: str

    def json(self):
        return json.loads(self.text)


def call(endpoint: str, method: str, target: str, body=None, headers=None, timeout: float = 10) -> Answer:
    """One request on a connection of its own; raises OSError or HTTPException when it breaks."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
        sent = {"Content-Type": "application/json"} if data is not None else {}
        connection.request(method, target, data, {**sent, **(headers or {})})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read().decode(errors="replace"))
    finally:
        connection.close()
