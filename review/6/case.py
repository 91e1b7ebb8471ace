"""A leader's late order to disarm a rank is carried out after its successor has found all ranks armed."""

import base64
import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from group import EXPERTS, Group  # noqa: E402
from stand_ins import TROUBLE, Deployment, Process, free_ports, render  # noqa: E402

GROUP = "g-1"
DOWN_S = 3.3  # of a killed agent: for_s of node_kill, how = "", in the site file
LATE_SHARE = 0.35  # x of applied_late in the site file
MOST_LATE_RELEASES = 5
ENGINE = {"slots": 12, "kv_tokens": 494000, "kv_bytes": 35136, "link_mbps": 180000.0, "stride": 6,
          "models": [{"name": "m"}], "step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011,
          "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
          "usual": {"prompt": 835, "answer": 159}, "sets": 1, "experts": EXPERTS, "places": 4, "spare": 4,
          "expert_mb": 250.0, "expert_share": 0.85, "form_ms": 600.0}


class Agent:
    """The process beside one rank, started with the command of the deploy file."""

    def __init__(self, deployment, name, host, engine_port, agents_port):
        fields = {"node": name, "ip": host, "app": f"{host}:{engine_port}", "service": "svc",
                  "internal_port_range": [agents_port, agents_port],
                  "platform": {"address": "%s:%d" % deployment.store.address}, "limits": {"link_mbps": 20.0}}
        self.name, self.deployment = name, deployment
        self.settings = pathlib.Path(deployment.directory) / f"{name}.toml"
        self.settings.write_text(render("deploy/rank.toml.in", fields).replace(":9465", f":{free_ports(1)[0]}"))
        self.log = pathlib.Path(deployment.directory) / f"{name}.log"
        self.start()

    def start(self):
        if self.deployment.stopped:
            return
        self.process = Process(["target/bin/cornelrelay-agent", "rank"],
                               {"PATH": os.environ["PATH"], "CORNELRELAY_CONFIG": str(self.settings)},
                               open(self.log, "ab"))
        self.deployment.processes.append(self.process)
        self.deployment.note("agent", self.name, "started")

    def alive(self):
        return self.process.process.poll() is None


class Trouble:
    """Decides which orders get no answer, and kills the agent that has just given an order."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.group = None
        self.agents = []
        self.fences = []  # of the leaders, in their order
        self.late_arm = None  # rank whose order to arm is late: that of the first leader
        self.other_armed = False
        self.release_rank = None  # rank whose first orders to release the pass are late, by the third leader
        self.late_releases = 0
        self.disarmed = False

    def leader(self):
        status, item = self.deployment.store.get(f"cornelrelay/groups/{GROUP}/leader")
        return base64.b64decode(item["value"]).decode().split("@")[0] if status == 200 else None

    def kill(self, rank):
        agent = self.agents[rank]
        if agent.alive():
            agent.process.signal(signal.SIGKILL)
            self.deployment.note("agent", agent.name, "killed")
            threading.Timer(DOWN_S, agent.start).start()

    def decide(self, rank, order):
        """Returns nothing for an order that is carried out at once, or a function that says when a late one is due."""
        kind, fence = order["operation"], order["fencing_token"]
        if fence not in self.fences:
            self.fences.append(fence)
            self.deployment.note("leader", len(self.fences), "gives its first order, fencing token", fence)
        if not TROUBLE:
            return None
        number = len(self.fences)
        if number == 1 and kind == "arm" and self.group.switches == 1:  # of the second switch
            return self.decide_arm(rank)
        if number == 2 and kind == "disarm":
            self.kill(1 - self.late_arm)
            return self.disarm_due
        if number == 3 and kind == "go" and not self.disarmed and self.late_releases < MOST_LATE_RELEASES:
            self.release_rank = rank if self.release_rank is None else self.release_rank
            if rank == self.release_rank:
                self.late_releases += 1
                return lambda: False
        return None

    def decide_arm(self, rank):
        leaders = next(r for r, agent in enumerate(self.agents) if agent.name == self.leader())
        late = rank == leaders
        if late:
            self.late_arm = rank
        else:
            self.other_armed = True
        if self.late_arm is not None and self.other_armed:
            self.kill(leaders)
        return (lambda: True) if late else None

    def disarm_due(self):
        self.disarmed = self.release_rank is not None
        return self.disarmed


def main():
    with Deployment() as deployment:
        engine_port, agents_port = free_ports(2)
        hosts = ["127.0.1.1", "127.0.1.2"]
        trouble = Trouble(deployment)
        group = Group(GROUP, hosts, engine_port, deployment.note, trouble.decide)
        trouble.group = group
        deployment.configure(3, [], engine=ENGINE)
        for rank, host in enumerate(hosts):
            deployment.store.put(f"servers/i-{rank}", {
                "service": "svc", "address": f"{host}:{engine_port}", "zone": "zone-a", "version": "v1", "slots": 12,
                "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": group.born})
        with group.lock:  # no order is decided before all agents are known
            trouble.agents = [Agent(deployment, f"side-zone-a-{rank + 1}", host, engine_port, agents_port)
                              for rank, host in enumerate(hosts)]
        time.sleep(9)
        with group.lock:
            share = group.late_orders / max(group.orders, 1)
            deployment.note("at the end:", group.states())
            deployment.note(f"{group.late_orders} of {group.orders} orders were late, a share of {share:.2f}")
            broken, switches = list(group.broken), group.switches
        if TROUBLE and share > LATE_SHARE or not switches:
            raise RuntimeError(f"share of late orders {share:.2f}, {switches} switches")
        verdict = (f"BROKEN: {len(broken)} passes began with different maps, the first one pass {broken[0][0]} with the "
                   f"versions {broken[0][1]}" if broken else f"held: {switches} switches, no pass with different maps")
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
