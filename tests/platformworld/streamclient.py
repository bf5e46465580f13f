"""A client of resumable event streams: it reads some events, loses its connection and takes the stream up again."""

from __future__ import annotations

import http.client
import itertools

from platformworld.texts import parse_event, software_of
from platformworld.world import HOST, KEY, Node

REQUEST_IDS = itertools.count()


class StreamClient:
    """`events` holds the data of all events that it got, over all its tries."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.body = f"prompt {name} {next(REQUEST_IDS)}".encode()
        self.events: list[str] = []
        self.first_request = ""  #: Brought the first event.
        self.status: int | None = None  #: Of the last try; None if no answer came.
        self.retry_after: str | None = None  #: Of the last answer.
        self.connection: http.client.HTTPConnection | None = None
        self.response = None

    def open(self, node: Node, name_beginning: bool = True, timeout: float = 5) -> int | None:
        """Begins the stream, or takes it up after the last event."""
        self.close()
        request = f"{self.name}-{next(REQUEST_IDS)}"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": request, "X-Deadline-Ms": "10000"}
        if self.events:
            headers["Last-Event-Id"] = str(parse_event(self.events[-1]).number)
            if name_beginning:
                headers["Resumes"] = self.first_request
        else:
            self.first_request = request
        self.connection = http.client.HTTPConnection(node.ip, node.ports["front"], timeout=timeout)
        self.status = None
        try:
            self.connection.request("POST", "/talks/1", self.body, headers)
            self.response = self.connection.getresponse()
            self.status = self.response.status
            self.retry_after = self.response.headers.get("Retry-After")
            if self.status != 200:
                self.response.read()
        except (OSError, http.client.HTTPException):
            self.close()
        return self.status

    def read(self, events: int) -> bool:
        """Reads so many further events, or to the end of the stream; False if it broke off before."""
        try:
            while events > 0:
                line = self.response.readline().decode()
                if not line:
                    return False
                if line.startswith("data: "):
                    self.events.append(line.removeprefix("data: ").strip())
                    events -= 1
        except (OSError, http.client.HTTPException):
            return False
        return True

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    @property
    def joined(self) -> bool:
        return len(software_of(self.events)) > 1

    @property
    def in_order(self) -> bool:
        return [parse_event(line).number for line in self.events] == list(range(1, len(self.events) + 1))
