"""Cost of relaying streams through one entry process, against fake engines reached directly in the same run."""

import argparse
import csv
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time

import deployment
import relay_load

TOKENS = 254  # 6,600 chunks over 26 requests
REQUESTS_PER_S = 26
ENGINES = 16
STEP_US = 24000
COLUMNS = ["load", "path", "requests_s", "chunks_s", "streams", "first_p50_ms", "first_p95_ms", "whole_p50_ms",
           "whole_p95_ms", "entry_core", "cpu_us_chunk", "failed", "generator_core"]


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def percentile(values, share):
    return statistics.quantiles(values, n=100, method="inclusive")[share - 1] * 1000


class Bench:
    def __init__(self, target, arguments):
        self.target = target
        self.arguments = arguments
        self.rows = []

    def measure(self, load, path):
        entry = self.target.entries[0]
        pid = self.target.processes[entry].pid
        if path == "direct":
            addresses = [self.target.upstream_address(e) for e in self.target.engines]
        else:
            addresses = [self.target.entry_address(entry)]
        marks = []
        keys = [self.target.api_key(a) for a in self.target.accounts]
        result = relay_load.run(addresses, keys, REQUESTS_PER_S * load, TOKENS, self.arguments.warm,
                                self.arguments.window, self.arguments.workers, self.arguments.seed,
                                lambda _: marks.append((time.monotonic(), cpu_seconds(pid))))
        for failure in result["failures"][:3]:
            print(f"failed: {failure}")
        elapsed = marks[1][0] - marks[0][0]
        cpu = marks[1][1] - marks[0][1]
        first = [s[0] for s in result["samples"]]
        whole = [s[1] for s in result["samples"]]
        relayed = path == "entry"
        self.rows.append({
            "load": load, "path": path, "requests_s": round(len(whole) / elapsed, 1),
            "chunks_s": round(result["events"] / elapsed),
            "streams": round(result["events"] / elapsed / TOKENS * statistics.mean(whole)),
            "first_p50_ms": round(percentile(first, 50), 1), "first_p95_ms": round(percentile(first, 95), 1),
            "whole_p50_ms": round(percentile(whole, 50)), "whole_p95_ms": round(percentile(whole, 95)),
            "entry_core": round(cpu / elapsed, 3),
            "cpu_us_chunk": round(cpu / result["events"] * 1e6, 1) if relayed else "",
            "failed": len(result["failures"]), "generator_core": round(result["busiest_worker"], 2)})

    def table(self):
        lines = [" ".join(f"{name:>14}" for name in COLUMNS)]
        lines += [" ".join(f"{str(row[name]):>14}" for name in COLUMNS) for row in self.rows]
        for direct, entry in zip(self.rows[::2], self.rows[1::2]):
            added = ", ".join(f"{name[:-3]} {entry[name] - direct[name]:+.1f}" for name in COLUMNS[5:9])
            lines.append(f"added by the entry process at load {direct['load']}, ms: {added}")
        return "\n".join(lines)


def end_on_signal(number, _):
    """Leaves the deployment's context, which ends its processes."""
    sys.exit(128 + number)


def main():
    signal.signal(signal.SIGTERM, end_on_signal)
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default=str(pathlib.Path(__file__).parents[2] / "build" / "bin"))
    parser.add_argument("--out", default="bench-out/relay.csv")
    parser.add_argument("--warm", type=float, default=9, help="seconds before each measured window")
    parser.add_argument("--window", type=float, default=10, help="seconds of each measured window")
    parser.add_argument("--workers", type=int, default=4, help="processes of the load generator")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        engine_args = ("--step-us", str(STEP_US), "--slots", "200")
        with deployment.Deployment(arguments.bin, directory, entries=1, engines=ENGINES, plains=1, accounts=4,
                                   engine_args=engine_args) as target:
            document = deployment.ASSISTANT_PROFILE.replace("deadline_ms = 20000", "deadline_ms = 60000")
            target.wait_revision(target.edit(target.entries[0], {"kind": "change", "document": document}))
            bench = Bench(target, arguments)
            print(f"{ENGINES} fake engines, {TOKENS} tokens a stream, {STEP_US / 1000:.0f} ms a token plus 1% for each "
                  f"request of the same engine, jittered arrivals, {arguments.workers} generator processes, "
                  f"windows of {arguments.window:.0f} s, seed {arguments.seed}, load average "
                  f"{os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
            for load in (1, 2):
                for path in ("direct", "entry"):
                    bench.measure(load, path)
                    print(f"measured {path} at load {load}", flush=True)
    print(bench.table())
    out = pathlib.Path(arguments.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    with out.open("w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(bench.rows)


if __name__ == "__main__":
    main()
