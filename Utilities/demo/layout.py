"""Addresses, documents and settings of the two set-ups."""

import dataclasses

DATA_PORT = 6000
CONTROL_PORT = 6001
ADMIN_PORT = 6002
BACKEND_PORT = 8000
PLATFORM = "127.0.3.1:8080"
ENTRY_COUNT = 3


@dataclasses.dataclass
class TrafficClass:
    name: str
    work: str
    weight: int
    max_share: float = 1.0


@dataclasses.dataclass
class Target:
    name: str
    service: str
    failure_domain: str
    host: str
    slots: int


@dataclasses.dataclass
class Service:
    name: str
    port: int
    classes: list
    targets: list


@dataclasses.dataclass
class Entry:
    name: str
    host: str
    failure_domain: str


@dataclasses.dataclass
class Layout:
    environment: str
    services: list
    entries: list

    def targets(self):
        return [target for service in self.services for target in service.targets]


def make_service(name, port, classes, count, slots, domains, first_host):
    short = name.split("-")[0]
    targets = [
        Target(f"{short}-{i + 1}", name, domains[i % len(domains)], f"127.0.2.{first_host + i}", slots)
        for i in range(count)
    ]
    return Service(name, port, classes, targets)


def make_layout(environment):
    if environment == "steppe":
        domains = ["karaganda", "zhezkazgan", "balkhash"]
        services = [
            make_service("tracking-gateway", 7001, [
                TrafficClass("landing-report", "request", 8),
                TrafficClass("position-feed", "feed", 4),
            ], 7, 4, domains, 1),
            make_service("record-intake", 7002, [
                TrafficClass("flight-bundle", "upload", 1),
            ], 3, 4, domains, 51),
        ]
    elif environment == "vitrina":
        domains = ["sj-norte", "sj-sur", "heredia", "cartago"]
        services = [
            make_service("vacancy-register", 7001, [
                TrafficClass("reservation", "request", 8),
                TrafficClass("vacancy-feed", "feed", 2),
            ], 7, 5, domains, 1),
            make_service("dossier-intake", 7002, [
                TrafficClass("dossier", "upload", 1),
            ], 4, 5, domains, 51),
        ]
    else:
        raise SystemExit(f"--environment = {environment}: accepted are steppe and vitrina")
    entries = [
        Entry(f"entry-{i + 1}", f"127.0.1.{i + 1}", domains[i % len(domains)])
        for i in range(ENTRY_COUNT)
    ]
    return Layout(environment, services, entries)


def document_text(layout, without=(), comment=""):
    """The environment document, without the targets named in `without`."""
    lines = [f'environment = "{layout.environment}"']
    if comment:
        lines.append(f"# {comment}")
    for service in layout.services:
        lines += ["", "[[service]]", f'name = "{service.name}"', f"port = {service.port}", "queue_per_slot = 8"]
        for item in service.classes:
            lines += ["  [[service.class]]", f'  name = "{item.name}"', f'  work = "{item.work}"',
                      f"  weight = {item.weight}", f"  max_share = {item.max_share}"]
        lines += ["[service.target_defaults]", f"agent_port = {DATA_PORT}", f"control_port = {CONTROL_PORT}",
                  f"backend_port = {BACKEND_PORT}", f"slots = {service.targets[0].slots}", "connections = 2000"]
        for target in service.targets:
            if target.name in without:
                continue
            lines += ["[[service.target]]", f'name = "{target.name}"', f'host = "{target.host}"',
                      f'failure_domain = "{target.failure_domain}"']
    return "\n".join(lines) + "\n"


def instance_rows(layout, leaving=(), gone=()):
    rows = []
    for entry in layout.entries:
        rows.append({"name": entry.name, "role": "entry", "failure_domain": entry.failure_domain,
                     "data": f"{entry.host}:{DATA_PORT}", "control": f"{entry.host}:{CONTROL_PORT}"})
    for target in layout.targets():
        rows.append({"name": target.name, "role": "agent", "service": target.service,
                     "failure_domain": target.failure_domain,
                     "data": f"{target.host}:{DATA_PORT}", "control": f"{target.host}:{CONTROL_PORT}"})
    kept = [row for row in rows if row["name"] not in gone]
    for row in kept:
        row["state"] = "leaving" if row["name"] in leaving else "live"
    return kept


def settings_text(layout, name, host, failure_domain, peers, target=None, impairment=None, drain_limit_ms=30000):
    lines = [
        f'name = "{name}"', f'environment = "{layout.environment}"', f'failure_domain = "{failure_domain}"',
        f'data = "{host}:{DATA_PORT}"', f'control = "{host}:{CONTROL_PORT}"', f'admin = "{host}:{ADMIN_PORT}"',
        f'platform = "{PLATFORM}"', f"drain_limit_ms = {drain_limit_ms}", "watch_wait_ms = 10000",
        "peers = [" + ", ".join(f'"{peer}:{CONTROL_PORT}"' for peer in peers) + "]",
    ]
    if target is not None:
        lines += [f'service = "{target.service}"', f'backend = "{target.host}:{BACKEND_PORT}"']
    lines += ["[impairment]", "enabled = 1"]
    for key, value in (impairment or {}).items():
        lines.append(f"{key} = {value}")
    return "\n".join(lines) + "\n"
