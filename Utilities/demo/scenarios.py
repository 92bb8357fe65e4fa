"""What happens to a set-up while the load runs."""

import json
import random
import signal
import socket
import time

from . import layout as layouts


class Scenario:
    """Base: nothing happens."""

    name = "steady"
    #: Totals that must be 0, beside those that must be 0 everywhere.
    zero = ("broken", "outcome_unknown")
    load = {}
    impairment = {}

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.notes = {}
        self.first = fleet.layout.services[0]

    def before_start(self):
        self.fleet.start_all()

    def disturb(self, seconds):
        """Runs beside the load, which lasts for `seconds`."""

    def check(self, result):
        """Returns texts on what is wrong beside the totals."""
        return []

    def pick_target(self):
        return self.random.choice(self.first.targets)

    def pick_entry(self):
        return self.random.choice(self.fleet.layout.entries)


class EntryKill(Scenario):
    name = "entry-kill"

    def disturb(self, seconds):
        time.sleep(seconds / 3)
        entry = self.pick_entry()
        self.fleet.kill(entry.name)
        time.sleep(seconds / 3)
        self.fleet.start_entry(entry)


class AgentKill(Scenario):
    name = "agent-kill"
    zero = ()

    def disturb(self, seconds):
        time.sleep(seconds / 3)
        target = self.pick_target()
        self.notes["killed"] = target.name
        self.fleet.kill(target.name)
        time.sleep(seconds / 3)
        self.fleet.start_agent(target)


class BackendKill(Scenario):
    name = "backend-kill"
    zero = ()

    def disturb(self, seconds):
        time.sleep(seconds / 3)
        target = self.pick_target()
        self.notes["killed"] = target.name
        self.fleet.kill(f"backend-{target.name}")
        time.sleep(seconds / 3)
        self.fleet.start_backend(target)


class BackendDrain(Scenario):
    """Three ways of learning of a drain: backend server, instance list, document."""

    name = "backend-drain"
    zero = ("broken", "outcome_unknown")

    def disturb(self, seconds):
        targets = self.random.sample(self.first.targets, 3)
        ways = (("backend", lambda t: self.fleet.backend_control(t, "leaving", True)),
                ("instance_list", lambda t: self.fleet.publish_instances(leaving=[t.name])),
                ("document", lambda t: self.fleet.publish_document(
                    layouts.document_text(self.fleet.layout, without=[t.name]))))
        self.notes["left"] = {}
        for target, (way, leave) in zip(targets, ways):
            time.sleep(seconds / 4)
            self.notes["left"][way] = (target.name, time.time_ns() // 1000)
            leave(target)
            if way == "backend":
                self.notes["undrain"] = target

    def check(self, result):
        from . import analysis
        wrong = []
        for way, (target, at_us) in self.notes["left"].items():
            seconds = analysis.last_new_work(self.fleet.folder, target, at_us)
            result[f"last_new_work_after_{way}_s"] = round(seconds, 3)
            if seconds > 3.0:
                wrong.append(f"{target} started new work {seconds:.1f} s after leaving by {way}")
        return wrong


class RollingRestart(Scenario):
    name = "rolling-restart"

    def disturb(self, seconds):
        members = [(entry.name, entry, self.fleet.start_entry) for entry in self.fleet.layout.entries]
        members += [(target.name, target, self.fleet.start_agent) for target in self.fleet.layout.targets()]
        self.notes["restarted"] = 0
        end = time.monotonic() + seconds - 1
        for name, member, start in members:
            if time.monotonic() > end:
                break
            self.fleet.publish_instances(leaving=[name])
            self.fleet.terminate(name)
            start(member)
            self.fleet.publish_instances()
            self.fleet.wait_for(f"{name} to be ready", lambda member=member: self.fleet.is_ready(member.host))
            self.notes["restarted"] += 1

    def check(self, result):
        result["restarted"] = self.notes["restarted"]
        return []


class PlatformOutage(Scenario):
    """Down while a process starts; afterwards an older answer."""

    name = "platform-outage"

    def disturb(self, seconds):
        fleet = self.fleet
        text = layouts.document_text(fleet.layout, comment="second")
        self.notes["highest"] = fleet.publish_document(text)
        time.sleep(seconds / 5)
        fleet.platform("mode", "down")
        time.sleep(seconds / 5)
        target = self.pick_target()
        fleet.terminate(target.name)
        fleet.start_agent(target)
        entry = self.pick_entry()
        fleet.kill(entry.name)
        fleet.start_entry(entry)
        time.sleep(seconds / 5)
        # Comes back with a document of before the outage.
        fleet.publish_document(layouts.document_text(fleet.layout, comment="stale"), revision=1)
        fleet.platform("mode", "ok")
        target = self.pick_target()
        fleet.terminate(target.name)
        fleet.start_agent(target)
        time.sleep(seconds / 5)
        self.notes["revisions"] = fleet.revisions()

    def check(self, result):
        highest = self.notes["highest"]
        lower = {name: revision for name, revision in self.notes["revisions"].items() if revision != highest}
        return [f"not on revision {highest}: {lower}"] if lower else []


class PlatformLimit(Scenario):
    """The platform refuses all but two calls a second, then answers slowly, while documents change."""

    name = "platform-limit"

    def disturb(self, seconds):
        fleet = self.fleet
        self.notes["in_force_s"] = []
        for mode, limit in (("ok", 2), ("slow", 2000)):
            fleet.platform("limit", str(limit))
            fleet.platform("mode", mode)
            time.sleep(seconds / 4)
            highest = fleet.publish_document(layouts.document_text(fleet.layout, comment=f"while {mode} {limit}"))
            started = time.monotonic()
            fleet.wait_for("the document everywhere", lambda: set(fleet.revisions().values()) == {highest}, 20)
            self.notes["in_force_s"].append(round(time.monotonic() - started, 2))
        fleet.platform("mode", "ok")

    def check(self, result):
        result["in_force_s"] = max(self.notes["in_force_s"])
        late = result["in_force_s"] > 10
        return [f"a document was in force only after {result['in_force_s']} s"] if late else []


class DomainKill(Scenario):
    """Everything in one failure domain dies at once and comes back later."""

    name = "domain-kill"
    zero = ("broken",)

    def disturb(self, seconds):
        fleet = self.fleet
        domain = self.pick_entry().failure_domain
        self.notes["domain"] = domain
        entries = [entry for entry in fleet.layout.entries if entry.failure_domain == domain]
        targets = [target for target in fleet.layout.targets() if target.failure_domain == domain]
        time.sleep(seconds / 3)
        for target in targets:
            fleet.kill(target.name)
            fleet.kill(f"backend-{target.name}")
        for entry in entries:
            fleet.kill(entry.name)
        time.sleep(seconds / 3)
        for target in targets:
            fleet.start_backend(target)
            fleet.start_agent(target)
        for entry in entries:
            fleet.start_entry(entry)


class Freeze(Scenario):
    """An entry, an agent and a backend server sleep, one after the other, and wake up."""

    name = "freeze"
    zero = ()
    load = {"seconds": 45}

    def disturb(self, seconds):
        sleep = 20 if seconds >= 40 else seconds / 3
        target, other = self.random.sample(self.first.targets, 2)
        names = [self.pick_entry().name, target.name, f"backend-{other.name}"]
        self.notes["frozen"] = names
        time.sleep(1)
        for name in names:
            self.fleet.signal(name, signal.SIGSTOP)
            time.sleep(2)
        time.sleep(max(0, sleep - 6))
        for name in names:
            self.fleet.signal(name, signal.SIGCONT)
            time.sleep(2)


class Partition(Scenario):
    """One entry cannot reach some agents; two agents cannot reach each other's half."""

    name = "partition"
    zero = ("broken",)

    def disturb(self, seconds):
        targets = self.first.targets
        half = targets[: len(targets) // 2]
        rest = targets[len(targets) // 2:]
        entry = self.pick_entry()
        blocked = {entry.name: [target.host for target in half]}
        for target in half:
            blocked[target.name] = [entry.host] + [other.host for other in rest]
        for target in rest:
            blocked[target.name] = [other.host for other in half]
        time.sleep(seconds / 4)
        self.fleet.block(blocked)
        time.sleep(seconds / 2)
        self.fleet.block({name: [] for name in blocked})


class DocumentRace(Scenario):
    """Two operators publish; revisions come out of order; one part hears late."""

    name = "document-race"

    def disturb(self, seconds):
        fleet = self.fleet
        first = [layouts.document_text(fleet.layout, without=[target.name]) for target in self.first.targets[:2]]
        time.sleep(seconds / 5)
        late = fleet.layout.entries[0]
        fleet.signal(late.name, signal.SIGSTOP)
        base = fleet.revision
        for step in range(1, 9):
            # The operators' writes arrive as 2, 1, 4, 3, ...
            revision = base + (step + 1 if step % 2 else step - 1)
            fleet.publish_document(first[step % 2], revision=revision)
            time.sleep(0.2)
        fleet.signal(late.name, signal.SIGCONT)
        fleet.revision = base + 8
        highest = fleet.publish_document(layouts.document_text(fleet.layout, comment="last"))
        started = time.monotonic()
        fleet.wait_for("the last document everywhere",
                       lambda: set(fleet.revisions().values()) == {highest}, 15)
        self.notes["in_force_s"] = time.monotonic() - started
        for _ in range(10):
            if min(fleet.revisions().values()) < highest:
                self.notes["reverted"] = True
            time.sleep(0.1)

    def check(self, result):
        result["in_force_s"] = round(self.notes["in_force_s"], 3)
        wrong = []
        if self.notes["in_force_s"] > 10:
            wrong.append("the last document was in force only after 10 s")
        if self.notes.get("reverted"):
            wrong.append("a process went back to a lower revision")
        return wrong


class LyingHealth(Scenario):
    """One backend server says that all is well and refuses all work; one loses all answers."""

    name = "lying-health"
    zero = ("broken",)

    def disturb(self, seconds):
        shedder, loser = self.random.sample(self.first.targets, 2)
        time.sleep(seconds / 4)
        for target, what in ((shedder, "sheds_all"), (loser, "loses_all")):
            self.fleet.backend_control(target, "lies", True)
            self.fleet.backend_control(target, what, True)
        time.sleep(seconds / 2)
        for target, what in ((shedder, "sheds_all"), (loser, "loses_all")):
            self.fleet.backend_control(target, what, False)


class Overload(Scenario):
    """Twice the work that the slots can do."""

    name = "overload"
    zero = ("broken",)

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        slots = sum(target.slots for target in self.first.targets)
        service_ms = 100
        self.load = {"rate": 2 * slots * 1000 / service_ms / 0.8, "service-ms": service_ms,
                     "requests": 0.8, "feeds": 0.1, "uploads": 0.1, "timeout-ms": 3000, "upload-timeout-ms": 15000}


    def check(self, result):
        """Only work whose deadline passed while it ran may have an unknown outcome."""
        from . import analysis
        limits = {"request": self.load["timeout-ms"], "upload": self.load["upload-timeout-ms"], "feed": 0}
        early = [row["request_id"] for row in analysis.read_lines(self.fleet.path("outcomes.jsonl"))
                 if row["outcome"] == "outcome_unknown" and row["latency_us"] < limits[row["kind"]] * 1000]
        return [f"outcome unknown before the deadline: {early[:5]}"] if early else []


class Lossy(Scenario):
    """1% lost, 1% doubled and 2% out of order on every hop; 500 flows at a time."""

    name = "lossy"
    impairment = {"loss_permille": 10, "duplicate_permille": 10, "reorder_permille": 20, "seed": 5}
    load = {"loss": 10, "duplicates": 10, "reorder": 20, "rate": 170, "feed-messages": 150, "feeds": 0.4,
            "requests": 0.5, "uploads": 0.1, "service-ms": 20}


    def check(self, result):
        wrong = []
        if result["answered"] < 2000:
            wrong.append(f"only {result['answered']} pieces of work were answered, wanted are 2,000")
        if result["most_open_flows"] < 500:
            wrong.append(f"only {result['most_open_flows']} flows were open at a time, wanted are 500")
        return wrong


class BadInput(Scenario):
    """Random bytes of many sizes at the ports of an entry and an agent."""

    name = "bad-input"
    datagrams = 20000

    def disturb(self, seconds):
        entry = self.fleet.layout.entries[0]
        target = self.first.targets[0]
        ports = ((entry.host, self.first.port), (entry.host, layouts.DATA_PORT), (target.host, layouts.DATA_PORT))
        answers = 0
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.0.0.1", 0))
            sender.setblocking(False)
            for number in range(self.datagrams):
                sender.sendto(self.random.randbytes(self.random.choice((0, 1, 40, 200, 1400, 2000))),
                              ports[number % len(ports)])
                if number % 200 == 0:
                    time.sleep(0.01)
            time.sleep(1)
            try:
                while sender.recv(2048):
                    answers += 1
            except BlockingIOError:
                pass
        self.notes["answers"] = answers
        dropped = 0
        for host in (entry.host, target.host):
            counters = json.loads(self.fleet.admin(host, "/metrics.json")[1])["counters"]
            dropped += counters.get("malformed", 0) + counters.get("oversized", 0)
        self.notes["dropped"] = dropped

    def check(self, result):
        wrong = []
        if self.notes["answers"] > 0:
            wrong.append(f"{self.notes['answers']} datagrams came back for random bytes")
        if self.notes["dropped"] != self.datagrams:
            wrong.append(f"{self.notes['dropped']} of {self.datagrams} datagrams were counted as dropped")
        return wrong


class Storm(Scenario):
    """Several faults in a seeded order, together."""

    name = "storm"
    zero = ()
    load = {"seconds": 30}

    def disturb(self, seconds):
        fleet = self.fleet
        steps = [self.kill_entry, self.kill_agent, self.drain, self.outage, self.freeze, self.cut, self.restart,
                 self.lie, self.race]
        self.random.shuffle(steps)
        self.notes["order"] = [step.__name__ for step in steps]
        pause = (seconds - 6) / len(steps)
        undo = []
        for step in steps:
            time.sleep(pause)
            undo.append(step())
            if len(undo) > 2:
                action = undo.pop(0)
                if action:
                    action()
        for action in undo:
            if action:
                action()
        fleet.platform("mode", "ok")

    def kill_entry(self):
        entry = self.pick_entry()
        self.fleet.kill(entry.name)
        return lambda: self.fleet.start_entry(entry)

    def kill_agent(self):
        target = self.first.targets[0]
        self.fleet.kill(target.name)
        return lambda: self.fleet.start_agent(target)

    def drain(self):
        target = self.first.targets[1]
        self.fleet.backend_control(target, "leaving", True)
        return lambda: self.fleet.backend_control(target, "leaving", False)

    def outage(self):
        self.fleet.platform("mode", "down")
        return lambda: self.fleet.platform("mode", "ok")

    def freeze(self):
        name = self.first.targets[2].name
        self.fleet.signal(name, signal.SIGSTOP)
        return lambda: self.fleet.signal(name, signal.SIGCONT)

    def cut(self):
        target = self.first.targets[3]
        others = [other.host for other in self.first.targets if other is not target]
        self.fleet.block({target.name: others})
        return lambda: self.fleet.block({target.name: []})

    def lie(self):
        target = self.first.targets[5]
        self.fleet.backend_control(target, "sheds_all", True)
        return lambda: self.fleet.backend_control(target, "sheds_all", False)

    def race(self):
        base = self.fleet.revision
        for step in (2, 1, 4, 3):
            text = layouts.document_text(self.fleet.layout, comment=f"operator {step % 2}, revision {base + step}")
            self.fleet.publish_document(text, revision=base + step)
        self.fleet.revision = base + 4
        return None

    def restart(self):
        target = self.first.targets[4]
        self.fleet.terminate(target.name)
        self.fleet.start_agent(target)
        return None


SCENARIOS = {kind.name: kind for kind in (
    Scenario, EntryKill, DomainKill, AgentKill, BackendKill, BackendDrain, RollingRestart, PlatformOutage, PlatformLimit, Freeze, Partition,
    DocumentRace, LyingHealth, Overload, BadInput, Lossy, Storm)}
