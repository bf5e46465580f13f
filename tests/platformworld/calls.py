"""Calls of lease holders as a peer sees them that checks no fencing numbers."""

from __future__ import annotations

#: Two machines must not act by turns within this time.
HOLDER_TURN_SECONDS = 3


def check_unchecked_calls(subject: str, calls: list[tuple[float, int, str]]) -> list[str]:
    """A peer that checks no fencing numbers sees them never fall, and no holders that act by turns."""
    found = []
    highest, last, acted_at = 0, "", {}
    for at, fence, holder in calls:
        if fence < highest:
            found.append(f"ONE: {subject} got a call under {fence} after one under {highest}")
        if holder != last and at - acted_at.get(holder, -HOLDER_TURN_SECONDS) < HOLDER_TURN_SECONDS:
            found.append(f"ONE: {holder} acted on {subject} again {at - acted_at[holder]:.2f} s after another holder")
        highest, last, acted_at[holder] = max(highest, fence), holder, at
    return found
