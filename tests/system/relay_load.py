"""Open-loop load of streamed completions for benchmarks; each worker is a process with its own event loop."""

import asyncio
import multiprocessing
import random
import resource
import time

import traffic

LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]"


class Exchange(asyncio.Protocol):
    """A keep-alive connection that counts the events of one stream at a time."""

    def __init__(self, counter):
        self.counter = counter

    def connection_made(self, transport):
        self.transport = transport

    def begin(self, request, ended):
        self.ended = ended
        self.started = time.monotonic()
        self.first = None
        self.events = 0
        self.tail = b""
        self.done = False
        self.status = None
        self.transport.write(request)

    def data_received(self, data):
        if self.status is None:
            self.status = data[9:12].decode()
        # An event is counted by the colon after its field name; the kept tail joins a name that was split.
        joined = self.tail + data
        found = joined.count(b"data: ") - self.tail.count(b"data: ")
        if found and self.first is None:
            self.first = time.monotonic()
        self.events += found
        self.counter.note(found)
        self.done = self.done or DONE in joined
        self.tail = joined[-16:]
        if self.ended.done():
            return
        if self.done and joined.endswith(LAST_CHUNK):
            self.ended.set_result("whole")
        elif self.status != "200" or b"event: error" in joined:
            self.ended.set_result(data.decode(errors="replace")[-300:])
            self.transport.close()

    def connection_lost(self, _):
        if not self.ended.done():
            self.ended.set_result("connection lost")


class Worker:
    def __init__(self, plan):
        self.plan = plan
        self.idle = {}
        self.window_events = 0
        self.samples = []
        self.failures = []

    def note(self, events):
        if self.plan["from"] <= time.monotonic() < self.plan["to"]:
            self.window_events += events

    def request(self, number, api_key, address):
        body = traffic.chat_body(f"benchmark {number} of worker {self.plan['worker']}", self.plan["tokens"], True)
        return (f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {api_key}\r\n"
                f"X-Request-Id: bench-{self.plan['worker']}-{number}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()

    async def one(self, number, address, api_key):
        loop = asyncio.get_running_loop()
        pool = self.idle.setdefault(address, [])
        while pool and pool[-1].transport.is_closing():
            pool.pop()
        if pool:
            exchange = pool.pop()
        else:
            host, port = address.rsplit(":", 1)
            _, exchange = await loop.create_connection(lambda: Exchange(self), host, int(port))
        ended = loop.create_future()
        exchange.begin(self.request(number, api_key, address), ended)
        result = await ended
        if result == "whole" and exchange.events != self.plan["tokens"] + 1:
            result = f"{exchange.events} events"
        if result != "whole":
            self.failures.append(result)
            exchange.transport.close()
            return
        if self.plan["from"] <= exchange.started < self.plan["to"]:
            self.samples.append((exchange.first - exchange.started, time.monotonic() - exchange.started))
        pool.append(exchange)

    async def run(self):
        choice = random.Random(self.plan["seed"])
        tasks, number, at = [], 0, self.plan["start"]
        while True:
            at += choice.uniform(0.5, 1.5) / self.plan["rate"]
            if at >= self.plan["to"]:
                break
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            number += 1
            address = self.plan["addresses"][(number + self.plan["worker"]) % len(self.plan["addresses"])]
            api_key = self.plan["api_keys"][number % len(self.plan["api_keys"])]
            tasks.append(asyncio.create_task(self.one(number, address, api_key)))
        await asyncio.gather(*tasks)


def work(plan, results):
    worker = Worker(plan)
    asyncio.run(worker.run())
    usage = resource.getrusage(resource.RUSAGE_SELF)
    results.put({"events": worker.window_events, "samples": worker.samples, "failures": worker.failures,
                 "cpu_s": usage.ru_utime + usage.ru_stime})


def run(addresses, api_keys, rate, tokens, warm_s, window_s, workers, seed, at_window=None):
    """Sends `rate` requests a second; at_window(begin) is called at both ends of the measured window."""
    start = time.monotonic() + 0.5
    plan = {"addresses": addresses, "api_keys": api_keys, "rate": rate / workers, "tokens": tokens,
            "start": start, "from": start + warm_s, "to": start + warm_s + window_s}
    context = multiprocessing.get_context("fork")
    results = context.Queue()
    processes = [context.Process(target=work, args=({**plan, "worker": i, "seed": seed + i}, results))
                 for i in range(workers)]
    for process in processes:
        process.start()
    for begin, at in ((True, plan["from"]), (False, plan["to"])):
        time.sleep(max(0.0, at - time.monotonic()))
        if at_window:
            at_window(begin)
    parts = [results.get(timeout=180) for _ in processes]
    for process in processes:
        process.join()
    return {"events": sum(p["events"] for p in parts), "failures": [f for p in parts for f in p["failures"]],
            "samples": [s for p in parts for s in p["samples"]],
            "busiest_worker": max(p["cpu_s"] for p in parts) / (time.monotonic() - start)}
