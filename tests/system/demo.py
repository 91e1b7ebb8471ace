"""Runs a deployment on loopback through a drain, a kill, a profile change and a store outage.

Prints a summary and exits with 1 when a request was truncated, crossed, falsely reported or run twice.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import threading
import time

import deployment
import traffic

LEAVE_LIMIT_S = 3
REVISION_LIMIT_S = 16

CHANGED_PROFILE = deployment.ORDERS_PROFILE.replace("attempts = 3", "attempts = 2")


class Demo:
    def __init__(self, target, mix, seconds):
        self.target = target
        self.mix = mix
        self.seconds = seconds
        self.in_force_s = None
        self.drain_last_s = None
        self.drained_exit = None
        self.shutdown_exit = None

    def pause(self, share):
        time.sleep(self.seconds * share)

    def change_profile(self):
        started = time.monotonic()
        result = self.target.command(self.target.entries[0], "profile", "change", self.changed_file(), "--wait")
        if result.returncode == 0:
            self.in_force_s = time.monotonic() - started
        else:
            print(result.stdout + result.stderr)

    def changed_file(self):
        file = self.target.dir / "changed.toml"
        file.write_text(CHANGED_PROFILE)
        return str(file)

    def runs_of(self, engine):
        _, _, body = deployment.call(self.target.upstream_address(engine), "GET", "/runs")
        return len(json.loads(body)["runs"])

    def drain(self, engine):
        """Signals the agent and notes when the engine received its last new request."""
        started = time.monotonic()
        self.target.signal("agent-" + engine, deployment.signal.SIGTERM)
        last, seen = 0.0, self.runs_of(engine)
        while time.monotonic() - started < LEAVE_LIMIT_S + 3:
            time.sleep(0.05)
            runs = self.runs_of(engine)
            if runs != seen:
                last, seen = time.monotonic() - started, runs
        self.drain_last_s = last
        self.drained_exit = self.target.wait_exit("agent-" + engine)

    def steps(self):
        engines, entries = self.target.engines, self.target.entries
        self.pause(0.1)
        self.change_profile()
        self.drain(engines[0])
        self.target.kill(engines[1])
        self.target.kill("agent-" + engines[1])
        self.pause(0.1)
        self.target.store_faults(outage=True)
        self.pause(0.15)
        self.target.store_faults(outage=False)
        self.pause(0.15)
        self.target.signal(entries[-1], deployment.signal.SIGTERM)
        self.shutdown_exit = self.target.wait_exit(entries[-1])

    def run(self):
        done = threading.Event()
        thread = threading.Thread(target=self.mix.run_while, args=(lambda: not done.is_set(),))
        thread.start()
        try:
            self.steps()
            self.pause(0.1)
        finally:
            done.set()
            thread.join()

    def summary(self):
        effects = self.target.effects()
        doubled = [key for key, count in effects.items() if count > 1]
        counts = self.mix.counts
        checks = [
            ("duplicated effects", len(doubled), len(doubled) == 0),
            ("truncated answers", counts["truncated"], counts["truncated"] == 0),
            ("answers of another request", counts["crossed"], counts["crossed"] == 0),
            ("not_run although run", len(self.mix.false_not_run(effects)), not self.mix.false_not_run(effects)),
            ("answered without effect", len(self.mix.answered_without_effect(effects)),
             not self.mix.answered_without_effect(effects)),
            ("profile in force after, s", self.in_force_s and round(self.in_force_s, 2),
             self.in_force_s is not None and self.in_force_s <= REVISION_LIMIT_S),
            ("last new request after leaving, s", self.drain_last_s and round(self.drain_last_s, 2),
             self.drain_last_s is not None and self.drain_last_s <= LEAVE_LIMIT_S),
            ("exit code of the drained agent", self.drained_exit, self.drained_exit == 0),
            ("exit code of the stopped entry process", self.shutdown_exit, self.shutdown_exit == 0),
        ]
        print(f"\nrequests sent                            {self.mix.sent}")
        for kind in ("answered", "not_run", "unknown", "completed_before"):
            print(f"  {kind:38} {counts[kind]}")
        for error, count in sorted(self.mix.errors.items()):
            print(f"    {error:36} {count}")
        for name, value, passed in checks:
            print(f"{name:40} {str(value):8} {'ok' if passed else 'WRONG'}")
        return all(passed for _, _, passed in checks) and counts["answered"] > 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true", help="fewer processes and less time")
    parser.add_argument("--bin", default=str(pathlib.Path(__file__).parents[2] / "build" / "bin"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", help="directory for settings and logs")
    arguments = parser.parse_args()
    sizes = {"entries": 3, "engines": 6} if arguments.short else {"entries": 8, "engines": 16}
    seconds = 15 if arguments.short else 40
    with tempfile.TemporaryDirectory() as scratch:
        directory = arguments.keep or scratch
        with deployment.Deployment(arguments.bin, directory, plains=3, accounts=10, **sizes) as target:
            print(f"{len(target.processes)} processes are running; sending requests")
            demo = Demo(target, traffic.Mix(target, arguments.seed), seconds)
            demo.run()
            passed = demo.summary()
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
