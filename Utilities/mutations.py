#!/usr/bin/env python3
"""Breaks one mechanism at a time and shows which tests of core notice.

Works on a copy of the tree. Exits with 1 when a broken mechanism goes unnoticed.
"""

import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

#: What is broken, the file, the text that stands there, and what replaces it.
MUTATIONS = (
    ("a request received before starts again", "request_processor.cc",
     "  if (request_record* record = state_.requests.Find(known)) {", "  if (request_record* record = nullptr) {"),
    ("a token outlives its reservation", "request_agent.cc",
     "if (flow == nullptr || flow->serial != value.token->serial) {", "if (flow == nullptr) {"),
    ("a fenced flow starts work", "request_processor.cc",
     "  if (flow.state == flow_state::fenced) {\n    return result_code::fenced;\n  }\n", ""),
    ("a fence forgets what was started", "request_processor.cc",
     "started |= std::uint64_t{1} << offset;", "started |= 0;"),
    ("a caller takes any answer to any open", "caller_flow.cc",
     " ||\n      !search_.BelongsToSearch(value.attempt)", ""),
    ("an agent repeats a promise of another agent", "open_processor.cc",
     "if (has_current_token || value.token == known.resumed_from) {", "if (true) {"),
    ("a draining agent starts work", "request_processor.cc",
     "  if (!state_.daemon_lifecycle.IsServing()) {\n    return result_code::draining;\n  }\n", ""),
    ("a cancelled request leaves no trace", "request_processor.cc",
     "    Refuse(handle, result_code::cancelled);\n    return;\n  }\n  if (record->state == request_state::queued)",
     "    state_.requests.Remove(handle);\n    flow.requests.pop_back();\n    return;\n  }\n"
     "  if (record->state == request_state::queued)"),
    ("a request in doubt is sent again", "caller_flow.cc",
     "Finish(now, current, result_code::target_lost);", "current->ResetForResend(now);"),
    ("lost work is called not run", "request_processor.cc",
     "if (record.may_have_run && OutcomeOf(code) == outcome_kind::not_run) {", "if (false) {"),
    ("lost work at the caller is called not run", "caller_flow.cc",
     "if (request->in_doubt && OutcomeOf(code) == outcome_kind::not_run) {", "if (false) {"),
    ("an older document comes into force", "document_store.cc",
     "if (candidate.revision < Revision()) {", "if (false) {"),
    ("a token of another service is followed", "flow_locator.cc",
     "if (value.token->service != routes.Id()) {", "if (false) {"),
    ("a deadline counts from the wake-up", "request_processor.cc",
     "record.deadline = arrived_at + value.time;", "record.deadline = now + value.time;"),
    ("fragments repeat through one entry", "request_replies.cc",
     "state_.Send(*flow, answer, due.tries);", "state_.Send(*flow, answer, due.tries > 0 ? 1 : 0);"),
    ("an agent takes packets of another service", "request_agent.cc",
     "if (header.service != state_.identity.service ||\n      value.service != state_.identity.service) {",
     "if (false) {"),
    ("more work than slots", "slot_ramp.cc",
     "const std::uint32_t all = std::max(1U, slots);", "const std::uint32_t all = 1 + slots;"),
    ("all targets are ejected", "two_choice_picker.cc",
     "return (count.ejected + 1) * 2 <= routes.OpenCount();", "return true;"),
    ("retries have no budget", "retry_budget.cc",
     "  if (available_retries_ < 1) {\n    return false;\n  }\n", ""),
    ("a lease counts a pause", "request_agent.cc",
     "} else if (elapsed < kSuspendThreshold) {", "} else {"),
    ("the position passes a missing configuration", "fleet_state.cc",
     "if (announced_version_ > ConfigurationVersion()) {", "if (false) {"),
    ("changes since a lost history are used", "fleet_state.cc",
     "if (is_list || base.epoch == revision.epoch) {", "if (true) {"),
    ("a restored source undoes later reports", "fleet_state.cc",
     "row.revision.epoch > item.revision.epoch && IsOutdatedReport(row, item)", "false"),
    ("a restored source returns removed targets", "fleet_state.cc",
     "return order < 0 || (known.removed && order == 0);", "return order < 0;"),
    ("the last report of a removed target is not passed on", "fleet_state.cc",
     "    if (item.CompareReports(row) < 0) {", "    if (false) {"),
    ("an update of a lost history is applied", "fleet_state.cc",
     "if (update.revision.epoch < revision_.epoch) {", "if (false) {"),
    ("ignored rows are never decided", "fleet_state.cc",
     "return has_ignored_rows_ && now >= settles_at_;", "return false;"),
    ("a process started on a copy calls its state settled", "fleet_state.cc",
     "update.settled = !has_ignored_rows_ && now >= settles_at_;", "update.settled = true;"),
)


def run_tests(build):
    result = subprocess.run([f"{build}/Tests/core_test"], capture_output=True, text=True, timeout=600,
                            cwd=f"{build}/Tests")
    # Cases that only print a message have the same heading as failed ones.
    cases = re.split(r"TEST CASE: +", result.stdout)[1:]
    failed = {case.splitlines()[0] for case in cases if "ERROR:" in case}
    return result.returncode, sorted(failed)


def main():
    top = pathlib.Path(__file__).resolve().parent.parent
    unnoticed = 0
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "tree"
        shutil.copytree(top, copy, ignore=shutil.ignore_patterns("build*", ".git"))
        build = f"{folder}/build"
        subprocess.run(["cmake", "-S", str(copy), "-B", build, "-G", "Ninja"], check=True, capture_output=True)
        for name, file, text, replacement in MUTATIONS:
            path = copy / "Source" / "core" / file
            original = path.read_text(encoding="utf-8")
            if original.count(text) != 1:
                raise SystemExit(f"{file}: the text of '{name}' stands there {original.count(text)} times, not once")
            path.write_text(original.replace(text, replacement), encoding="utf-8")
            built = subprocess.run(["ninja", "-C", build, "core_test"], capture_output=True, text=True, check=False)
            if built.returncode != 0:
                # An unused variable is no proof; warnings are let pass.
                subprocess.run(["cmake", "-DCORIANDERPLANK_WARNINGS_AS_ERRORS=OFF", build], check=True,
                               capture_output=True)
                subprocess.run(["ninja", "-C", build, "core_test"], check=True, capture_output=True)
            try:
                code, failed = run_tests(build)
            except subprocess.TimeoutExpired:
                code, failed = 1, ["(does not end)"]
            path.write_text(original, encoding="utf-8")
            unnoticed += 1 if code == 0 else 0
            print(f"{'noticed' if code else 'UNNOTICED'}: {name}: {'; '.join(failed)}", flush=True)
    print(f"{len(MUTATIONS) - unnoticed} passed, {unnoticed} failed")
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
