"""Authenticated streams of msgpack messages between the processes of a deployment."""

from cicadawheel.wire.message import Message
from cicadawheel.wire.stream import Stream, connect_stream, serve_streams

__all__ = ["Message", "Stream", "connect_stream", "serve_streams"]
