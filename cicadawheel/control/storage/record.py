"""Checksummed records, and the detection of torn writes and corruption.

A record is a header and its content. The header holds magic bytes, the size and the
checksum of the content, and a checksum of the header itself. A record is written only
after the previous one is durable, so an invalid record that is followed by a valid
one is corruption, not a torn write.
"""

import struct
import zlib

import msgspec

HEADER = struct.Struct(">4sIII")
HEADER_CHECKSUMMED_BYTES = 12
MAGIC = b"\xc9CW\n"
SECTOR_BYTES = 512


class ScanResult(msgspec.Struct, frozen=True):
    """The valid records at the start of a file.

    ``valid_bytes`` is the offset at which they end. ``torn`` is set if more bytes
    follow, ``corrupt`` if those bytes can't be the result of a crash during a write.
    """

    contents: tuple[bytes, ...]
    valid_bytes: int
    torn: bool
    corrupt: bool


def encode_record(content: bytes) -> bytes:
    """Return the record with the given content."""
    header = HEADER.pack(MAGIC, len(content), zlib.crc32(content), 0)[
        :HEADER_CHECKSUMMED_BYTES
    ]
    return header + struct.pack(">I", zlib.crc32(header)) + content


def scan_records(data: bytes) -> ScanResult:
    """Return the valid records at the start of a file, and the state of its tail."""
    contents = []
    start = 0
    while (content := _content_at(data, start)) is not None:
        contents.append(content)
        start += HEADER.size + len(content)
    torn = start < len(data)
    corrupt = torn and (_has_later_record(data, start) or _is_damaged(data, start))
    return ScanResult(tuple(contents), start, torn, corrupt)


def _content_at(data: bytes, start: int) -> bytes | None:
    size = _size_at(data, start)
    if size is None:
        return None
    content = data[start + HEADER.size : start + HEADER.size + size]
    if len(content) < size:
        return None
    if zlib.crc32(content) != HEADER.unpack_from(data, start)[2]:
        return None
    return content


def _size_at(data: bytes, start: int) -> int | None:
    header = data[start : start + HEADER.size]
    if len(header) < HEADER.size:
        return None
    magic, size, _, checksum = HEADER.unpack(header)
    if magic != MAGIC or zlib.crc32(header[:HEADER_CHECKSUMMED_BYTES]) != checksum:
        return None
    return size


def _has_later_record(data: bytes, start: int) -> bool:
    at = data.find(MAGIC, start + 1)
    while at >= 0:
        if _content_at(data, at) is not None:
            return True
        at = data.find(MAGIC, at + 1)
    return False


def _is_damaged(data: bytes, start: int) -> bool:
    """Return whether the last record is full size and has no unwritten sector.

    A torn write leaves a file that is too short, or sectors that are all zeros.
    """
    if len(data) - start < HEADER.size:
        return False
    size = _size_at(data, start)
    end = len(data) if size is None else start + HEADER.size + size
    if end > len(data):
        return False
    return not _has_empty_sector(data, start, end)


def _has_empty_sector(data: bytes, start: int, end: int) -> bool:
    at = start
    while at < end:
        stop = min(end, at - at % SECTOR_BYTES + SECTOR_BYTES)
        if not any(data[at:stop]):
            return True
        at = stop
    return False
