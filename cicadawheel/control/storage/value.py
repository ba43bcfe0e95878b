"""Files that hold a single value and are replaced atomically."""

from typing import Any

import msgspec

from cicadawheel.control.storage.files import Files
from cicadawheel.control.storage.record import encode_record, scan_records
from cicadawheel.errors import CorruptionError

TEMPORARY_SUFFIX = ".new"
REMEDY = (
    "remove this replica from the members, and add it again with an empty folder "
    "under a new replica id"
)


def replace_file(files: Files, name: str, data: bytes) -> None:
    """Replace a file atomically and durably."""
    temporary = name + TEMPORARY_SUFFIX
    files.append(temporary, data)
    files.sync(temporary)
    files.rename(temporary, name)
    files.sync_folder()


def write_value(files: Files, name: str, value: Any) -> None:
    """Replace a file by one that holds an encoded value, atomically and durably."""
    replace_file(files, name, encode_record(msgspec.msgpack.encode(value)))


def read_value(files: Files, name: str, kind: Any) -> Any:
    """Return the value that a file holds.

    Raises
    ------
    CorruptionError
        The file doesn't hold exactly one valid record of the type.
    """
    scan = scan_records(files.read(name))
    if scan.torn or len(scan.contents) != 1:
        raise make_corruption_error(files, name, scan.valid_bytes)
    return decode_value(files, name, scan.contents[0], kind)


def decode_value(files: Files, name: str, content: bytes, kind: Any) -> Any:
    """Decode the value in a record of a file.

    Raises
    ------
    CorruptionError
        The content isn't a value of the type.
    """
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise make_corruption_error(files, name, 0) from error


def make_corruption_error(
    files: Files, name: str, offset_bytes: int
) -> CorruptionError:
    """Return the error for a corrupt file, with the offset and the remedy."""
    path = f"{files.folder}/{name}"
    return CorruptionError(
        f"file {path} is corrupt at byte {offset_bytes}; {REMEDY}",
        step="load",
        peer=path,
    )
