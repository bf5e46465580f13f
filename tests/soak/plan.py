"""What happens in a run: a list of faults that a seed draws, in series and overlapping."""

from __future__ import annotations

import dataclasses
import random

#: Breaks that a link may suffer, as the fault proxy names them.
LINK_MODES = ("cut", "freeze_open", "freeze_all", "drop_to_target", "drop_to_caller", "lose_answers", "delay")
STORE_MODES = ("busy", "silent", "reset")
#: Work that operators announce; it must cut nothing.
PLANNED = ("terminate", "reload", "configure", "drain", "revoke", "release")
#: Faults with their weight in the draw.
UNPLANNED = {"kill": 3, "herd": 1, "pause": 3, "store_link": 3, "server_link": 4, "front_link": 2, "store_down": 2,
             "store_part": 2,
             "store_slow": 1, "store_lost": 2, "store_late": 1, "store_forgets": 1, "server_crash": 4,
             "server_slow": 1, "server_fail": 1, "clock": 1, "limit": 4, "replace": 2, "drain_unrecorded": 3,
             "evacuate_in_gap": 1, "garble": 1}
#: Every so many seeds have planned work only, so that what it cuts is seen.
PLANNED_ONLY_EVERY = 4
#: How many faults are met by another one on the same machine or server.
COMPANION_SHARE = 0.4
#: Every so many seeds the platform and the engines check no fencing numbers.
UNCHECKED_EVERY = 2
#: Every so many seeds two software versions serve from the beginning.
SEVERAL_VERSIONS_EVERY = 3


@dataclasses.dataclass(frozen=True)
class Fault:
    at: float
    seconds: float
    kind: str
    target: int
    variant: str = ""
    strength: float = 0.0

    @property
    def planned(self) -> bool:
        return self.kind in PLANNED


def planned_only(seed: int) -> bool:
    return seed % PLANNED_ONLY_EVERY == 0


def peers_check_fences(seed: int) -> bool:
    return seed % UNCHECKED_EVERY == 0


def several_versions(seed: int) -> bool:
    return seed % SEVERAL_VERSIONS_EVERY == 0


def draw(seed: int, seconds: float) -> list[Fault]:
    """The same faults for the same seed and length. Some meet a second one on the same machine or server, since much
    goes wrong only during a recovery."""
    dice = random.Random(seed)
    kinds = list(PLANNED) if planned_only(seed) else list(UNPLANNED) + list(PLANNED)
    weights = [1 if kind in PLANNED else UNPLANNED[kind] for kind in kinds]
    faults = []
    for _ in range(dice.randint(4, 9)):
        first = draw_one(dice, dice.choices(kinds, weights)[0], dice.uniform(0.5, seconds - 1), dice.randrange(1000))
        faults.append(first)
        if dice.random() < COMPANION_SHARE:
            at = min(seconds, first.at + dice.uniform(0, first.seconds + 1))
            faults.append(draw_one(dice, dice.choices(kinds, weights)[0], at, first.target))
    return sorted(faults, key=lambda fault: fault.at)


def draw_one(dice: random.Random, kind: str, at: float, target: int) -> Fault:
    variant = ""
    if kind == "store_down":
        variant = dice.choice(STORE_MODES)
    elif kind.endswith("_link"):
        variant = dice.choice(LINK_MODES)
    return Fault(at=round(at, 2), seconds=round(dice.uniform(0.3, 4.0), 2), kind=kind, target=target, variant=variant,
                 strength=round(dice.random(), 2))
