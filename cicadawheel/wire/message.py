"""The base of all messages that cross a stream."""

from typing import ClassVar

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base of all messages, sent as a msgpack array that begins with the tag.

    Long messages whose class ``compresses`` are sent compressed: rules and members
    repeat themselves, bodies of calls mostly don't.
    """

    compresses: ClassVar[bool] = False
