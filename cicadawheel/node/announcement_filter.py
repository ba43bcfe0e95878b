"""Discards announcements that arrive after newer ones or after the upstream left."""

from collections import OrderedDict

from cicadawheel.announcement import Announcement, Leave
from cicadawheel.ids import BootId, UpstreamId

DEPARTURE_LIMIT = 1_000
"""Number of departures that a node remembers."""


class AnnouncementFilter:
    """Remembers the newest accepted announcement, and the upstreams that left.

    The boot id of a numbered announcement is the start time of the upstream in
    milliseconds, so a delayed announcement that arrives after the upstream has
    restarted is ignored.
    """

    def __init__(self):
        self._newest = (0, "", 0)
        self._left: OrderedDict[tuple[UpstreamId, BootId], None] = OrderedDict()
        self._left_at_unix_ms: OrderedDict[UpstreamId, int] = OrderedDict()

    def accept(self, announcement: Announcement, number: int) -> bool:
        """Accept an announcement and return true if it is newer than all before."""
        boot_ms = int(announcement.boot)
        newest_boot_ms, upstream, newest_number = self._newest
        if boot_ms < newest_boot_ms:
            return False
        same_boot = (boot_ms, announcement.upstream) == (newest_boot_ms, upstream)
        if same_boot and number <= newest_number:
            return False
        self._newest = (boot_ms, announcement.upstream, number)
        return True

    def leave(self, leave: Leave, now_unix_ms: int) -> None:
        """Record that an upstream has left, whether it is known or not.

        A leave without a boot id ends all boots of the upstream that started before.
        """
        if leave.boot:
            self._left[leave.upstream, leave.boot] = None
        else:
            self._left_at_unix_ms[leave.upstream] = now_unix_ms
        for departures in (self._left, self._left_at_unix_ms):
            if len(departures) > DEPARTURE_LIMIT:
                departures.popitem(last=False)

    def has_left(self, announcement: Announcement) -> bool:
        """Return whether the announced boot of an upstream has left before."""
        if (announcement.upstream, announcement.boot) in self._left:
            return True
        left_at_unix_ms = self._left_at_unix_ms.get(announcement.upstream, 0)
        return 0 < announcement.started_unix_ms <= left_at_unix_ms
