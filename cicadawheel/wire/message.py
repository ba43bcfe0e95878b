"""Base class of the messages that are sent on streams."""

from typing import ClassVar

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of all messages, encoded as a msgpack array that starts with the tag.

    A class sets ``compresses`` to have its long messages compressed. This pays off for
    configurations and member lists, which are repetitive, but not for most call bodies.
    """

    compresses: ClassVar[bool] = False
