"""A replica of the order desk: answers each request after its work."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from replica import Replica  # noqa: E402


class OrderDesk(Replica):
    async def serve(self, writer, method, path, headers, body, attempt):
        self.note("run", attempt)
        await asyncio.sleep(self.options["work_s"])
        answer = b"done " + attempt.encode()
        self.head(writer, 200, attempt, length=len(answer), Replica_Seal=self.seal(attempt))
        writer.write(answer)
        await writer.drain()
        self.note("done", attempt)
        return True


if __name__ == "__main__":
    OrderDesk().run()
