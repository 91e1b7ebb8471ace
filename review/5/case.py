"""One part of a prompt crashes each replica that begins to write an answer on it, after its first event."""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import BOUNDS, TROUBLE, ask, configuration, route, run_case  # noqa: E402

RELAYS = 3
REPLICAS = 8
SECONDS = 40
DEADLY = "dead01"
BACK_AFTER_S = 3.0
EVENTS = 26
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))


def case(deployment):
    deployment.store.put("op/config", configuration(3, [route("draft", "streaming", "llm", stream_resume=True)], ["llm"]))
    options = {"deadly_part": DEADLY if TROUBLE else "", "first_event_s": 0.15, "pause_s": 0.03, "events": EVENTS,
               "events_before_crash": EVENTS_BEFORE_CRASH}
    replicas = [deployment.replica(f"i-{n}", "llm", FOLDER / "replica.py", **options) for n in range(REPLICAS)]
    relays = [deployment.relay(f"front-{n}") for n in range(RELAYS)]
    time.sleep(1)
    until = time.monotonic() + SECONDS
    sound, deadly = {}, {}

    def platform(replica):
        """Starts a replica that has crashed again after some seconds, under its id."""
        while time.monotonic() < until:
            if replica.process.poll() is not None:
                time.sleep(BACK_AFTER_S)
                replica.start()
            time.sleep(0.02)

    def client(name, number, first_after_s, pause_s, parts, answers):
        time.sleep(first_after_s)
        count = 0
        while time.monotonic() < until:
            count += 1
            attempt = f"{name}{number}-{count}"
            prefix = ",".join([f"{part}:40" for part in parts] + [f"own{attempt}:300"])
            answer = ask(relays[number % RELAYS].front, "POST", f"/draft/{attempt}", attempt, body=attempt.encode(),
                         Prompt_Prefix=prefix, Model="m", Token_Usage="380,160")
            answers[attempt] = answer
            deployment.record("answered", attempt=attempt, status=answer.status, complete=answer.complete,
                              events=answer.body.count(b"id: "), error=answer.error.replace(" ", "_"))
            time.sleep(pause_s)

    threads = [threading.Thread(target=platform, args=(replica,)) for replica in replicas]
    threads += [threading.Thread(target=client, args=("s", n, 0.1 * n, 0.5, ["sys"], sound)) for n in range(6)]
    threads += [threading.Thread(target=client, args=("d", n, 3.0, 1.0, ["sys", DEADLY], deadly)) for n in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    lines = sorted((line for replica in replicas for line in replica.seen()), key=lambda line: line["at"])
    for line in lines:
        if line["what"] in ("crash", "misdirected") or line["attempt"].startswith("d"):
            deployment.record("replica", at=f"{line['at'] - deployment.start:.3f}", did=line["what"],
                              attempt=line["attempt"])
    crashes = [line["at"] for line in lines if line["what"] == "crash"]
    # BUDGET (news pages): requests with the part that reach replicas later than contact_ms after the fifth crash.
    late = []
    if len(crashes) >= 5:
        limit = crashes[4] + BOUNDS["contact_ms"] / 1000
        late = [line for line in lines
                if line["what"] == "arrived" and line["attempt"].startswith("d") and line["at"] > limit]
    lost = sum(1 for answer in sound.values() if not answer.complete)
    deployment.record("count", crashes=len(crashes), late_requests_with_the_part=len(late), sound=len(sound),
                      sound_without_whole_answer=lost, deadly=len(deadly))
    print(f"{len(crashes)} crashes; {len(late)} requests with the part reached replicas late; "
          f"{lost} of {len(sound)} sound requests have no whole answer")
    return len(late) > 3


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
