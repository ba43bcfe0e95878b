"""Discards numbered announcements that arrive out of order."""

from cicadawheel.announcement import Announcement


class AnnouncementFilter:
    """Remembers the newest accepted announcement and rejects older ones.

    The boot id is the start time of the upstream in milliseconds, so a delayed
    announcement that arrives after the upstream has restarted is ignored.
    """

    def __init__(self):
        self._newest = (0, "", 0)

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
