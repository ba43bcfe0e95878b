"""Tells numbered announcements that arrive late from those that are news."""

from cicadawheel.announcement import Announcement


class LastBeat:
    """The newest announcement that was taken.

    The start of an upstream is known by its time, so that a beat which was held up
    and arrives after a later start of an upstream changes nothing.
    """

    def __init__(self):
        self._newest = (0, "", 0)

    def take(self, announcement: Announcement, number: int) -> bool:
        """Return whether an announcement is newer than all before."""
        born_ms = int(announcement.boot)
        newest_born_ms, upstream, newest_number = self._newest
        if born_ms < newest_born_ms:
            return False
        same = (born_ms, announcement.upstream) == (newest_born_ms, upstream)
        if same and number <= newest_number:
            return False
        self._newest = (born_ms, announcement.upstream, number)
        return True
