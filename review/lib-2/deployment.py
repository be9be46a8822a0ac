"""Starts the gateway by the deploy file, a store, servers and clients on loopback.

Each run takes random addresses of 127.0.0.0/8, so that its ports are free. All
processes that it started are ended by their ids when it is over.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http_wire
from store import encode

LIB = Path(__file__).resolve().parent
ROOT = LIB.parents[1]
STORE_PORT, FRONT_PORT, READY_PORT, SERVER_PORT = 8225, 8221, 8224, 8080
INNER_PORTS = [7600, 7615]
HOST = "site.example"
OUTSIDE = ("X-Outside", "1")
# The bounds of the deployment stc-meals, with its figures.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "revoke_strict": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 56,
    "quota_window_s": 8,
    "quota_over": 0.1,
    "quota_slack": 11000,
    "fencing": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
}
LIMITS = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100}
RESTART_S = 1.0


def wants_trouble():
    """Return whether the script is to make the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """The processes of one run and its record."""

    def __init__(self, record_path, zones=("ahd-a", "sur-b", "raj-c")):
        rng = random.SystemRandom()
        self.net = f"127.{rng.randint(1, 250)}.{rng.randint(0, 250)}"
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.started_s = time.monotonic()
        self.processes = {}
        self.store = f"{self.net}.1:{STORE_PORT}"
        self.gateways = {}
        self.commands = {}
        self.request_numbers = iter(range(1, 10**9))
        self.run_id = f"{rng.getrandbits(32):08x}"

    def now_s(self):
        return time.monotonic() - self.started_s

    def record(self, text):
        self.record_file.write(f"{self.now_s():8.3f} {text}\n")
        self.record_file.flush()

    def new_id(self):
        return f"{self.run_id}{next(self.request_numbers):08x}"

    def spawn(self, name, command, env=None):
        log = open(self.folder / f"{name}.log", "ab")
        base = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        base["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}"
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**base, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.commands[name] = (command, env)
        log.close()
        return self.processes[name]

    def start_store(self, troubled_gateways=0):
        host, port = self.store.split(":")
        arguments = [host, port, str(troubled_gateways)]
        self.spawn("store", [sys.executable, str(LIB / "store.py"), *arguments])

    async def member_names(self):
        """Return the gateways that are listed in the store, as the platform sees it."""
        answer = await http_wire.call(
            self.store, "GET", "/kv-range?prefix=jaytray/", [OUTSIDE], timeout_s=2.0
        )
        items = json.loads(answer.body)["items"]
        return sorted(
            name for name in self.gateways if any(name in i["key"] for i in items)
        )

    def start_gateway(self, number, limits=None):
        name, ip = f"front-{number}", f"{self.net}.{10 + number}"
        zone = self.zones[number % len(self.zones)]
        settings = {
            "node": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": ip,
            "zone": zone,
            "region": "guj-west",
            "zones": {zone: "guj-west" for zone in self.zones},
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
            "inner_ports": INNER_PORTS,
            "seeds": [],
            "bootstrap": True,
            "limits": {**LIMITS, **(limits or {})},
            "data_dir": None,
            "beat_interval_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"addr": self.store, "form": "kv", "ttl_min_ms": 1000},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.gateways[name] = f"{ip}:{FRONT_PORT}"
        self.spawn(name, shlex.split(role["run"]), {"JAYTRAY_CONFIG": str(path)})

    def restart(self, name):
        self.spawn(name, *self.commands[name])

    def start_server(self, number, program, options):
        name, ip = f"server-{number}", f"{self.net}.{100 + number}"
        options = {
            "id": f"i-{self.run_id[:4]}{number:04x}",
            "addr": f"{ip}:{SERVER_PORT}",
            "store": self.store,
            "zone": self.zones[number % len(self.zones)],
            "origin_s": self.started_s,
            "log": str(self.folder / f"{name}.events"),
            **options,
        }
        self.spawn(name, [sys.executable, str(program), json.dumps(options)])
        return self.folder / f"{name}.events"

    async def configure(self, configuration):
        """Write the configuration as the operator does; returns its ack's time."""
        while True:
            found = await http_wire.call(
                self.store, "GET", "/kv-key?key=op/config", [OUTSIDE], timeout_s=2.0
            )
            if found.status in (200, 404):
                break
            await asyncio.sleep(0.05)
        revision = json.loads(found.body)["revision"] if found.status == 200 else 0
        change = {
            "expected": [{"key": "op/config", "revision": revision}],
            "puts": [{"key": "op/config", "value": encode(configuration)}],
            "deletes": [],
        }
        body = json.dumps(change).encode()
        answer = await http_wire.call(
            self.store, "POST", "/kv-txn", [OUTSIDE], body, timeout_s=2.0
        )
        assert answer.status == 200, answer.body
        self.record(f"operator: version {configuration['version']} acknowledged")
        return self.now_s()

    async def wait_ready(self, timeout_s=30.0):
        """Return whether all gateways say that they are ready in time."""
        ends_s = time.monotonic() + timeout_s
        for address in self.gateways.values():
            ready = address.replace(str(FRONT_PORT), str(READY_PORT))
            while True:
                answer = await http_wire.call(
                    ready, "GET", "/readiness", [], timeout_s=1.0
                )
                if answer.status == 200:
                    break
                if time.monotonic() > ends_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def request(self, gateway, path, headers, body, *, deadline_ms, keep=4096):
        """Send one client attempt, record it, and return its id and the answer."""
        request_id = self.new_id()
        headers = [
            ("Host", HOST),
            ("Jaytray-Request-Id", request_id),
            ("Jaytray-Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        self.record(f"client: {request_id} sent to {gateway} {path}")
        answer = await http_wire.call(
            self.gateways[gateway],
            "POST",
            path,
            headers,
            body,
            timeout_s=deadline_ms / 1000,
            keep=keep,
        )
        end = "whole" if answer.is_whole else f"not whole ({answer.error})"
        self.record(f"client: {request_id} answered {answer.status} {end}")
        return request_id, answer

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record_file.close()


def status_mb(pid, field):
    """Return a memory figure of a process in MB of 1,000,000 bytes, 0 if it ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    for line in lines:
        if line.startswith(field + ":"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


@contextlib.contextmanager
def deployment(record_path, **options):
    """Yield a deployment whose processes all end with the block."""
    made = Deployment(record_path, **options)
    try:
        yield made
    finally:
        made.close()
