#!/usr/bin/env python3
"""Calculates the worth of a played day that no load balancer could exceed.

Reads a report of the users' bench (`fleetbench run SITE DAY --report FILE`) and
the site file, and assumes perfect knowledge with the same restarts of processes,
targets and store:

- a request that a client sends while all processes are down is answered when
  the client's first copy after the return arrives, at the client's intervals;
- if the machines lose power, a request that must not be repeated is lost if its
  client had kept a flow open: nobody that remains has known the flow. Their
  number is taken from the report, as the requests cut after the fault;
- any other request is served in time.

Prices are taken as they were. The result is an upper limit, since it ignores
that targets which warm up have less capacity than the requests that return
need.

Usage: day_bound.py SITE.toml DAY REPORT.json [REPORT.json ...]
DAY is the name of a day of the site file, or a TOML file with one day.
"""

import json
import math
import sys
import tomllib

# A client repeats a packet after 200 ms and doubles the interval up to 1.6 s.
COPIES_MS = [0, 200, 600, 1400, 3000, 4600, 6200]
WINDOW_S = 2.0
# The platform restarts a killed process after this time, as the logs show.
KILL_RESTART_S = 0.5
WORST_WINDOWS = 2
STEPS_PER_WINDOW = 200


def outage_of(day, report):
    """Returns start and end of the final fault in seconds of traffic, and whether
    the machines lost power; None if the day has no such fault."""
    closing = next((event for event in report["events"]
                    if event["kind"].startswith("closing")), None)
    if closing is None:
        return None
    began = closing["at_s"]
    end = began + day["closing"].get("down_s", 0.0)
    power_lost = "power_off" in closing["kind"]
    if not power_lost:
        end = began + min(day["closing"].get("down_s", 0.0), KILL_RESTART_S)
    if power_lost:
        for fault in day.get("faults", []):
            if fault["kind"] != "platform_down" or "nodes" in fault.get("how", ""):
                continue
            if fault["at"] <= end <= fault["at"] + fault["for_s"]:
                end = fault["at"] + fault["for_s"]
    return began, end, power_lost


def delay_ms(sent_s, outage):
    """Returns how long a client waits until a copy of its packet finds a process."""
    if outage is None or not outage[0] <= sent_s < outage[1]:
        return 0
    return next((copy for copy in COPIES_MS
                 if sent_s + copy / 1000 >= outage[1]), math.inf)


def credit(kind, delay, service_ms):
    """Returns the credit of a request that waits for `delay` before its service."""
    total = delay + service_ms
    if total <= kind["aim_ms"]:
        return kind["worth"]
    return kind["late_worth"] if total <= kind["deadline_ms"] else 0


def bound(site, day, report):
    """Returns the bound of the day's worth and the requests that stay unserved."""
    kinds = {kind["name"]: kind for kind in site["classes"]}
    outage = outage_of(day, report)
    asked = {item["name"]: item["n"] for item in report["classes"]}
    total = sum(asked.values())
    lost = {name: 0.0 for name in asked}
    if outage is not None and outage[2]:
        cut = sum(row[1] for row in report["unserved_by"] if row[0].startswith("cut"))
        once = [name for name in asked if kinds[name].get("kind") == "unsafe"]
        for name in once:
            lost[name] = cut * asked[name] / sum(asked[other] for other in once)
    earned = {name: 0.0 for name in asked}
    owed = {name: asked[name] * kinds[name]["worth"] for name in asked}
    unserved = sum(lost.values())
    windows = []
    for window in report["windows"]:
        start = float(window["name"])
        window_earned = window_owed = 0.0
        for name, kind in kinds.items():
            count = window["n"] * asked.get(name, 0) / total
            got = 0.0
            for step in range(STEPS_PER_WINDOW):
                sent = start + (step + 0.5) * WINDOW_S / STEPS_PER_WINDOW
                value = credit(kind, delay_ms(sent, outage), kind["work_ms"]["mean"])
                got += value / STEPS_PER_WINDOW
                if value == 0:
                    unserved += count / STEPS_PER_WINDOW
            earned[name] = earned.get(name, 0) + count * got
            window_earned += count * got
            window_owed += count * kind["worth"]
        if window_owed > 0:
            windows.append(window_earned / window_owed)
    for name in lost:
        earned[name] -= lost[name] * kinds[name]["worth"]
    worst = sorted(windows)[:WORST_WINDOWS]
    share = max(unserved / total, 1e-9)
    values = {
        "whole day": sum(earned.values()) / sum(owed.values()),
        "worst windows": sum(worst) / len(worst),
        "worst class": min(earned[name] / owed[name] for name in asked if asked[name]),
        "nines": min(1.0, math.log(share) /
                     math.log(site["goal"].get("nines_best", 0.001))),
    }
    worth = sum(weight * values.get(name, value)
                for name, weight, value in report["parts"])
    return worth - sum(price[2] for price in report["prices"]), unserved


def find_day(site, name):
    """Returns the site's day of that name, or the first day of the file."""
    for day in site.get("day", []):
        if day["name"] == name:
            return day
    with open(name, "rb") as file:
        content = tomllib.load(file)
    return content["day"][0] if "day" in content else content


def main(arguments):
    if len(arguments) < 3:
        print(__doc__, file=sys.stderr)
        return 2
    with open(arguments[0], "rb") as file:
        site = tomllib.load(file)
    day = find_day(site, arguments[1])
    for path in arguments[2:]:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
        worth, unserved = bound(site, day, report)
        print(f"{path}: worth {report['G']:.3f}, bound {worth:.3f}, "
              f"unserved {report['all']['failed'] + report['all']['refused']}, "
              f"at least {unserved:.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
