"""A model replica that preempts a request in the middle of its stream now and then, and goes on with it later."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from replica import Replica  # noqa: E402

QUEUE = 24  # requests that wait for a slot


class PreemptingReplica(Replica):
    def __init__(self):
        super().__init__()
        self.streams = 0
        self.waiting = 0
        self.slots = None

    async def serve(self, writer, method, path, headers, body, attempt):
        self.slots = self.slots or asyncio.Semaphore(self.options["slots"])
        if self.slots.locked() and self.waiting >= QUEUE:
            self.note("full", attempt)
            self.head(writer, 503, attempt, length=0, Not_Executed="1")
            await writer.drain()
            return True
        work = asyncio.ensure_future(self.work(writer, headers, attempt))
        # Drops the request as soon as its connection is closed.
        while not work.done():
            await asyncio.wait({work}, timeout=0.005)
            if not work.done() and self.caller_left(writer):
                self.note("caller_left", attempt)
                work.cancel()
                await asyncio.wait({work})
                return False
        work.result()
        return True

    async def work(self, writer, headers, attempt):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.stream(writer, headers, attempt)
        finally:
            self.slots.release()

    async def stream(self, writer, headers, attempt):
        self.streams += 1
        every = self.options["preempt_every"]
        preempted = every > 0 and self.streams % every == 0
        await asyncio.sleep(self.options["first_event_s"])
        self.head(writer, 200, attempt, Replica_Seal=self.seal(attempt), Content_Type="text/event-stream",
                  Transfer_Encoding="chunked")
        self.note("run", attempt)
        last = int(headers.get("last-event-id", 0))
        for number in range(last + 1, self.options["events"] + 1):
            if preempted and number == self.options["events"] // 2:
                self.note("preempted", attempt)
                await asyncio.sleep(self.options["preempted_s"])
                self.note("goes_on", attempt)
            event = f"id: {number}\ndata: piece {number} of {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.options["pause_s"])
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("done", attempt)


if __name__ == "__main__":
    PreemptingReplica().run()
