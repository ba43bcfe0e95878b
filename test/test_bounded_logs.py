"""Tests of log rate limiting and of non-blocking writes."""

import logging
import os

import pytest

from cicadawheel.logs import (
    LINE_LIMIT_BYTES,
    LINES_BURST,
    LINES_PER_S,
    BoundedHandler,
    KeyValueFormatter,
    TokenBucket,
)


class Clock:
    """A clock whose time the test sets."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_record(event, **fields):
    return logging.makeLogRecord({"event": event, "levelname": "INFO", **fields})


def make_handler(writer, clock):
    handler = BoundedHandler(writer, clock)
    handler.setFormatter(KeyValueFormatter(["levelname", "event"]))
    return handler


def read_lines(reader):
    try:
        return os.read(reader, 1 << 20).decode().splitlines()
    except BlockingIOError:
        return []


def test_event_flood_is_limited_and_dropped_lines_are_counted(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for number in range(1_000):
        handler.emit(make_record("flood", number=number))
    lines = read_lines(reader)
    assert len(lines) == int(LINES_BURST)
    clock.now_s += 1.0
    handler.emit(make_record("flood", number=-1))
    lines_after = read_lines(reader)
    assert f"event=lines_left_out lines={1_000 - int(LINES_BURST)}" in lines_after[0]
    assert "event=flood" in lines_after[1]


def test_event_flood_does_not_suppress_other_events(pipe):
    reader, writer = pipe
    handler = make_handler(writer, Clock())
    for number in range(1_000):
        handler.emit(make_record("flood", number=number))
    handler.emit(make_record("rare"))
    assert any("event=rare" in line for line in read_lines(reader))


def test_stalled_reader_does_not_block_writer(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for number in range(3_000):
        clock.now_s += 1.0
        handler.emit(make_record("steady", text="x" * 200, number=number))
    kept = read_lines(reader)
    assert 0 < len(kept) < 3_000
    clock.now_s += 1.0
    handler.emit(make_record("steady", number=-1))
    assert "event=lines_left_out" in read_lines(reader)[0]


def test_closed_reader_is_ignored():
    reader, writer = os.pipe()
    os.close(reader)
    make_handler(writer, Clock()).emit(make_record("any"))
    os.close(writer)


def test_long_line_is_truncated(pipe):
    reader, writer = pipe
    make_handler(writer, Clock()).emit(make_record("long", text="x" * 100_000))
    assert len(read_lines(reader)[0]) <= 4_000


def test_token_bucket_refills_over_time():
    bucket = TokenBucket(LINES_PER_S, 1.0)
    assert bucket.take(0.0)
    assert not bucket.take(0.01)
    assert bucket.take(0.01 + 1.0 / LINES_PER_S)


def test_long_line_is_cut_between_characters(pipe):
    reader, writer = pipe
    handler = make_handler(writer, Clock())
    handler.emit(make_record("x", reason="\N{EURO SIGN}" * LINE_LIMIT_BYTES))
    data = os.read(reader, 1 << 20)
    assert len(data) <= LINE_LIMIT_BYTES + 1
    assert data.decode().endswith("\N{EURO SIGN}\n")
