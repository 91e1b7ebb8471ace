"""A part of a prompt crashes replicas, and one replica crashes for another reason, after the entry processes were stopped
and started in turn. The replicas, the store and the clients are those of the earlier case 8 (lib-2)."""

import pathlib
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from stand_ins import ROOT, TROUBLE, Deployment, ask, free_ports, route  # noqa: E402

FIRST_PART = "5c1e07a2:40"  # of all prompts here: the shared beginning
DEADLY_PART = "dead0001"
OPTIONS = {"draft": {"stream": 5, "gap_s": 0.02, "before_s": 0.4}, "deadly": DEADLY_PART}
DOWN_S = 2.0
CONTACT_S = 3.0
SOUND = 30  # sound requests of each of the two spans, one each half second


def prompt(number, deadly=False):
    middle = f"{DEADLY_PART}:200," if deadly else ""
    return ("Model: m", "Token-Usage: 700,160", f"Prompt-Prefix: {FIRST_PART},{middle}e{number:07x}:500")


class Replicas:
    """Starts replicas that have crashed again."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.done = False
        self.crashes = []
        self.ports = free_ports(6)
        self.now = [deployment.start_replica(f"i-{n}", port, OPTIONS) for n, port in enumerate(self.ports)]
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while not self.done:
            time.sleep(0.01)
            for number, replica in enumerate(self.now):
                if replica and replica.process.poll() is not None:
                    self.crashes.append(time.monotonic())
                    self.deployment.note("replica", replica.name, "crashed")
                    self.now[number] = None
                    threading.Timer(DOWN_S, self.restart, (number, replica.name)).start()

    def restart(self, number, name):
        if not self.done:
            self.now[number] = self.deployment.start_replica(name + "+", self.ports[number], OPTIONS)


def restart_in_turn(deployment, entries):
    for entry in entries:
        deployment.note("SIGTERM to the entry process at", entry.callers)
        entry.signal(signal.SIGTERM)
        entry.process.wait(9)
        with open(entry.log_path, "ab") as log:
            entry.process = subprocess.Popen(entry.words, cwd=ROOT, env=entry.env, stdout=log)
        entry.wait_ready()
        deployment.note("entry process at", entry.callers, "is ready again")
        time.sleep(1)


def sound_requests(deployment, entries, label, send_deadly=None):
    """One first attempt each half second. Returns how many a replica began to run."""
    begun = 0
    for number in range(SOUND):
        if TROUBLE and send_deadly and number % 6 == 3:
            send_deadly(number)  # such requests still come
        identity = f"{label}-{number}"
        answer = ask(entries[number % len(entries)].callers, "POST", "/draft/1", identity, 8000, b"x" * 300,
                     headers=prompt(number))
        ran = any(run["id"] == identity for run in deployment.runs())
        begun += ran
        deployment.note("client got", identity, answer.status, "retry after",
                        answer.headers.get("retry-after", "-"), "run" if ran else "not run")
        time.sleep(0.5)
    return begun


def sound_beside(deployment, entries, number, statuses):
    """A sound request that runs while another one crashes its replica."""
    identity = f"beside-{number}"
    answer = ask(entries[number % len(entries)].callers, "POST", "/draft/1", identity, 8000, b"x" * 300,
                 headers=prompt(0x500 + number))
    statuses.append(answer.status)
    deployment.note("client got", identity, answer.status, "complete" if answer.complete else "incomplete")


def crash_replica_of(deployment, replicas, identity):
    """Kills the replica that runs a request, before it has answered. It comes back like the others."""
    until = time.monotonic() + 2
    while time.monotonic() < until:
        for run in deployment.runs():
            if run["id"] != identity:
                continue
            for replica in replicas.now:
                if replica and replica.name == run["replica"]:
                    deployment.note("replica", replica.name, "is killed while it runs", identity)
                    replica.process.kill()
                    return
        time.sleep(0.01)


def main():
    with Deployment() as deployment:
        deployment.configure(3, [route("draft", "streaming", target_latency_ms=400, gap_aim_ms=120, timeout_ms=8000,
                                       stream_resume=True, max_attempts=2)])
        replicas = Replicas(deployment)
        entries = [deployment.start_entry(f"front-zone-a-{n}") for n in (1, 2)]
        deadly = []

        def send_deadly(number):
            identity = f"deadly-{number}"
            answer = ask(entries[number % 2].callers, "POST", "/draft/1", identity, 8000, b"y" * 300,
                         headers=prompt(0xdead00 + number, deadly=True))
            deadly.append(identity)
            deployment.note("client got", identity, answer.status)

        time.sleep(CONTACT_S)  # the entry processes are in touch
        before = sound_requests(deployment, entries, "before")
        restart_in_turn(deployment, entries)
        beside = []
        thread = threading.Thread(target=sound_beside, args=(deployment, entries, 0, beside))
        thread.start()
        if TROUBLE:
            crash_replica_of(deployment, replicas, "beside-0")
            send_deadly(0)
        thread.join()
        time.sleep(2 * CONTACT_S + DOWN_S)  # from 2 x contact_ms after the last crash
        crashes = len(replicas.crashes)
        after = sound_requests(deployment, entries, "after", send_deadly)
        replicas.done = True
        broken = 2 * after < before
        verdict = (f"{'BROKEN' if broken else 'held'}: {after} of {SOUND} sound requests began at the first attempt, "
                   f"{before} of {SOUND} before; {crashes} crashes before this span, {len(replicas.crashes)} in all, "
                   f"{len(deadly)} requests with the part; the sound request whose replica was killed got {beside}")
        deployment.write_record(HERE / "record.txt", verdict)
    print(verdict)
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print("could not run:", repr(error))
        code = 2
    sys.exit(code)
