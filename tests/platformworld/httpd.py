"""A small asyncio HTTP/1.1 server for the stand-ins of the platform; it runs on a thread of its own."""

from __future__ import annotations

import asyncio
import dataclasses
import threading
import urllib.parse


@dataclasses.dataclass
class Request:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Answer:
    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    #: An async generator of chunks in place of the body.
    chunks: object = None
    #: What the chunks add up to; then they are sent with a length in place of chunked.
    length: int | None = None
    #: Seconds after which a second copy of the answer is written to the same connection.
    late_copy: float | None = None


@dataclasses.dataclass
class Spoiled:
    """What a server sends in place of an answer."""

    sent: bytes
    closes: bool = False  #: The connection ends behind it.


class Silence(Exception):
    """The request gets no answer, and its connection stays open."""


class Reset(Exception):
    """The connection ends without an answer."""


class Loop:
    """The event loop that all stand-ins of a test share."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


class Server:
    """Serves `handle(request)` at one address; `stop` cuts all connections. `spoil(request, answer, body)` may
    give a Spoiled answer, which is sent in place of the sound one."""

    def __init__(self, loop: Loop, host: str, port: int, handle) -> None:
        self.loop, self.host, self.port, self.handle = loop, host, port, handle
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = None
        self.spoil = None

    @property
    def endpoint(self) -> str:
        return f"{self.host}:{self.port}"

    def start(self) -> "Server":
        self.loop.run(self._start())
        return self

    async def _start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self.loop.run(self._stop())

    async def _stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, Reset):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _exchange(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {}
        for line in head[1:]:
            if line:
                name, value = line.split(":", 1)
                # A field that stands twice must not look like one that stands once.
                name, value = name.strip().lower(), value.strip()
                headers[name] = f"{headers[name]}, {value}" if name in headers else value
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path, _, query = target.partition("?")
        request = Request(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
        try:
            answer = await self.handle(request)
        except Silence:
            await asyncio.sleep(3600)
            return False
        if self.spoil is not None:
            body = answer.body if answer.chunks is None else b"".join([chunk async for chunk in answer.chunks])
            spoiled = self.spoil(request, answer, body)
            if spoiled is not None:
                writer.write(spoiled.sent)
                await writer.drain()
                if spoiled.closes:
                    writer.write_eof()
                    await reader.read(1)
                return not spoiled.closes
            answer = dataclasses.replace(answer, body=body, chunks=None)
        if answer.chunks is None:
            await self._write(writer, answer)
            return True
        # Like a model engine: a run is dropped when its connection closes.
        writing = asyncio.create_task(self._write(writer, answer))
        closing = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait({writing, closing}, return_when=asyncio.FIRST_COMPLETED)
        if writing not in done:
            writing.cancel()
        outcome = (await asyncio.gather(writing, return_exceptions=True))[0]
        await answer.chunks.aclose()
        if isinstance(outcome, Reset):
            raise outcome
        if closing in done:
            return False
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        return True

    @staticmethod
    def _write_copy(writer, whole: bytes) -> None:
        if not writer.is_closing():
            writer.write(whole)

    async def _write(self, writer, answer: Answer) -> None:
        lines = [f"HTTP/1.1 {answer.status} X"] + [f"{name}: {value}" for name, value in answer.headers.items()]
        if answer.chunks is None:
            lines.append(f"Content-Length: {len(answer.body)}")
            whole = "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
            writer.write(whole)
            await writer.drain()
            if answer.late_copy is not None:
                asyncio.get_running_loop().call_later(answer.late_copy, self._write_copy, writer, whole)
            return
        if answer.length is not None:
            lines.append(f"Content-Length: {answer.length}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            async for chunk in answer.chunks:
                writer.write(chunk)
                await writer.drain()
            return
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        async for chunk in answer.chunks:
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
