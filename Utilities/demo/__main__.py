"""Command line of the demo; see --help."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading

from . import analysis, fleet as fleets, layout as layouts, scenarios

#: Totals that must be 0 in every scenario.
ALWAYS_ZERO = ("executed_twice", "misrouted", "false_not_run", "wrong_answers", "wrong_messages", "missing_uploads",
               "unfinished")


def parse_arguments():
    parser = argparse.ArgumentParser(prog="demo.sh", description="Runs a whole set-up on loopback under load.")
    parser.add_argument("--environment", default="steppe", help="steppe or vitrina")
    parser.add_argument("--scenario", default="steady", choices=sorted(scenarios.SCENARIOS))
    parser.add_argument("--seconds", type=int, default=None, help="how long flows are opened (10)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="", help="file for the result")
    parser.add_argument("--keep", default="", help="folder for logs and records; a temporary one otherwise")
    parser.add_argument("--build", required=True, help=argparse.SUPPRESS)
    parser.add_argument("--load", action="append", default=[], metavar="NAME=VALUE",
                        help="an option of 'corianderplank load', such as --load rate=100")
    return parser.parse_args()


def load_command(arguments, fleet, scenario, seconds):
    document = fleet.path("document.toml")
    with open(document, "w", encoding="utf-8") as out:
        out.write(layouts.document_text(fleet.layout))
    # About a third of the slots for requests and a half of those for uploads.
    options = {"rate": 120, "seconds": seconds, "requests": 0.81, "feeds": 0.15, "uploads": 0.04, "service-ms": 100}
    options.update({key: value for key, value in scenario.load.items() if key != "seconds"})
    options.update(item.split("=", 1) for item in arguments.load)
    command = [f"{fleet.build}/Source/corianderplank", "load", "--document", document,
               "--entries", ",".join(entry.host for entry in fleet.layout.entries),
               "--seed", str(arguments.seed), "--outcomes", fleet.path("outcomes.jsonl"),
               "--json", fleet.path("load.json")]
    for key, value in options.items():
        command += [f"--{key}", str(value)]
    return command


OUTCOMES = ("answered", "not_run", "outcome_unknown", "broken")


def read_report(fleet):
    """The analyst's report from all live admin ports and all logs, as JSON; keeps the HTML page."""
    admin = ",".join(f"{host}:{layouts.ADMIN_PORT}" for host in fleet.daemon_hosts().values())
    logs = [fleet.path(f"{name}.log") for name in fleet.daemon_hosts()]
    run = subprocess.run([f"{fleet.build}/Source/corianderplank", "report", "--json", "--admin", admin,
                          "--html", fleet.path("report.html"), *logs], capture_output=True, text=True, check=True)
    with open(fleet.path("report.json"), "w", encoding="utf-8") as out:
        out.write(run.stdout)
    return json.loads(run.stdout)


def compare_report(fleet, load):
    """Returns the report's counts, and what is wrong: they must be the load's, unless a process died untold."""
    report = {}

    def agrees():
        report.update(read_report(fleet))
        return all(report[key] == load[key] for key in OUTCOMES)

    try:
        fleet.wait_for("the report to agree with the load", agrees, 4.0)
    except RuntimeError:
        pass
    counts = {key: report[key] for key in OUTCOMES}
    wrong = [f"report says {key}={report[key]}, the load counted {load[key]}"
             for key in OUTCOMES if report[key] != load[key]]
    return counts, report["gaps"], wrong


def run_scenario(arguments, fleet, scenario):
    seconds = arguments.seconds or scenario.load.get("seconds", 10)
    scenario.before_start()
    print(f"{fleet.layout.environment}: {len(fleet.layout.entries)} entries, {len(fleet.layout.targets())} targets, "
          f"scenario {scenario.name}, {seconds} s", flush=True)
    failures = []

    def disturb():
        try:
            scenario.disturb(seconds)
        except Exception as error:  # Told with the result; the load goes on.
            failures.append(f"scenario: {error!r}")

    load = subprocess.Popen(load_command(arguments, fleet, scenario, seconds), stdout=subprocess.DEVNULL)
    fleet.processes["load"] = load
    disturber = threading.Thread(target=disturb, daemon=True)
    disturber.start()
    disturber.join()
    load.wait(seconds + 120)
    with open(fleet.path("load.json"), encoding="utf-8") as text:
        counted = json.load(text)
    result = analysis.analyse(fleet.layout, fleet.folder, counted)
    result["report"], gaps, differences = compare_report(fleet, counted)
    result["report_gaps"] = len(gaps)
    with open(fleet.path("report.json"), encoding="utf-8") as text:
        for row in json.load(text)["imbalance"]:
            result["imbalance"][row["service"]]["feeds"] = round(row["feeds_mean"], 3)
    if gaps:
        result["report_differences"] = differences
    else:
        failures += differences
    result["scenario"] = scenario.name
    result["notes"] = {key: str(value) for key, value in scenario.notes.items()}
    failures += scenario.check(result)
    for key in ALWAYS_ZERO + tuple(scenario.zero):
        if result[key] != 0:
            failures.append(f"{key} is {result[key]}, accepted is 0")
    result["failures"] = failures
    return result


def print_result(result):
    print(f"{'flows':<24}{result['flows']}")
    for key in ("most_open_flows", "answered", "not_run", "outcome_unknown", "broken", "feed_messages", "idempotent_repeated",
                "false_not_run", "missing_uploads", "wrong_answers", "wrong_messages", "unfinished"):
        print(f"{key:<24}{result[key]}")
    for reason, count in result["reasons"].items():
        print(f"  reason {reason:<24}{count}")
    for name, count in result["counters"].items():
        print(f"  caller {name:<24}{count}")
    for kind, row in result["latency"].items():
        print(f"{kind + ' latency':<24}p50 {row['p50_us'] / 1000:.1f} ms  p99 {row['p99_us'] / 1000:.1f} ms")
    for name, row in result["imbalance"].items():
        print(f"{'imbalance ' + name:<32}mean {row['mean']}  p99 {row['p99']}  open feeds {row.get('feeds', 0)}")
    for key, value in result.items():
        if key.endswith("_s") or key == "restarted":
            print(f"{key:<40}{value}")
    print(f"{'report':<24}" + " ".join(f"{key}={value}" for key, value in result["report"].items())
          + f", {result['report_gaps']} gaps")
    for difference in result.get("report_differences", ()):
        print(f"  within the gaps: {difference}")
    for name, value in result["notes"].items():
        print(f"  note {name}: {value}")
    for failure in result["failures"]:
        print(f"FAILED: {failure}")
    highest = max((row["mean"] for row in result["imbalance"].values()), default=0)
    print(f"answered={result['answered']} not_run={result['not_run']} outcome_unknown={result['outcome_unknown']} "
          f"broken={result['broken']} executed_twice={result['executed_twice']} misrouted={result['misrouted']} "
          f"imbalance={highest}", flush=True)


def main():
    arguments = parse_arguments()
    # Ctrl-C and SIGTERM both end in the clean-up below.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    layout = layouts.make_layout(arguments.environment)
    with tempfile.TemporaryDirectory(prefix="corianderplank-") as temporary:
        folder = arguments.keep or temporary
        os.makedirs(folder, exist_ok=True)
        kind = scenarios.SCENARIOS[arguments.scenario]
        fleet = fleets.Fleet(layout, arguments.build, folder, kind.impairment)
        try:
            result = run_scenario(arguments, fleet, kind(fleet, arguments.seed))
        except KeyboardInterrupt:
            return 1
        finally:
            fleet.stop_all()
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as out:
            json.dump(result, out, indent=2)
    print_result(result)
    return 1 if result["failures"] else 0


if __name__ == "__main__":
    sys.exit(main())
