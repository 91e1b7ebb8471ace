"""A prompt part that crashes replicas comes right after all entry processes were killed at once."""

import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import BOUNDS, TROUBLE, ask, configuration, route, run_case  # noqa: E402

RELAYS = 3
REPLICAS = 8
DEADLY = "dead01"
FIRST_PARTS = [f"f{n}" for n in range(10)]
BEFORE_S = 32
AFTER_S = 42
BACK_AFTER_S = 3.0  # a replica that has crashed
RESTART_DELAY_S = 0.5  # a process of the system that was killed
PAUSE_S = 0.8  # between the sound requests of a first part


def case(deployment):
    deployment.store.put("op/config",
                         configuration(3, [route("draft", "streaming", "llm", stream_resume=True)], ["llm"]))
    options = {"deadly_part": DEADLY if TROUBLE else "", "first_event_s": 0.3, "pause_s": 0.03, "events": 10,
               "events_before_crash": 0}
    replicas = [deployment.replica(f"i-{n}", "llm", FOLDER / "replica.py", **options) for n in range(REPLICAS)]
    relays = [deployment.relay(f"front-{n}") for n in range(RELAYS)]
    time.sleep(1)
    change = time.monotonic() + BEFORE_S
    until = change + AFTER_S
    sound, deadly = [], []
    back = threading.Event()

    def platform(replica):
        while time.monotonic() < until:
            if replica.process.poll() is not None:
                time.sleep(BACK_AFTER_S)
                replica.start()
            time.sleep(0.02)

    def send(attempt, first, parts, answers):
        sent = time.monotonic()
        prefix = ",".join([f"{part}:40" for part in parts] + [f"own{attempt}:300"])
        answer = ask(random.choice(relays).front, "POST", f"/draft/{attempt}", attempt, body=attempt.encode(),
                     Prompt_Prefix=prefix, Model="m", Token_Usage="380,160")
        answers.append((attempt, first, sent, answer))
        deployment.record("answered", attempt=attempt, sent=f"{sent - deployment.start:.3f}", status=answer.status,
                          complete=answer.complete, retry_after=answer.headers.get("retry-after"),
                          error=answer.error.replace(" ", "_"))

    def sound_client(number):
        time.sleep(random.random() * PAUSE_S)
        count = 0
        while time.monotonic() < until:
            count += 1
            send(f"s{number}-{count}", FIRST_PARTS[number], [FIRST_PARTS[number]], sound)
            time.sleep(PAUSE_S * random.uniform(0.5, 1.5))

    def deadly_client(number):
        back.wait()
        count = 0
        while time.monotonic() < until:
            count += 1
            first = FIRST_PARTS[(3 * number + count) % len(FIRST_PARTS)]
            send(f"d{number}-{count}", first, [first, DEADLY], deadly)
            time.sleep(1.0)

    threads = [threading.Thread(target=platform, args=(replica,)) for replica in replicas]
    threads += [threading.Thread(target=sound_client, args=(n,)) for n in range(len(FIRST_PARTS))]
    threads += [threading.Thread(target=deadly_client, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, change - time.monotonic()))
    if TROUBLE:
        for relay in relays:
            relay.process.send_signal(signal.SIGKILL)
        deployment.record("all_entry_processes_killed")
        time.sleep(RESTART_DELAY_S)
        starts = [threading.Thread(target=relay.start) for relay in relays]
        for start in starts:
            start.start()
        for start in starts:
            start.join()
        deployment.record("all_entry_processes_back")
    back.set()
    for thread in threads:
        thread.join()

    lines = sorted((line for replica in replicas for line in replica.seen()), key=lambda line: line["at"])
    begun = {line["attempt"] for line in lines if line["what"] == "run"}
    crashes = [line["at"] for line in lines if line["what"] == "crash"]
    for at in crashes:
        deployment.record("crash", at=f"{at - deployment.start:.3f}")
    # LOST (news pages): from 2 x contact_ms after the fifth crash (the last, if there are fewer), while requests with
    # the part come, sound requests with their first part begin less than half as often as outside the disruption.
    if not crashes:
        print("no crash")
        return False
    since = crashes[min(4, len(crashes) - 1)] + 2 * BOUNDS["contact_ms"] / 1000
    last = max(sent for _, _, sent, _ in deadly)
    broken = []
    for first in FIRST_PARTS:
        outside = [attempt for attempt, part, sent, _ in sound if part == first and sent < change - 1]
        inside = [attempt for attempt, part, sent, _ in sound if part == first and since < sent < last]
        if len(outside) < 20 or len(inside) < 20:
            continue
        share_outside = sum(attempt in begun for attempt in outside) / len(outside)
        share_inside = sum(attempt in begun for attempt in inside) / len(inside)
        deployment.record("first_part", part=first, sent_outside=len(outside), begun_outside=f"{share_outside:.2f}",
                          sent_inside=len(inside), begun_inside=f"{share_inside:.2f}")
        if share_inside < share_outside / 2:
            broken.append(first)
    deployment.record("count", crashes=len(crashes), first_parts_held_back=",".join(broken) or "none")
    print(f"{len(crashes)} crashes; sound requests are held back for the first parts {broken}")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
