#!/usr/bin/env python3
"""Measures slopes for docs/CAPACITY.md: cost of one entry and one agent by document size.

Starts the platform's stand-in with documents of several sizes, one entry and one
agent, all without traffic, and prints processor time, memory and document bytes.
Example: Utilities/measure_capacity.py --build build --seconds 10
"""

import argparse
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from demo import fleet as fleets, layout as layouts  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def make_layout(targets, services):
    made = []
    for index in range(services):
        share = targets // services + (1 if index < targets % services else 0)
        rows = [layouts.Target(f"s{index}-t{i}", f"service-{index}", f"domain-{i % 8}",
                               f"10.{index // 250}.{index % 250}.{i + 1}", 4) for i in range(share)]
        made.append(layouts.Service(f"service-{index}", 7001 + index,
                                    [layouts.TrafficClass("report", "request", 1)], rows))
    made[0].targets[0].host = "127.0.2.1"
    entries = [layouts.Entry("entry-1", "127.0.1.1", "domain-0")]
    return layouts.Layout("capacity", made, entries)


def usage(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as text:
        fields = text.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as text:
        rows = dict(line.split(":", 1) for line in text if ":" in line)
    return (int(fields[11]) + int(fields[12])) / TICKS, int(rows["VmRSS"].split()[0]), int(rows["Threads"])


def measure(build, folder, targets, services, seconds):
    layout = make_layout(targets, services)
    fleet = fleets.Fleet(layout, build, folder)
    try:
        fleet.start_platform()
        text = layouts.document_text(layout)
        fleet.publish_document(text)
        # The list holds what runs here; the rest is in the document only.
        layout_small = layouts.Layout(layout.environment, [layouts.Service(
            layout.services[0].name, 7001, layout.services[0].classes, layout.services[0].targets[:1])],
            layout.entries)
        fleet.layout = layout_small
        fleet.publish_instances()
        target = layout_small.services[0].targets[0]
        fleet.start_backend(target)
        fleet.start_agent(target)
        fleet.start_entry(layout.entries[0])
        for host in ("127.0.1.1", "127.0.2.1"):
            fleet.wait_for("the document", lambda host=host: (fleet.status(host) or {}).get("revision", 0) > 0, 30)
        rows = {}
        pids = {name: fleet.processes[name].pid for name in ("entry-1", target.name)}
        before = {name: usage(pid) for name, pid in pids.items()}
        time.sleep(seconds)
        for name, pid in pids.items():
            cpu, rss, threads = usage(pid)
            rows["entry" if name == "entry-1" else "agent"] = ((cpu - before[name][0]) / seconds * 100, rss, threads)
        # Time from the publication of a change until it is in force in the entry.
        started = time.monotonic()
        revision = fleet.publish_document(text + "# changed\n")
        fleet.wait_for("the change", lambda: (fleet.status("127.0.1.1") or {}).get("revision") == revision, 30)
        return len(text), rows, time.monotonic() - started
    finally:
        fleet.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True)
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    print("targets services document_bytes  entry: cpu% rss_kB threads  agent: cpu% rss_kB threads  change_s")
    for targets, services in ((10, 2), (300, 72), (1000, 240), (5000, 1200)):
        with tempfile.TemporaryDirectory() as folder:
            size, rows, change = measure(os.path.abspath(arguments.build), folder, targets, services,
                                         arguments.seconds)
        entry, agent = rows["entry"], rows["agent"]
        print(f"{targets:7} {services:8} {size:14}  {entry[0]:9.2f} {entry[1]:7} {entry[2]:6}"
              f"  {agent[0]:9.2f} {agent[1]:7} {agent[2]:6}  {change:.2f}", flush=True)


if __name__ == "__main__":
    main()
