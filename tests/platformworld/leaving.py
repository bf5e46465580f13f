"""DRAIN for servers that say in their answers that they leave, judged by what clients and servers saw."""

from __future__ import annotations

import collections
import dataclasses

#: From the users' pages, in seconds.
DRAIN_SECONDS = 2.0
#: A server and the start of its process: (name, Unix milliseconds).
Process = tuple[str, int]


class LeavingHistory:
    """What the processes at one place got, and which of their answers said that they leave."""

    def __init__(self) -> None:
        self.arrivals: list[tuple[float, str, Process]] = []  #: When, the request's id, and who got it.
        self.said: dict[str, Process] = {}  #: By request.


@dataclasses.dataclass
class Excuse:
    """A restart or a freeze of a machine."""

    machine: str
    since: float
    until: float


class LeavingJudge:
    """Counts requests that clients sent later than DRAIN_SECONDS after the machine had passed on an answer of the same
    process that said it leaves."""

    def __init__(self, histories: list[LeavingHistory], excuses: list[Excuse] = ()) -> None:
        self.histories, self.excuses = histories, list(excuses)
        self.sent: dict[str, tuple[str, float]] = {}
        self.passed_on: dict[tuple[str, Process], list[float]] = collections.defaultdict(list)
        self.said = {request: process for history in histories for request, process in history.said.items()}

    def note_sent(self, request: str, machine: str, at: float) -> None:
        self.sent[request] = (machine, at)

    def note_answer(self, request: str, machine: str, at: float) -> None:
        """An answer with the header reached a client."""
        if request in self.said:
            self.passed_on[machine, self.said[request]].append(at)

    def excused(self, machine: str, since: float, until: float) -> bool:
        return any(excuse.machine == machine and excuse.since <= until and since <= excuse.until
                   for excuse in self.excuses)

    def violations(self) -> list[str]:
        found = []
        for history in self.histories:
            for at, request, process in history.arrivals:
                machine, sent_at = self.sent.get(request, (None, 0.0))
                told = [time for time in self.passed_on.get((machine, process), ())
                        if sent_at > time + DRAIN_SECONDS and not self.excused(machine, time, at)]
                if told:
                    found.append(f"DRAIN: {request} was sent to {machine} {sent_at - min(told):.2f} s after it had passed"
                                 f" on that {process[0]} leaves, and reached it")
        return found
