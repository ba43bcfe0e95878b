"""A small HTTP/1.1 client and the parser that the stand-ins share."""

import asyncio


class Reply:
    """A complete answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields of a message, with lower-case names."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a message whose head has been read."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> Reply:
    """Send a request on an open connection and return the answer."""
    writer.write(data)
    first, fields = await read_head(reader)
    return Reply(int(first.split()[1]), fields, await read_body(reader, fields))


def encode_request(
    method: str, target: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request; a body is sent with its length."""
    if body or method == "POST":
        fields = {**fields, "Content-Length": str(len(body))}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Reply | None:
    """Send one request on a new connection; return None without a whole answer."""
    data = encode_request(
        method, target, {"Host": f"{address[0]}:{address[1]}", **(fields or {})}, body
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            return await exchange(reader, writer, data)
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
