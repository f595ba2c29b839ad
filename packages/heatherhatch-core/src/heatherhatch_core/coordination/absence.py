"""Absence: when the grants of a node that has left may be reclaimed."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AbsenceWatch:
    """How long each holder has been missing from the registry.

    A node that has left or is paused may have started work until its evidence of
    standing expired, at most one standing period after its entry was removed.
    That work ends within the bound that is recorded with its part. Both periods
    are measured by this node's monotonic clock from the moment at which it
    noticed that the entry was missing.

    Attributes:
        standing_s: Seconds for which a node's evidence is valid.
        since_s: When each missing holder was first seen to be missing, monotonic
            seconds, by holder.
    """

    standing_s: float
    since_s: dict[str, float] = field(default_factory=dict)

    def observe(
        self, holders: Iterable[str], live: Iterable[str], now_s: float
    ) -> "AbsenceWatch":
        """Return the watch after the registry was read.

        Args:
            holders: Holders that have a part in any record.
            live: Holders that are registered.
            now_s: When the response was received, monotonic seconds.
        """
        missing = set(holders) - set(live)
        since = {name: self.since_s.get(name, now_s) for name in missing}
        return dataclasses.replace(self, since_s=since)

    def interrupted(self) -> "AbsenceWatch":
        """Return the watch after an outage of the store, with all periods reset.

        During an outage leases lapse although their nodes are live and working.
        """
        return dataclasses.replace(self, since_s={})

    def has_ended(self, holder: str, ends_by_s: float, now_s: float) -> bool:
        """Return whether all work of a missing holder has ended.

        Args:
            holder: Name of the holder.
            ends_by_s: Seconds within which work under the holder's part ends.
            now_s: Current monotonic time in seconds.
        """
        since = self.since_s.get(holder)
        if since is None:
            return False
        return now_s - since >= self.standing_s + ends_by_s
