"""The processes of a set-up: start, stop, freeze, kill, ask."""

import http.client
import json
import os
import signal
import subprocess
import time

from . import layout as layouts


def http_call(address, method, path, body="", timeout=5.0):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class Fleet:
    """All processes of one set-up; ends only those that it started."""

    def __init__(self, layout, build, folder, impairment=None):
        self.layout = layout
        self.build = build
        self.folder = folder
        self.impairment = impairment or {}
        self.processes = {}
        for name in os.listdir(folder):  # What an earlier run left in a kept folder.
            if name.endswith((".log", ".jsonl", ".toml", ".json", ".html")):
                os.remove(os.path.join(folder, name))
        self.revision = 1
        self.instances_version = 1
        self.starts = {}
        self.stopping = False

    def path(self, name):
        return os.path.join(self.folder, name)

    def spawn(self, name, arguments):
        if self.stopping:
            raise RuntimeError("the set-up is being stopped")
        self.starts[name] = self.starts.get(name, 0) + 1
        log = open(self.path(f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def start_platform(self):
        self.spawn("platform", [f"{self.build}/Tests/platform_standin", "--listen", layouts.PLATFORM])
        self.wait_for("the platform", lambda: self.platform("limit", "2000"))
        if self.processes["platform"].poll() is not None:
            raise RuntimeError(f"the platform's address {layouts.PLATFORM} is in use; is another demo running?")

    def platform(self, what, body, query=""):
        status, text = http_call(layouts.PLATFORM, "POST", f"/control/{what}{query}", body)
        return json.loads(text) if status == 200 else None

    def publish_document(self, text, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        self.platform("document", text, f"?revision={revision}")
        return revision

    def publish_instances(self, leaving=(), gone=()):
        self.instances_version += 1
        rows = layouts.instance_rows(self.layout, leaving, gone)
        self.platform("instances", json.dumps({"version": self.instances_version, "instances": rows}))

    def start_backend(self, target, cold_start_ms=0):
        self.spawn(f"backend-{target.name}", [
            f"{self.build}/Tests/backend_standin", "--name", target.name, "--service", target.service,
            "--listen", f"{target.host}:{layouts.BACKEND_PORT}", "--slots", str(target.slots),
            "--cold-start-ms", str(cold_start_ms), "--records", self.path("records.jsonl")])

    def backend_control(self, target, name, value):
        http_call(f"{target.host}:{layouts.BACKEND_PORT}", "POST", f"/control/{name}?value={int(value)}")

    def write_settings(self, name, text):
        with open(self.path(f"{name}.toml"), "w", encoding="utf-8") as out:
            out.write(text)
        return self.path(f"{name}.toml")

    def start_agent(self, target):
        peers = [entry.host for entry in self.layout.entries[:2]]
        settings = self.write_settings(target.name, layouts.settings_text(
            self.layout, target.name, target.host, target.failure_domain, peers, target, self.impairment))
        self.spawn(target.name, [f"{self.build}/Source/corianderplank_agent", "--settings", settings])

    def start_entry(self, entry):
        peers = [other.host for other in self.layout.entries if other is not entry][:2]
        settings = self.write_settings(entry.name, layouts.settings_text(
            self.layout, entry.name, entry.host, entry.failure_domain, peers, None, self.impairment, 2000))
        self.spawn(entry.name, [f"{self.build}/Source/corianderplank_entry", "--settings", settings])

    def start_all(self, with_platform=True):
        if with_platform:
            self.start_platform()
            self.publish_document(layouts.document_text(self.layout))
            self.publish_instances()
        for target in self.layout.targets():
            self.start_backend(target)
            self.start_agent(target)
        for entry in self.layout.entries:
            self.start_entry(entry)
        self.wait_until_ready()

    def daemon_hosts(self):
        hosts = {entry.name: entry.host for entry in self.layout.entries}
        hosts.update({target.name: target.host for target in self.layout.targets()})
        return hosts

    def admin(self, host, path, method="GET", body=""):
        return http_call(f"{host}:{layouts.ADMIN_PORT}", method, path, body)

    def status(self, host):
        try:
            code, text = self.admin(host, "/status")
            return json.loads(text) if code == 200 else None
        except (OSError, http.client.HTTPException):
            return None

    def revisions(self):
        result = {}
        for name, host in self.daemon_hosts().items():
            page = self.status(host)
            result[name] = page["revision"] if page else None
        return result

    def is_ready(self, host):
        page = self.status(host)
        return page is not None and page["revision"] > 0 and page["role_status"].get("state", "serving") == "serving"

    def wait_until_ready(self, limit=20.0):
        for name, host in self.daemon_hosts().items():
            if self.processes[name].poll() is not None:
                raise RuntimeError(f"{name} ended at once; is another demo running? See {self.path(name)}.log")
            self.wait_for(f"{name} to be ready", lambda host=host: self.is_ready(host), limit)

    def wait_for(self, what, condition, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"waited {limit} s for {what}")

    def block(self, blocked):
        """blocked: process name -> hosts whose processes it cannot reach."""
        for name, hosts in blocked.items():
            lines = [f"{host}:{port}" for host in hosts for port in (layouts.DATA_PORT, layouts.CONTROL_PORT)]
            self.admin(self.daemon_hosts()[name], "/impairment", "POST", "\n".join(lines))

    def signal(self, name, number):
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, limit=40.0):
        self.signal(name, signal.SIGTERM)
        self.processes[name].wait(limit)

    def stop_all(self):
        self.stopping = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
