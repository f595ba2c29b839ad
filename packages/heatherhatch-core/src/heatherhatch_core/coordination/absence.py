"""Absence: when the grants of a node that is gone may be used again."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AbsenceWatch:
    """How long each holder has been missing from the registry.

    A node that is gone, or paused, may have started work until its evidence of
    standing ran out, at most one standing period after its entry was gone. That
    work ends within the bound that its part carries. Both spans count by this
    node's own monotonic clock from the moment when it saw the entry gone.

    Attributes:
        standing_s: Seconds for which a node's evidence counts.
        since_s: When each missing holder was first seen missing.
    """

    standing_s: float
    since_s: dict[str, float] = field(default_factory=dict)

    def observe(
        self, holders: Iterable[str], live: Iterable[str], now_s: float
    ) -> "AbsenceWatch":
        """Return the watch after the registry was read.

        Args:
            holders: Holders with a part in some record.
            live: Holders that are registered.
            now_s: When the answer had come, monotonic seconds.
        """
        gone = set(holders) - set(live)
        since = {name: self.since_s.get(name, now_s) for name in gone}
        return dataclasses.replace(self, since_s=since)

    def interrupted(self) -> "AbsenceWatch":
        """Return the watch after an outage of the store: waiting starts anew.

        In an outage leases lapse although their nodes live and work.
        """
        return dataclasses.replace(self, since_s={})

    def over(self, holder: str, ends_by_s: float, now_s: float) -> bool:
        """Tell whether all work of a missing holder has ended.

        Args:
            holder: Name of the holder.
            ends_by_s: Bound that its part carries.
            now_s: Monotonic seconds.
        """
        since = self.since_s.get(holder)
        if since is None:
            return False
        return now_s - since >= self.standing_s + ends_by_s
