"""Streams that may be resumed, whose ids begin at 0, while single replicas crash and come back."""

import collections
import http.client
import json
import os
import pathlib
import re
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from deployment import Deployment, configuration, free_port, registration, route, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPLICAS, EVENTS, PAUSE_MS = 6, 6, 100  # a pause between events of 100 ms; the sheets allow 120
STREAMS_PER_S, SECONDS, DOWN_S = 84, 24, 3.0
CRASHES_AT = (3, 7.03, 11.06, 15.09, 19.12)  # one replica of six each time
FIRST_ID = 0


def call(entry, number, results):
    sent = time.monotonic()
    attempt = f"s-{number}"
    body = b""
    status, complete = None, False
    try:
        connection = http.client.HTTPConnection(entry.host, entry.front, timeout=9)
        connection.request("POST", f"/story/{number}", body=b"a prompt",
                           headers={"Host": "shop.example", "Attempt-Id": attempt, "Deadline-Ms": "8000",
                                    "Api-Key": "key-1"})
        response = connection.getresponse()
        status = response.status
        try:
            body = response.read()
            complete = True
        except http.client.IncompleteRead as error:
            body = error.partial
        connection.close()
    except OSError as error:
        status = status or type(error).__name__
    results[number] = {"id": attempt, "sent": sent, "status": status, "complete": complete,
                       "ids": [int(i) for i in re.findall(rb"^id: (\d+)$", body, re.M)]}


def main():
    record = open(HERE / "record.txt", "w")
    say = lambda text: (print(text), record.write(text + "\n"))
    deployment = Deployment()
    try:
        runs = deployment.directory / "runs"
        addresses = [f"{deployment.host}:{free_port(deployment.host)}" for _ in range(REPLICAS)]

        def start(n):
            return deployment.start_python(HERE.parent / "lib-3" / "replica.py", f"replica-{n}", f"i-{n}",
                                           addresses[n], runs, str(FIRST_ID), str(EVENTS), str(PAUSE_MS))

        replicas = [start(n) for n in range(REPLICAS)]
        for n in range(REPLICAS):
            deployment.store.put(f"servers/i-{n}", registration(f"i-{n}", addresses[n]))
        deployment.store.put("op/config", configuration(3, [route("story", "streaming", stream_resume=True,
                                                                  gap_aim_ms=120)]))
        entries = [deployment.start_entry(f"front-{n}") for n in (1, 2)]
        if not wait_for(lambda: all(e.is_ready() for e in entries)):
            say("the entry processes are not ready")
            return 2
        time.sleep(1)
        results, threads = {}, []
        begin = time.monotonic()
        crashes = list(CRASHES_AT) if TROUBLE else []
        back = []
        for number in range(STREAMS_PER_S * SECONDS):
            at = begin + number / STREAMS_PER_S
            time.sleep(max(0, at - time.monotonic()))
            if crashes and time.monotonic() - begin >= crashes[0]:
                n = len(CRASHES_AT) - len(crashes)
                crashes.pop(0)
                replicas[n].kill()
                replicas[n].wait()
                back.append((time.monotonic() + DOWN_S, n))
                say(f"{time.monotonic() - begin:7.3f} replica i-{n} crashes")
            for due, n in [b for b in back if b[0] <= time.monotonic()]:
                back.remove((due, n))
                replicas[n] = start(n)
                deployment.store.put(f"servers/i-{n}", registration(f"i-{n}", addresses[n], born=2))
                say(f"{time.monotonic() - begin:7.3f} replica i-{n} is back")
            thread = threading.Thread(target=call, args=(entries[number % 2], number, results))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        run_lines = collections.defaultdict(list)
        for line in runs.read_text().splitlines():
            run = json.loads(line)
            run_lines[run["id"]].append(run)
        for result in results.values():
            record.write(f"{result['sent'] - begin:7.3f} sent {result['id']}: status {result['status']}, "
                         f"complete {result['complete']}, event ids {result['ids']}; ran on "
                         f"{[(r['replica'], 'after ' + str(r['after'])) for r in run_lines[result['id']]]}\n")
        whole = list(range(FIRST_ID, FIRST_ID + EVENTS))
        doubled = [r for r in results.values() if len(set(r["ids"])) < len(r["ids"])]
        missing = [r for r in results.values() if r["complete"] and r["status"] == 200 and set(r["ids"]) != set(whole)]
        served = [r for r in results.values() if r["complete"] and r["ids"] == whole]
        say(f"streams sent {len(results)}, whole {len(served)}, with a piece that came twice {len(doubled)}, "
            f"ended as complete with a piece missing {len(missing)}")
        for r in (doubled + missing)[:10]:
            say(f"  {r['id']} ids {r['ids']} complete {r['complete']} "
                f"ran on {[(x['replica'], x['after']) for x in run_lines[r['id']]]}")
        if len(served) < len(results) / 2:
            say("fewer than half of the streams are whole: the case could not run")
            return 2
        return 1 if doubled or missing else 0
    finally:
        deployment.end()
        record.close()


sys.exit(main())
