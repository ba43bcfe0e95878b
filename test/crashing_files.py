"""In-memory files that lose unsynced data and fail at a chosen step."""

import random


class KilledError(Exception):
    """Simulates a kill of the process at a step."""


class Inode:
    """The content of one file, and how many of its bytes are durable."""

    def __init__(self, data=b""):
        self.data = data
        self.synced_bytes = len(data)


class CrashingFiles:
    """Implements `Files`; the step with the number ``fail_at`` raises ``error``."""

    folder = "memory"

    def __init__(self, error=KilledError, fail_at=None, seed=1):
        self.error = error
        self.fail_at = fail_at
        self.random = random.Random(seed)
        self.steps = 0
        self.inodes = {}
        self.durable = {}
        self.pending = []

    def names(self):
        return sorted(self.inodes)

    def read(self, name):
        return self.inodes[name].data

    def append(self, name, data):
        partial = self.random.randrange(len(data) + 1)
        inode = self.inodes.get(name)
        if inode is None:
            inode = self.inodes[name] = Inode()
            self.pending.append((name, inode))
        try:
            self._step()
        except Exception:
            inode.data += data[:partial]
            raise
        inode.data += data

    def sync(self, name):
        self._step()
        self.inodes[name].synced_bytes = len(self.inodes[name].data)

    def rename(self, old, new):
        self._step()
        inode = self.inodes[new] = self.inodes.pop(old)
        self.pending.append((old, None, new, inode))

    def remove(self, name):
        self._step()
        del self.inodes[name]
        self.pending.append((name, None))

    def sync_folder(self):
        self._step()
        self._keep(len(self.pending))

    def close(self):
        pass

    def reboot(self, error=KilledError, fail_at=None):
        """Simulate a reboot that loses a random part of the unsynced data."""
        self._keep(self.random.randrange(len(self.pending) + 1))
        self.pending = []
        for inode in self.durable.values():
            self._tear(inode)
        self.inodes = dict(self.durable)
        self.error, self.fail_at, self.steps = error, fail_at, 0

    def _tear(self, inode):
        kept = self.random.randint(inode.synced_bytes, len(inode.data))
        data = bytearray(inode.data[:kept])
        if self.random.random() < 0.5:
            start = self.random.randint(inode.synced_bytes, len(data))
            start = max(inode.synced_bytes, start - start % 512)
            stop = min(len(data), start - start % 512 + 512)
            data[start:stop] = bytes(stop - start)
        inode.data = bytes(data)
        inode.synced_bytes = len(data)

    def _keep(self, count):
        for change in self.pending[:count]:
            for name, inode in zip(change[::2], change[1::2], strict=True):
                if inode is None:
                    self.durable.pop(name, None)
                else:
                    self.durable[name] = inode
        del self.pending[:count]

    def _step(self):
        if self.fail_at == self.steps:
            raise self.error
        self.steps += 1
