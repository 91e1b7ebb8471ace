"""Clients on kept connections before two entry processes, and the check of LOST for them. Cases 11 and 12."""

import http.client
import json
import pathlib
import signal
import sys
import threading
import time

from deployment import Deployment, configuration, free_port, registration, route, wait_for

LIB = pathlib.Path(__file__).resolve().parent
REPLICAS, WORK_MS, CLIENTS, SECONDS, RESTART_S = 4, 150, 24, 16, 0.5


class Client(threading.Thread):
    """Sends one request after the other on a connection that it keeps."""

    def __init__(self, number, entry, end, results):
        super().__init__()
        self.number, self.entry, self.end, self.results = number, entry, end, results

    def run(self):
        connection, used, count = None, 0, 0
        while time.monotonic() < self.end:
            kind = "look" if self.number % 2 else "order"  # idempotent, non_idempotent
            count += 1
            result = {"id": f"c{self.number}-{count}", "kind": kind, "kept": used > 0, "sent": time.monotonic(),
                      "status": None}
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(self.entry.host, self.entry.front, timeout=3)
                connection.request("POST", f"/{kind}/{count}", body=b"body",
                                   headers={"Host": "shop.example", "Attempt-Id": result["id"],
                                            "Deadline-Ms": "1500", "Api-Key": "key-1"})
                response = connection.getresponse()
                response.read()
                result["status"] = response.status
                used += 1
                if response.getheader("Connection", "").lower() == "close":
                    raise ConnectionError("the answer closes the connection")
            except (OSError, http.client.HTTPException) as error:
                if result["status"] is None:
                    result["closed"] = type(error).__name__
                connection and connection.close()
                connection, used = None, 0
                time.sleep(0.1)
            result["ended"] = time.monotonic()
            self.results.append(result)


def play(here, spoil_every, trouble):
    """`spoil_every` makes replica i-0 faulty; `trouble(entries, end)`, if any, is run beside the clients."""
    record = open(here / "record.txt", "w")

    def say(text):
        print(text)
        record.write(text + "\n")

    deployment = Deployment()
    try:
        runs = deployment.directory / "runs"
        for n in range(REPLICAS):
            address = f"{deployment.host}:{free_port(deployment.host)}"
            deployment.start_python(LIB / "plain.py", f"replica-{n}", f"i-{n}", address, runs, str(WORK_MS),
                                    str(spoil_every if n == 0 else 0))
            deployment.store.put(f"servers/i-{n}", registration(f"i-{n}", address))
        deployment.store.put("op/config", configuration(3, [
            route("look", "idempotent", timeout_ms=3000, target_latency_ms=300),
            route("order", "non_idempotent", timeout_ms=3000, target_latency_ms=300, max_attempts=1)]))
        entries = [deployment.start_entry(f"front-{n}") for n in (1, 2)]
        if not wait_for(lambda: all(e.is_ready() for e in entries)):
            say("the entry processes are not ready")
            return 2
        time.sleep(1)
        begin = time.monotonic()
        end = begin + SECONDS
        results = []
        clients = [Client(n, entries[n // 2 % 2], end, results) for n in range(CLIENTS)]
        if trouble:
            threading.Thread(target=trouble, args=(entries, end), daemon=True).start()
        for client in clients:
            client.start()
        ends = 0
        restarts = []
        while time.monotonic() < end:
            for n, entry in enumerate(entries):
                if entry.process.poll() is not None and not any(m == n for _, m in restarts):
                    ends += 1
                    code = entry.process.poll()
                    name = signal.Signals(-code).name if code < 0 else f"exit {code}"
                    say(f"{time.monotonic() - begin:7.3f} front-{n + 1} has ended by itself: {name}")
                    restarts.append((time.monotonic() + RESTART_S, n))
            for due, n in [r for r in restarts if r[0] <= time.monotonic()]:
                restarts.remove((due, n))
                restart(deployment, entries[n], n)
                say(f"{time.monotonic() - begin:7.3f} front-{n + 1} is started again")
            time.sleep(0.02)
        for client in clients:
            client.join()
        ran = {}
        for line in runs.read_text().splitlines():
            run = json.loads(line)
            ran.setdefault(run["id"], []).append(run)
        sound = lambda r: any(x["replica"] != "i-0" or spoil_every == 0 for x in ran.get(r["id"], []))
        lost = [r for r in results if r["status"] is None and r["closed"] != "TimeoutError" and r["kept"] and sound(r)]
        for r in sorted(results, key=lambda r: r["sent"]):
            record.write(f"{r['sent'] - begin:7.3f} sent {r['id']} ({r['kind']}, "
                         f"{'kept' if r['kept'] else 'new'} connection); {r['ended'] - begin:7.3f} "
                         f"{r['status'] or 'no answer: ' + r['closed']}; "
                         f"ran on {[x['replica'] for x in ran.get(r['id'], [])]}\n")
        answered = sum(r["status"] == 200 for r in results)
        say(f"requests {len(results)}, answered with 200 {answered}, processes that ended by themselves {ends}, "
            f"requests from kept connections that a sound replica ran and whose connection was closed without an "
            f"answer {len(lost)} (more than 3 break the rule)")
        for r in lost[:6]:
            say(f"  {r['sent'] - begin:7.3f} {r['id']} ({r['kind']}) closed after "
                f"{(r['ended'] - r['sent']) * 1000:.0f} ms: {r['closed']}")
        if answered < 100:
            return 2
        return 1 if len(lost) > 3 else 0
    finally:
        deployment.end()
        record.close()


def restart(deployment, entry, n):
    name = f"front-{n + 1}"
    settings = deployment.directory / (name + ".toml")
    from deployment import BIN
    entry.process = deployment.start_process([BIN / "cornelrelay", "relay"], name, CORNELRELAY_CONFIG=str(settings))
