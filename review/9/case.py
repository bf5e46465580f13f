"""A trainer's item whose path holds the end of a request and the beginning of another one."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from deployment import KEY, MODEL, TROUBLE, Deployment, main
from platformworld.httpd import Server

HOST, BATCH, TENANT, OTHER_TENANT = "desk.example", "b4c1", "amend", "victim"
ITEMS = ["a1", "a2", "a3"]
FORGED = "f0f0"
#: Of the second item. It is one string of the submission's JSON.
FORGED_PATH = (f"/steps/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {FORGED}\r\nX-Tenant: {OTHER_TENANT}\r\n"
               "X-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\nPOST /steps/2")
RUN_SECONDS = 4


class OrderlyServer(Server):
    """Serves the requests of a connection one after the other, as they stand in its bytes."""

    async def _exchange(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        self.on_head(head[:-2])
        reader._buffer[:0] = ("\r\n".join(head)).encode("latin-1")  # The base class reads it again.
        return await super()._exchange(_Patient(reader), writer)


class _Patient:
    """A reader that does not take the bytes of a next request for the end of the connection."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.readuntil, self.readexactly = reader.readuntil, reader.readexactly

    async def read(self, _count: int) -> bytes:
        while not self.reader.at_eof():
            await asyncio.sleep(0.02)
        return b""


def play(record) -> list[str]:
    world = Deployment(nodes=3, engines=2)
    heads: list[tuple[str, list[str]]] = []
    try:
        for engine in world.engines:
            engine.server.stop()
            server = OrderlyServer(world.loop, "127.0.0.1", 0, engine.handle)
            server.on_head = lambda head, name=engine.name: heads.append((name, head))
            engine.server = server.start()
            engine.address = server.endpoint
            engine.announce()
        world.change_configuration(lambda newest: newest["tenants"].append(
            {"name": OTHER_TENANT, "api_keys": ["a-key-that-only-the-other-tenant-has"]}))
        time.sleep(1.5)
        paths = [f"/steps/{number}" for number in range(len(ITEMS))]
        if TROUBLE:
            paths[1] = FORGED_PATH
        items = [{"id": item, "path": path, "headers": {"X-Model": MODEL, "X-Token-Usage": "20,40"},
                  "body": base64.b64encode(b"prompt").decode(), "tokens": 60, "group": item}
                 for item, path in zip(ITEMS, paths)]
        body = json.dumps({"step": 0, "model": MODEL, "min_version": 1, "group_count": 3, "items": items}).encode()
        status = world.nodes[0].call("POST", f"/steps/{BATCH}", body, key=KEY,
                                     headers={"X-Request-Id": BATCH, "X-Deadline-Ms": "12000"})[0]
        record.add(f"sent: batch {BATCH} of tenant {TENANT} with the items {ITEMS}, paths {paths!r}: {status}")
        time.sleep(RUN_SECONDS)
        world.nodes[0].call("DELETE", f"/v1/lots/{BATCH}")
        broken = []
        for engine in world.engines:
            for run in engine.requests:
                sender, tenant = run["id"], run["headers"].get("x-tenant")
                record.add(f"run at {engine.name}: id {sender}, tenant {tenant}")
                if sender not in ITEMS:
                    broken.append(f"UNASKED: {engine.name} ran a request with the id {sender}, which no client sent")
                if tenant != TENANT:
                    broken.append(f"UNASKED: {engine.name} ran a request for the tenant {tenant}; the key is of {TENANT}")
        for name, head in heads:
            if any(FORGED in line for line in head):
                record.add(f"read by {name}: {head!r}")
        return sorted(set(broken))
    finally:
        world.close()


main(__file__, play)
