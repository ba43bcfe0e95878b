"""The append-only record of requests at upstreams, and counts derived from it."""

import os
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

import msgspec

RECORD_SUFFIX = ".record"


class RecordKind(Enum):
    """The kind of an event at an upstream."""

    STARTED = "started"
    RUN = "run"
    SHED = "shed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    CRASH = "crash"
    OVERLOAD = "overload"
    FELL_BACK = "fell back"
    LEFT = "left"


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a record. ``key`` is the idempotency key, if the request has one."""

    kind: RecordKind
    at_ms: int
    upstream: str
    boot: str
    service: str
    version: str
    data_centre: str
    token: str = ""
    attempt: str = ""
    key: str = ""
    request: str = ""
    method: str = ""
    path: str = ""
    in_flight: int = 0
    leaving: bool = False


class RecordWriter:
    """Appends records to a file, each with one unbuffered write.

    Parameters
    ----------
    path : Path
        The file; it is created if it does not exist.
    """

    def __init__(self, path: Path):
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)

    def append(self, record: Record) -> None:
        """Append one record; it survives a later crash of the process."""
        os.write(self._file, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def read_records(folder: Path) -> list[Record]:
    """Return all records of a folder, sorted by time.

    A last line without a line feed is still being written, and is skipped.
    """
    decoder = msgspec.json.Decoder(Record)
    records = []
    for path in sorted(folder.glob(f"*{RECORD_SUFFIX}")):
        whole, _, _ = path.read_bytes().rpartition(b"\n")
        lines = whole.splitlines()
        records += [decoder.decode(line) for line in lines]
    return sorted(records, key=lambda record: record.at_ms)


def runs_by_key(records: Iterable[Record]) -> Counter:
    """Return the number of runs for each pair of service and idempotency key."""
    return Counter(
        (record.service, record.key)
        for record in records
        if record.kind is RecordKind.RUN and record.key
    )


def count_ran_twice(records: Iterable[Record]) -> int:
    """Return the number of idempotency keys that ran more than once."""
    return sum(1 for runs in runs_by_key(records).values() if runs > 1)


def count_run_of_attempts(records: Iterable[Record], attempts: set[str]) -> int:
    """Return the number of given attempts that ran, for example of refused ones."""
    ran = {record.attempt for record in records if record.kind is RecordKind.RUN}
    return len(ran & attempts)


def count_kind(records: Iterable[Record], kind: RecordKind) -> int:
    """Return the number of records of a kind."""
    return sum(1 for record in records if record.kind is kind)
