"""A loopback proxy between one node and the store that can let open connections go silent while new ones work."""

from __future__ import annotations

import asyncio

from platformworld.httpd import Loop


class Link:
    """One connection: bytes go both ways until it is silenced; then they go nowhere, and nobody is told."""

    def __init__(self) -> None:
        self.silent = False
        self.last_request = b""

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_request: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.silent:
                    continue
                if is_request and data.split(b" ", 1)[0] in (b"GET", b"POST"):
                    self.last_request = data.split(b"\r\n", 1)[0]
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        if not self.silent:
            writer.close()


class Proxy:
    def __init__(self, loop: Loop, target: str) -> None:
        self.loop, self.target = loop, target.rsplit(":", 1)
        self.links: list[Link] = []
        self.endpoint = ""

    def start(self) -> "Proxy":
        self.loop.run(self._start())
        return self

    async def _start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.endpoint = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link()
        try:
            there_reader, there_writer = await asyncio.open_connection(self.target[0], int(self.target[1]))
        except OSError:
            writer.close()
            return
        self.links.append(link)
        await asyncio.gather(link.pump(reader, there_writer, True), link.pump(there_reader, writer, False))
        self.links.remove(link)

    def silence(self, wanted) -> list[str]:
        """Silences the open links for which `wanted(first line of its last request)` holds. Returns those lines."""
        async def do() -> list[str]:
            chosen = [link for link in self.links if not link.silent and wanted(link.last_request)]
            for link in chosen:
                link.silent = True
            return [link.last_request.decode() for link in chosen]
        return self.loop.run(do())

    def open_links(self) -> list[str]:
        async def do() -> list[str]:
            return [link.last_request.decode() for link in self.links if not link.silent]
        return self.loop.run(do())
