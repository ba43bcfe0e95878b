"""HTTP/1.1 for the stand-ins: one request at a time, bodies with a length."""

import asyncio


class Message:
    """A request or a response."""

    def __init__(self, first_line, headers, body):
        self.words = first_line.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """The status code of a response."""
        return int(self.words[1])


async def read_head(reader):
    """Return the head of the next message, or None at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    return head


async def read_message(reader, head=None):
    """Return the next message, or None at the end of the connection.

    ``head`` is its head, if that has been read already.
    """
    head = head or await read_head(reader)
    if head is None:
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if "chunked" in headers.get("transfer-encoding", ""):
        return Message(first_line, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Message(first_line, headers, await reader.readexactly(length))


async def _read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def encode(first_line, headers, body=b""):
    """Return a message with its length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def ask(host, port, method, target, headers=None, body=b"", timeout_s=1.0):
    """Send one request on a new connection; None if there is no whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                fields = {"Host": f"{host}:{port}", **(headers or {})}
                writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
