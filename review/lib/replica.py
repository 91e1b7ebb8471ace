"""Base of the replica stand-ins: an HTTP/1.1 server in a process of its own that writes down what it gets and runs."""

import asyncio
import json
import sys
import time


class Replica:
    """Subclasses say in serve() how a request is answered."""

    def __init__(self):
        self.options = json.loads(sys.argv[1])
        self.name = self.options["name"]
        self.journal = open(self.options["journal"], "a", encoding="utf-8")

    def note(self, what, attempt, **more):
        self.journal.write(json.dumps({"at": time.monotonic(), "what": what, "attempt": attempt, **more}) + "\n")
        self.journal.flush()

    def run(self):
        asyncio.run(self.listen())

    async def listen(self):
        server = await asyncio.start_server(self.connection, self.options["host"], self.options["port"])
        async with server:
            await server.serve_forever()

    async def connection(self, reader, writer):
        writer.reader = reader
        try:
            while await self.request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def request(self, reader, writer):
        """Reads one request and answers it. Returns whether the connection stays open."""
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode().split()
        headers = {}
        while (line := (await reader.readline()).strip()):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-replica", self.name) != self.name:
            self.note("misdirected", attempt)
            self.head(writer, 421, attempt, length=0, Not_Executed="1")
            await writer.drain()
            return True
        self.note("arrived", attempt, path=path, prefix=headers.get("prompt-prefix", ""))
        return await self.serve(writer, method, path, headers, body, attempt)

    def caller_left(self, writer):
        """Whether the other side has closed or reset the connection, or this side could not write."""
        reader = writer.reader
        return reader.at_eof() or reader.exception() is not None or writer.transport.is_closing()

    def head(self, writer, status, attempt, length=None, **more):
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {attempt}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def seal(self, attempt):
        return f"3e1b.07.{self.name}.{attempt}"
