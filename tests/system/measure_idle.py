"""Measures an idle deployment of real processes: control bytes, datagrams, CPU, memory and store calls.

Prints one row per role and writes bench-out/idle-<processes>.csv. Timing is noisy on a shared machine.
"""

import argparse
import csv
import json
import os
import pathlib
import tempfile
import time

import deployment

ROOT = pathlib.Path(__file__).resolve().parents[2]
TICKS = os.sysconf("SC_CLK_TCK")
# Datagrams without load need about this long to settle after the start (first exchange of all records).
SETTLE_S = 10


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"process {pid} has no VmRSS")


def control(target, entry):
    return target.admin(entry, "GET", "/dump")["control"]


def store_calls(target):
    return json.loads(deployment.call(target.store_address(), "GET", "/calls")[2])["calls"]


def sample(target):
    """Counters of all own processes, by name, and of the store."""
    samples = {}
    for name in target.entries + ["agent-" + u for u in target.engines + target.plains]:
        pid = target.processes[name].pid
        samples[name] = {"time": time.monotonic(), "cpu": cpu_seconds(pid), "rss_mb": resident_mb(pid)}
    for name in target.entries:
        counters = control(target, name)
        for key in ("bytes_sent", "bytes_received", "datagrams_sent", "datagrams_received"):
            samples[name][key] = counters[key]
    return samples, {"time": time.monotonic(), "calls": store_calls(target)}


def rates(before, after):
    """Rates per second of one process, with the memory at the end."""
    seconds = after["time"] - before["time"]
    result = {key: (after[key] - before[key]) / seconds for key in after if key not in ("time", "rss_mb")}
    result["rss_mb"] = after["rss_mb"]
    return result


def summary(role, rows):
    result = {"role": role, "processes": len(rows)}
    for key in rows[0]:
        values = [row[key] for row in rows]
        result["mean_" + key] = round(sum(values) / len(values), 4)
        result["most_" + key] = round(max(values), 4)
    return result


def measure(target, seconds):
    time.sleep(SETTLE_S)
    before, store_before = sample(target)
    time.sleep(seconds)
    after, store_after = sample(target)
    measured = {name: rates(before[name], after[name]) for name in after}
    calls = (store_after["calls"] - store_before["calls"]) / (store_after["time"] - store_before["time"])
    entries = summary("entry", [measured[name] for name in target.entries])
    agents = summary("agent", [row for name, row in measured.items() if name not in target.entries])
    return [entries, agents], calls


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build/bin"))
    parser.add_argument("--out", default=str(ROOT / "bench-out"))
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--engines", type=int, default=16)
    parser.add_argument("--plains", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="cornelrelay-idle-") as work:
        with deployment.Deployment(arguments.bin, work, arguments.entries, arguments.engines,
                                   arguments.plains) as target:
            rows, calls = measure(target, arguments.seconds)
    out = pathlib.Path(arguments.out)
    out.mkdir(parents=True, exist_ok=True)
    fields = list(rows[0])
    processes = sum(row["processes"] for row in rows)
    with open(out / f"idle-{processes}.csv", "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fields + ["store_calls"], restval="")
        writer.writeheader()
        for row in rows:
            writer.writerow({**row, "store_calls": round(calls, 4)})
    print(f"Idle for {arguments.seconds:.0f} s, {arguments.entries} entry processes and "
          f"{arguments.engines + arguments.plains} agents, rates per second; CPU is noisy")
    for row in rows:
        print("  " + "  ".join(f"{key} {value}" for key, value in row.items()))
    print(f"  store calls per second, all processes: {calls:.2f}")


if __name__ == "__main__":
    main()
