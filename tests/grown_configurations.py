"""Operators that change the configuration without a pause, and rule CONFIG.

Each version holds a full configuration. What members read back and how entries
handle routes and keys is compared with the versions that may be in force.
"""

import asyncio
import copy
import json
import random
import time

from grown_fleet import (CONFIG_APPLY_SECONDS, CONTACT_SECONDS,
                         MAX_STRETCH_SECONDS, PROBE_TIMEOUT_SECONDS, request)
from platform_deployment import CALLERS_PORT, HOST, KEY, OPERATORS_PORT

MAX_EXTRA_ROUTES = 300
BIG_CHANGE_ROUTES = 60
SETTLE_SECONDS = 4.0
REGRESS_SLACK_SECONDS = 0.25


def route(name, prefix, service, timeout_ms=3000):
    return {"name": name, "host": HOST, "path-prefix": prefix,
            "kind": "non_idempotent", "timeout-ms": timeout_ms,
            "target-latency-ms": 600, "priority": 0, "service": service,
            "max-attempts": 3, "stretch": 50.0, "public": False}


def in_order(config):
    """Returns the configuration with its lists in a fixed order."""
    sorted_ = dict(config)
    for name in ("routes", "services", "tenants"):
        sorted_[name] = sorted(config.get(name, []), key=lambda r: r["name"])
    for tenant in sorted_["tenants"]:
        tenant["api-keys"] = sorted(tenant["api-keys"])
    return sorted_


class Version:
    """One version as it was sent."""

    def __init__(self, config):
        self.config = in_order(copy.deepcopy(config))
        self.number = config["version"]
        self.sent = time.monotonic()
        self.acknowledged = None
        self.prefixes = {r["path-prefix"] for r in config["routes"]}
        self.keys = set(config["tenants"][0]["api-keys"])

    def status(self, prefix, key):
        """How a count of the queue is answered: 404, 401 or 200."""
        if prefix not in self.prefixes:
            return 404
        return 200 if key in self.keys else 401


class Operators:
    """Sends configurations and judges what is in force."""

    def __init__(self, fleet, seed, services):
        self.fleet = fleet
        self.random = random.Random(seed * 13 + 5)
        self.services = services
        self.versions = {}
        self.refused = set()
        self.names = 0
        self.violations = []
        self.counts = {}
        self.proof = {}  # Entry -> (time, lowest version that explains it).
        self.probed = [("/r-none/", KEY)]

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def broken(self, text):
        self.violations.append("CONFIG: " + text)
        self.fleet.log("broken CONFIG: " + text)

    def first(self):
        return {"version": 1, "services": [
                    {"name": f"s-{i}", "standby": False,
                     "admission-check": False} for i in range(self.services)],
                "routes": [route(f"q-{i}", f"/q{i}/", f"s-{i}")
                           for i in range(self.services)],
                "tenants": [{"name": "t", "api-keys": [KEY], "weight": 1,
                             "upper-limit": {"cpu": 0, "memory-request-mb": 0,
                                             "gpu": 0}}]}

    def newest(self):
        return self.versions[max(self.versions)]

    def changed(self):
        """Returns the newest configuration with one change."""
        draw = self.random
        config = copy.deepcopy(self.newest().config)
        config["version"] += draw.randint(1, 7)
        routes, keys = config["routes"], config["tenants"][0]["api-keys"]
        extra = [r for r in routes if r["name"].startswith("x-")]
        pick = draw.random()
        if pick < 0.35 or not extra:
            for _ in range(1 if draw.random() < 0.9 else BIG_CHANGE_ROUTES):
                if len(extra) < MAX_EXTRA_ROUTES:
                    self.names += 1
                    routes.append(route(
                        f"x-{self.names}", f"/x{self.names}/",
                        f"s-{draw.randrange(self.services)}"))
            self.probed.append((routes[-1]["path-prefix"], KEY))
        elif pick < 0.6:
            gone = draw.choice(extra)
            routes.remove(gone)
            self.probed.append((gone["path-prefix"], KEY))
        elif pick < 0.75 or len(keys) < 3:
            self.names += 1
            keys.append(f"key-{self.names}")
            self.probed.append(("/q0/", keys[-1]))
        elif pick < 0.9:
            gone = draw.choice([k for k in keys if k != KEY])
            keys.remove(gone)
            self.probed.append(("/q0/", gone))
        else:
            draw.choice(routes)["timeout-ms"] = draw.randint(2500, 6000)
        del self.probed[1:-30]
        return config

    def invalid(self):
        """Returns a body that must be refused, and its version."""
        config = self.changed()
        self.probed.pop()  # What it changes is never in force.
        kind = self.random.randrange(5)
        if kind == 0:
            config["routes"].append(route("bad", "/bad/", "s-unknown"))
        elif kind == 1:
            config["routes"].append(
                route("bad", config["routes"][0]["path-prefix"], "s-0"))
        elif kind == 2:
            config["routes"].append(route("bad", "/bad/", "s-0", 0))
        elif kind == 3:
            config["tenants"].append(
                {**config["tenants"][0], "name": "bad", "api-keys": [KEY]})
        text = json.dumps(config).encode()
        return text[:-9] if kind == 4 else text, config["version"]

    async def put(self, body, member=None):
        ip = self.random.choice(self.fleet.control_ips) if member is None \
            else self.fleet.control_ips[member]
        return await request(ip, OPERATORS_PORT, "PUT", "/config", body,
                             timeout=PROBE_TIMEOUT_SECONDS)

    async def send(self, config, until):
        """Sends a version until it is acknowledged; may lose the answer."""
        version = self.versions.setdefault(config["version"], Version(config))
        while time.monotonic() < until:
            answer = await self.put(config)
            lost = self.random.random() < 0.2
            if answer.status == 200 and not lost:
                self.count("acknowledged")
                if version.acknowledged is None:
                    version.acknowledged = time.monotonic()
                    self.fleet.log(f"version {version.number} acknowledged")
                return
            if 400 <= answer.status < 500 and answer.status not in (408, 429):
                self.count("valid refused")
                self.broken(f"version {version.number} refused with "
                            f"{answer.status} {answer.body[:120]!r}; "
                            f"acknowledged before: {version.acknowledged}")
                return
            await asyncio.sleep(0.05)

    async def operate(self, until):
        draw = self.random
        while time.monotonic() < until:
            pick = draw.random()
            if pick < 0.1:
                body, number = self.invalid()
                answer = await self.put(body)
                self.refused.add(number)
                self.count("invalid sent")
                if 200 <= answer.status < 300:
                    self.broken(f"invalid version {number} acknowledged")
            elif pick < 0.25:
                await self.send_again(draw.choice(list(self.versions.values())))
            elif pick < 0.3:
                await self.send_other_content(self.newest())
            else:
                config = self.changed()
                while config["version"] in self.versions or \
                        config["version"] in self.refused:
                    config["version"] += 1
                await self.send(config, until + 5)
            await asyncio.sleep(draw.uniform(0.02, 0.4))

    async def send_again(self, version):
        acknowledged = version.acknowledged
        answer = await self.put(version.config)
        self.count("sent again")
        if acknowledged and answer.status in (400, 409, 412, 413, 422):
            self.broken(f"version {version.number}, acknowledged before, "
                        f"refused with {answer.status} when sent again")

    async def send_other_content(self, version):
        """Sends other content under a version that was acknowledged."""
        if version.acknowledged:
            other = copy.deepcopy(version.config)
            other["routes"].append(route("other", "/other/", "s-0"))
            await self.put(other)
            self.count("other content")

    def floor(self, at):
        """Returns the newest version acknowledged by that time, or 0."""
        return max((v.number for v in self.versions.values()
                    if v.acknowledged and v.acknowledged <= at), default=0)

    async def read_members(self, until):
        member = 0
        while time.monotonic() < until:
            member = (member + 1) % len(self.fleet.control_ips)
            self.fleet.spawn(self.read(member))
            await asyncio.sleep(0.08)

    async def read(self, member):
        begun = time.monotonic()
        answer = await request(self.fleet.control_ips[member], OPERATORS_PORT,
                               "GET", "/config",
                               timeout=PROBE_TIMEOUT_SECONDS)
        if answer.status != 200:
            self.count("reads without answer")
            return None
        self.count("reads")
        read = in_order(json.loads(answer.body))
        version = self.versions.get(read["version"])
        bound = self.floor(begun - CONFIG_APPLY_SECONDS)
        if version is None or read != version.config:
            self.broken(f"member {member} gives a version "
                        f"{read['version']} that was not sent so")
        elif read["version"] < bound:
            self.broken(f"member {member} gives version {read['version']}, "
                        f"{bound} was acknowledged over "
                        f"{CONFIG_APPLY_SECONDS} s before")
        return read

    async def ask_entries(self, until):
        while time.monotonic() < until:
            if self.fleet.rotation:
                self.fleet.spawn(self.ask(
                    self.random.choice(self.fleet.rotation),
                    *self.random.choice(self.probed[-8:]
                                        if self.random.random() < 0.7
                                        else self.probed)))
            await asyncio.sleep(0.02)

    async def ask(self, entry, prefix, key):
        node = self.fleet.entries[entry]
        begun = time.monotonic()
        answer = await request(node.ip, CALLERS_PORT, "GET", prefix, key=key,
                               timeout=PROBE_TIMEOUT_SECONDS)
        self.fleet.note_call(node, answer)
        if answer.status not in (200, 401, 404):
            self.count("probes without answer")
            return
        self.count("probes")
        calm = self.fleet.is_calm(begun, answer.ended, ("core",))
        stretch = 0 if calm else MAX_STRETCH_SECONDS
        bound = self.floor(begun - CONFIG_APPLY_SECONDS - stretch)
        fits = [v.number for v in self.versions.values()
                if v.status(prefix, key) == answer.status]
        what = (f"{node.name} answers {answer.status} for {prefix} {key} "
                f"(core {'calm' if calm else 'disturbed'})")
        touched = any(w == node.name and (e is None
                                          or e >= begun - CONTACT_SECONDS)
                      for _, e, k, w in self.fleet.disturbances
                      if k == "term")
        late = [n for n in fits if n >= bound]
        if not late and not touched:
            self.broken(f"{what}; allowed up to version "
                        f"{max(fits, default=0)}, {bound} was acknowledged "
                        "in time")
        # A later answer of the same process must not fit older versions only.
        proof = self.proof.get((entry, node.popen.pid), (0, 0))
        if fits and begun > proof[0] + REGRESS_SLACK_SECONDS \
                and max(fits) < proof[1]:
            self.broken(f"{what}: regresses to version {max(fits)} after "
                        f"{proof[1]}")
        if fits and min(fits) > proof[1]:
            self.proof[(entry, node.popen.pid)] = (answer.ended, min(fits))

    async def read_back(self):
        """The newest acknowledged version, or a newer one, is read back."""
        until = time.monotonic() + SETTLE_SECONDS
        bound, found = self.floor(time.monotonic()), []
        while time.monotonic() < until:
            for member in range(len(self.fleet.control_ips)):
                read = await self.read(member)
                if read:
                    found.append(read["version"])
            await asyncio.sleep(0.2)
        if not found or found[-1] < bound:
            self.broken(f"read back at the end: {found[-1:]}, acknowledged "
                        f"{bound}")
