"""Streams that their replica preempts and goes on with, on entry processes of which one gets SIGHUP."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import BOUNDS, TROUBLE, ask, configuration, route, run_case  # noqa: E402

RELAYS = 4  # one of four gets SIGHUP: 0.25, and the pages allow 0.3
REPLICAS = 4
SLOTS = 4
CLIENTS_OF = (10, 4, 4, 4)  # of each entry process; a client waits for its answer before it asks again
SECONDS = 60
HANGUP_EVERY_S = 3.0
EVENTS = 40
PAUSE_S = 0.05
PREEMPTED_S = 1.2  # clients abandon a stream after a gap of 2 s
PREEMPT_EVERY = 6  # streams of a replica


def case(deployment):
    deployment.store.put("op/config",
                         configuration(3, [route("draft", "streaming", "llm", stream_resume=True)], ["llm"]))
    options = {"slots": SLOTS, "first_event_s": 0.1, "pause_s": PAUSE_S, "events": EVENTS, "preempted_s": PREEMPTED_S,
               "preempt_every": PREEMPT_EVERY if TROUBLE else 0}
    replicas = [deployment.replica(f"i-{n}", "llm", FOLDER / "replica.py", **options) for n in range(REPLICAS)]
    relays = [deployment.relay(f"front-{n}") for n in range(RELAYS)]
    time.sleep(1)
    until = time.monotonic() + SECONDS
    requests, hangups = {}, []

    def client(number, front):
        count = 0
        time.sleep(0.1 * number)
        while time.monotonic() < until:
            count += 1
            attempt = f"c{number}-{count}"
            sent = time.monotonic()
            answer = ask(relays[front].front, "POST", f"/draft/{attempt}", attempt, body=attempt.encode())
            ended = time.monotonic()
            requests[attempt] = (front, sent, ended, answer)
            deployment.record("answered", attempt=attempt, front=front,
                              sent=f"{sent - deployment.start:.3f}", status=answer.status, complete=answer.complete,
                              events=answer.body.count(b"id: "), error=answer.error.replace(" ", "_"))
            if answer.status == 503:
                time.sleep(float(answer.headers.get("retry-after", 0.1)))

    fronts = [front for front, count in enumerate(CLIENTS_OF) for _ in range(count)]
    threads = [threading.Thread(target=client, args=(n, front)) for n, front in enumerate(fronts)]
    for thread in threads:
        thread.start()
    while time.monotonic() < until:
        time.sleep(HANGUP_EVERY_S)
        hangups.append(time.monotonic())
        relays[0].process.send_signal(signal.SIGHUP)
        deployment.record("SIGHUP", process=relays[0].name)
    for thread in threads:
        thread.join()

    lines = sorted((line for replica in replicas for line in replica.seen()), key=lambda line: line["at"])
    for line in lines:
        deployment.record("replica", at=f"{line['at'] - deployment.start:.3f}", did=line["what"],
                          attempt=line["attempt"])
    # LOST: requests sent up to config_apply_ms after the SIGHUP of their machine, passed on, and cut after it, though
    # the replica did not break off and neither the deadline nor the route's timeout (8 s) was reached.
    ran = {line["attempt"] for line in lines if line["what"] == "run"}
    apply_s = BOUNDS["config_apply_ms"] / 1000
    cut = [attempt for attempt, (front, sent, ended, answer) in requests.items()
           if attempt in ran and not answer.complete and ended - sent < 8]
    lost = [attempt for attempt in cut
            if requests[attempt][0] == 0
            and any(hangup <= requests[attempt][1] <= hangup + apply_s for hangup in hangups)]
    preempted = sum(1 for line in lines if line["what"] == "preempted")
    refused = sum(1 for *_, answer in requests.values() if answer.status == 503)
    whole = sum(1 for *_, answer in requests.values() if answer.status == 200 and answer.complete)
    deployment.record("count", sent=len(requests), whole=whole, refused=refused, preempted=preempted, cut=len(cut),
                      cut_around_a_sighup=len(lost))
    for attempt in lost:
        deployment.record("lost", attempt=attempt)
        # What the entry process logged of it.
        for line in relays[0].log_path.read_text(errors="replace").splitlines():
            if f'"{attempt}"' in line:
                deployment.record("log", line=line)
    print(f"{len(requests)} requests, {whole} whole, {refused} refused, {preempted} preempted, {len(cut)} cut, "
          f"{len(lost)} of them around a SIGHUP of their machine")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
