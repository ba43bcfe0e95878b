"""Discards numbered announcements that arrive out of order."""

from cicadawheel.announcement import Announcement


class LastBeat:
    """Remembers the newest accepted announcement and rejects older ones.

    The boot id is the start time of the upstream in milliseconds, so a delayed
    announcement that arrives after the upstream has restarted is ignored.
    """

    def __init__(self):
        self._newest = (0, "", 0)

    def take(self, announcement: Announcement, number: int) -> bool:
        """Accept an announcement if it is newer than all previous ones."""
        born_ms = int(announcement.boot)
        newest_born_ms, upstream, newest_number = self._newest
        if born_ms < newest_born_ms:
            return False
        same = (born_ms, announcement.upstream) == (newest_born_ms, upstream)
        if same and number <= newest_number:
            return False
        self._newest = (born_ms, announcement.upstream, number)
        return True
