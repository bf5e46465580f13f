"""Request limits that backend servers name, and whether a server got more than its limit allows."""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Callable

#: From the users' pages: a limit is judged from this long after it was first named, in seconds.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


@dataclasses.dataclass
class LimitSpan:
    """A time during which a server names one limit in its answers; `per_second` counts requests of all machines."""

    since: float
    per_second: float | None
    until: float = float("inf")


class LimitHistory:
    """What one server named and what it got. Requests of all machines count, also of those that have not been told yet,
    which is stricter than the rule."""

    def __init__(self) -> None:
        self.spans: list[LimitSpan] = []
        self.first_named_at: float | None = None
        self.arrivals: list[tuple[float, str]] = []  #: When, and the request's id.

    def change(self, per_second: float | None, now: float) -> None:
        if self.spans:
            self.spans[-1].until = now
        self.spans.append(LimitSpan(now, per_second))

    @property
    def current(self) -> float | None:
        return self.spans[-1].per_second if self.spans else None

    def note_arrival(self, now: float, request: str = "") -> None:
        """The answer to a request that arrives under a limit names it."""
        if self.current is not None and self.first_named_at is None:
            self.first_named_at = now
        self.arrivals.append((now, request))

    def allowed(self, since: float, until: float) -> float | None:
        """What a window allows in all; None if the server named no limit for a part of it."""
        total = 0.0
        for span in self.spans:
            length = min(span.until, until) - max(span.since, since)
            if length <= 0:
                continue
            if span.per_second is None:
                return None
            total += span.per_second * length
        return total * ALLOWED_FACTOR + ALLOWED_EXTRA

    def violations(self, name: str, counts: Callable[[float, str], bool] = lambda at, request: True) -> list[str]:
        """At most one line: the window that is furthest above what it allows. `counts` leaves out requests of machines
        that are excused at the time."""
        if self.first_named_at is None:
            return []
        start = self.first_named_at + CONTACT_SECONDS
        arrivals = [at for at, request in self.arrivals if at >= start and counts(at, request)]
        worst, line = 0.0, ""
        for index, since in enumerate(arrivals):
            until = since + WINDOW_SECONDS
            allowed = self.allowed(since, until)
            if allowed is None:
                continue
            count = bisect.bisect_right(arrivals, until) - index
            if count - allowed > worst:
                worst = count - allowed
                line = (f"LIMIT: {name} got {count} requests in {WINDOW_SECONDS:g} s,"
                        f" {since - self.first_named_at:.1f} s after it first named a limit; {allowed:.0f} are allowed")
        return [line] if line else []
