"""Compares what callers were told with what backend servers recorded."""

import collections
import json
import os

WINDOW_US = 1_000_000


def read_lines(path):
    if not os.path.exists(path):
        return []
    rows = []
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            try:
                rows.append(json.loads(line))
            except ValueError:
                pass  # The last line of a killed process may be cut.
    return rows


def busy_spans(records):
    """(service, target) -> list of (start, end) in microseconds."""
    spans = collections.defaultdict(list)
    for row in records:
        if row["what"] in ("finished", "cancelled"):
            spans[(row["service"], row["target"])].append((row["started_us"], row["time_us"]))
    return spans


def window_loads(spans, first, windows):
    loads = [0.0] * windows
    for start, end in spans:
        for window in range(max(0, (start - first) // WINDOW_US), min(windows - 1, (end - first) // WINDOW_US) + 1):
            low = first + window * WINDOW_US
            loads[window] += max(0, min(end, low + WINDOW_US) - max(start, low))
    return loads


def imbalance_of(layout, records, service, skip=()):
    """Highest over mean of the busy share, one value a window of 1 s."""
    spans = busy_spans(records)
    of_service = [span for key, items in spans.items() if key[0] == service.name for span in items]
    if not of_service:
        return []
    first = min(start for start, _ in of_service) + WINDOW_US
    last = max(start for start, _ in of_service)
    windows = max(0, (last - first) // WINDOW_US)
    loads = [window_loads(spans.get((service.name, target.name), []), first, windows)
             for target in service.targets if target.name not in skip]
    ratios = []
    for window in range(windows):
        values = [load[window] for load in loads]
        mean = sum(values) / len(values)
        if mean > 0:
            ratios.append(max(values) / mean)
    return ratios


def summary_of(ratios):
    if not ratios:
        return 0.0, 0.0
    ordered = sorted(ratios)
    return sum(ratios) / len(ratios), ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]


def executions(records):
    counts = collections.Counter()
    for row in records:
        if row["what"] == "started":
            counts[row["request_id"]] += 1
    return counts


def analyse(layout, folder, load):
    records = read_lines(os.path.join(folder, "records.jsonl"))
    outcomes = read_lines(os.path.join(folder, "outcomes.jsonl"))
    counts = executions(records)
    idempotent = {row["request_id"]: row["idempotent"] for row in records if row["what"] == "started"}
    finished = {row["request_id"] for row in records if row["what"] == "finished"}
    result = {
        "executed_twice": sum(1 for key, count in counts.items() if count > 1 and not idempotent[key]),
        "idempotent_repeated": sum(1 for key, count in counts.items() if count > 1 and idempotent[key]),
        "misrouted": sum(1 for row in records if row["what"] == "misrouted"),
        "false_not_run": sum(1 for row in outcomes if row["outcome"] == "not_run" and counts[row["request_id"]] > 0),
        "missing_uploads": sum(1 for row in outcomes if row["kind"] == "upload" and row["outcome"] == "answered"
                               and row["request_id"] not in finished),
        "imbalance": {},
    }
    for service in layout.services:
        mean, high = summary_of(imbalance_of(layout, records, service))
        result["imbalance"][service.name] = {"mean": round(mean, 3), "p99": round(high, 3)}
    for key in ("answered", "not_run", "outcome_unknown", "broken", "unfinished", "wrong_answers", "wrong_messages",
                "flows", "most_open_flows", "feed_messages", "reasons", "counters", "latency"):
        result[key] = load.get(key)
    return result


def last_new_work(folder, target, after_us):
    """Time of the last execution that the target started, in seconds after the given time."""
    records = read_lines(os.path.join(folder, "records.jsonl"))
    times = [row["started_us"] for row in records
             if row["target"] == target and row["what"] == "started" and row["started_us"] > after_us]
    return (max(times) - after_us) / 1e6 if times else 0.0
