"""What an event of a stand-in engine holds: the item, its number, and the software and weights that made it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class EventData:
    item: str
    number: int
    software: str
    weights: int

    def __str__(self) -> str:
        return f"{self.item}/{self.number}/{self.software}/v{self.weights}"


def parse_event(line: str) -> EventData:
    item, number, software, weights = line.rsplit("/", 3)
    return EventData(item, int(number), software, int(weights.removeprefix("v")))


def software_of(lines: list[str]) -> set[str]:
    """Software versions that made the events; what two of them write does not fit together."""
    return {parse_event(line).software for line in lines}
