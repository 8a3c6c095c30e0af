"""Stand-ins for the platform, its store, upstreams and clients, for the review.

Everything runs in one asyncio loop of one Python process, on loopback
addresses. The hosts under test are separate processes of `bulrush_edge`.
Nothing here needs more than the standard library.
"""

import asyncio
import copy
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ATTEMPT_ID = "X-Bulrushshore-Attempt-Id"
DEADLINE = "X-Bulrushshore-Request-Deadline"
SIGNATURE = "X-Bulrushshore-Upstream-Signature"
EXPECTED = "X-Bulrushshore-Expected-Instance"
INSTANCE = "X-Bulrushshore-Instance-Id"
NOT_EXECUTED = "X-Bulrushshore-Not-Executed"
LEAVING = "Server-Leaving"

ZONES = ["nl-west-a", "nl-west-b", "nl-west-c"]
HOST_NAME = "shop.example"
BOUNDS = (
    "seed-lag-s=3,reuse-after-s=2,stable-window-ms=3000,ack-ms=4000,"
    "catch-up-s=4,drain-ms=2000,grace-s=6,loss-slack-ms=200,"
    "config-apply-ms=2000,revert-slack-ms=250,stretch-max-ms=5000,"
    "retry-budget-ratio=0.2,retry-window-s=10,retry-budget-slack=77,"
    "recovery-s=15,ttl_max_s=5,probes-per-s=3,floor-share=0.7"
)
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 67108864,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}

STABLE_WINDOW_S = 3.0

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case cannot run, for example because a host does not become ready."""


class Record:
    """Writes what happened, with the time since the start of the run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# --------------------------------------------------------------------------
# HTTP/1.1


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_message(reader, is_response=False):
    """Reads one message with a Content-Length, or returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def response_bytes(status, headers, body=b"", reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def request_head(method, path, host, headers, body_length=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body_length is not None:
        lines.append(f"Content-Length: {body_length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def new_id():
    return f"{random.getrandbits(64):016x}"


# --------------------------------------------------------------------------
# The platform's store


class Store:
    """Objects by kind and name, one revision counter, lists and watches.

    Reads with `serializable` are current, too.
    """

    def __init__(self):
        self.revision = 1
        self.history = []  # (revision, kind, name, object, deleted)
        self.objects = {}
        self.changed = asyncio.Event()
        self.servers = []
        # Texts of values that are too deep for Python's encoder: an entry holds
        # the key, and the bytes on the wire the text.
        self.raw_texts = {}

    async def listen(self, ip):
        server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 22)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def close(self):
        for server in self.servers:
            server.close()

    def put(self, kind, name, spec):
        """Creates or replaces an object and returns its revision."""
        known = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        entry = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create-rev": known["metadata"]["create-rev"] if known else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = entry
        self._remember(kind, name, entry, False)
        return self.revision

    def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is None:
            return False
        self.revision += 1
        entry = copy.deepcopy(entry)
        entry["metadata"]["revision"] = self.revision
        self._remember(kind, name, entry, True)
        return True

    def _remember(self, kind, name, entry, deleted):
        self.history.append(
            (self.revision, kind, name, copy.deepcopy(entry), deleted)
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                writer.write(await self._handle(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, request):
        method, target, _ = request.start.split(" ", 2)
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        parts = path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "objects":
            return self._json(404, {"error": "no such path"})
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            return self._list(kind, query)
        if method == "GET":
            entry = self.objects.get(kind, {}).get(name)
            return self._json(200, entry) if entry else self._json(404, {"error": "none"})
        return self._write(method, kind, name, request, query)

    def _list(self, kind, query):
        objects = self.objects.get(kind, {})
        after = query.get("after", "")
        names = sorted(name for name in objects if name > after)
        page = names[:500]
        return self._json(
            200,
            {
                "items": [objects[name] for name in page],
                "has-more": len(names) > len(page),
                "as-of": self.revision,
            },
        )

    async def _watch(self, kind, query):
        since = int(query["watch"])
        wait_s = int(query.get("wait-ms", "0")) / 1000
        end = time.monotonic() + wait_s
        while True:
            events = [
                {"object": entry, "deleted": deleted}
                for revision, changed_kind, _, entry, deleted in self.history
                if changed_kind == kind and revision > since
            ]
            now = time.monotonic()
            if events or now >= end:
                return self._json(200, {"events": events, "as-of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), end - now)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, request, query):
        body = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = body["metadata"]["name"]
            known = self.objects.get(kind, {}).get(name)
            if known:
                return self._json(409, known)
            self.put(kind, name, body.get("spec"))
            return self._json(200, self.objects[kind][name])
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return self._json(404, {"error": "none"})
        wanted = query.get("revision") or body.get("metadata", {}).get("revision")
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return self._json(409, known)
        if method == "DELETE":
            self.remove(kind, name)
            return self._json(200, known)
        if method == "PUT":
            if known["spec"] != body.get("spec"):
                self.put(kind, name, body.get("spec"))
            return self._json(200, self.objects[kind][name])
        return self._json(400, {"error": "unknown call"})

    def _json(self, status, value):
        # Characters outside ASCII are escaped, so that the bytes are always
        # valid JSON text.
        body = json.dumps(value, ensure_ascii=True).encode("ascii")
        for key, text in self.raw_texts.items():
            body = body.replace(b'"' + key + b'"', text)
        return response_bytes(status, [("Content-Type", "application/json")], body)


# --------------------------------------------------------------------------
# Upstreams


class Upstream:
    """One upstream: `slots` requests at a time, a short queue, a heartbeat."""

    def __init__(self, record, store, service, zone, ip, work_s, slots=6, queue=24):
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.ip = ip
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (time, attempt id)
        self.completed = set()
        self.server = None
        self.heart = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.heart = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.5)

    def write_entry(self):
        self.seq += 1
        self.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup-left-ms": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    def stop(self):
        if self.heart:
            self.heart.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self._run(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.state != "ready":
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, request, reader):
        attempt = request.get(ATTEMPT_ID)
        path = request.start.split(" ")[1]
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return response_bytes(status, [(INSTANCE, self.id)])
        common = [(ATTEMPT_ID, attempt)]
        if self.state != "ready":
            common += [(LEAVING, "1"), ("Connection", "close")]
        if request.get(EXPECTED) not in (None, self.id):
            return response_bytes(421, common + [(INSTANCE, self.id)], reason="Misdirected")
        if self.waiting >= self.queue:
            return response_bytes(503, common + [(NOT_EXECUTED, "1")], reason="Full")
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.runs.append((time.monotonic(), attempt))
            self.record.write(f"run {attempt} by {self.service} {self.id}")
            deadline = int(request.get(DEADLINE, "60000")) / 1000
            work_s = self.work_s
            work = min(work_s, deadline)
            end = time.monotonic() + work
            while time.monotonic() < end:
                await asyncio.sleep(min(0.02, max(0.0, end - time.monotonic())))
                if reader.at_eof():
                    self.record.write(f"dropped {attempt} at {self.id}: connection closed")
                    return None
        finally:
            self.free.release()
        if self.state != "ready" and (LEAVING, "1") not in common:
            common += [(LEAVING, "1"), ("Connection", "close")]
        if work_s > deadline:
            return response_bytes(504, common + [(SIGNATURE, new_id())], reason="Late")
        self.completed.add(attempt)
        self.record.write(f"done {attempt} by {self.service} {self.id}")
        body = f"answer to {attempt} by {self.id}\n".encode()
        return response_bytes(200, common + [(SIGNATURE, new_id())], body)


# --------------------------------------------------------------------------
# Hosts under test


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["edge"]["run"].split()


def find_ports(ips, count):
    """Returns `count` ports that are free at all of the addresses."""
    found = []
    for _ in range(2000):
        port = random.randint(20000, 30000)
        if port in found:
            continue
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Host:
    """One machine of the system with its process."""

    MEMORY_MB = 195

    def __init__(self, record, work, name, zone, ip, ports, store_address):
        self.record = record
        self.work = work
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front, self.ready, self.directory, self.inner = ports
        self.store_address = store_address
        self.process = None
        self.starts = 0

    def _settings(self):
        return "\n".join(
            [
                f"node={self.name}",
                "role=edge",
                "machine-class=front",
                "serves=front,directory",
                f"ip={self.ip}",
                f"zone={self.zone}",
                "region=nl-west",
                "zones.nl-west-a=nl-west",
                "zones.nl-west-b=nl-west",
                "zones.nl-west-c=nl-west",
                f"listen.front={self.ip}:{self.front}",
                f"listen.ready={self.ip}:{self.ready}",
                f"listen.directory={self.ip}:{self.directory}",
                f"internal-port-range={self.inner},{self.inner + 1}",
                "seeds=",
                f"bootstrap={'true' if self.starts == 0 else 'false'}",
                "counts-toward-tolerance=false",
                "limits.cpu-share=0.15",
                "limits.cores=1",
                f"limits.memory-mb={self.MEMORY_MB}",
                "limits.max-fds=3075",
                "limits.link-mbps=750.0",
                "limits.disk-mb=0",
                "discovery=platform",
                "entry=directory",
                "heartbeat-ms=1500",
                "contracts=base,drain,config,cost,retry,recover,health,platform",
                "fault-tolerance.machines=2",
                "fault-tolerance.zones=0",
                "fault-tolerance.regions=0",
                f"bounds={BOUNDS}",
                f"platform.address={self.store_address}",
                "platform.form=objects",
                "platform.writes-per-s=400",
                "platform.reads-per-s=2000",
                "platform.history-s=20",
                "platform.value-bytes=1048576",
                "platform.ttl-min-ms=1000",
                "",
            ]
        )

    async def start(self):
        path = os.path.join(self.work, self.name + ".conf")
        with open(path, "w", encoding="ascii") as file:
            file.write(self._settings())
        log = open(os.path.join(self.work, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "BULRUSHSHORE_CONFIG": path}
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1
        self.record.write(f"host {self.name} started")

    def log_text(self):
        with open(os.path.join(self.work, self.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
            self.record.write(f"host {self.name} got {signal.Signals(number).name}")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def peak_memory_mb(self):
        """Returns the peak of the resident memory in MiB, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready), 1
            )
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(request_head("GET", "/ready", "ready", []))
            answer = await asyncio.wait_for(read_message(reader), 1)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def resolve(self, zone):
        """Asks this host where to connect; returns (ip, port) pairs or None."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.directory), 1
            )
        except (OSError, asyncio.TimeoutError):
            return None
        try:
            target = f"/resolve?name=shop.example&region=nl-west&zone={zone}"
            writer.write(request_head("GET", target, "directory", []))
            answer = await asyncio.wait_for(read_message(reader), 1)
            if answer is None or answer.status != 200:
                return None
            found = json.loads(answer.body)["addresses"]
            return [(a.rsplit(":", 1)[0], int(a.rsplit(":", 1)[1])) for a in found]
        except (OSError, asyncio.TimeoutError, ValueError, KeyError):
            return None
        finally:
            writer.close()


class System:
    """A small deployment: three zones of `per_zone` machines each."""

    def __init__(self, record, work, upstream_type=Upstream):
        self.record = record
        self.work = work
        self.upstream_type = upstream_type
        self.store = Store()
        self.hosts = []
        self.upstreams = []
        self.ports = None
        self._next_ip = 1

    async def add_hosts(self, names_by_zone):
        ips = [f"127.7.{z}.{n + 1}" for z in range(1, 4) for n in range(60)]
        if self.ports is None:
            # The range of internal ports has two consecutive ports.
            while True:
                ports = find_ports(ips, 4)
                try:
                    for ip in ips:
                        with socket.socket() as probe:
                            probe.bind((ip, ports[3] + 1))
                    break
                except OSError:
                    continue
            self.ports = ports
        added = []
        for zone_number, (zone, names) in enumerate(names_by_zone.items(), 1):
            for name in names:
                ip = f"127.7.{zone_number}.{self._next_ip}"
                self._next_ip += 1
                address = await self.store.listen("127.0.0.1")
                added.append(
                    Host(self.record, self.work, name, zone, ip, self.ports, address)
                )
        self.hosts += added
        return added

    async def add_upstreams(self, service, zones, work_s):
        added = []
        for zone in zones:
            upstream = self.upstream_type(
                self.record, self.store, service, zone, "127.0.0.1", work_s
            )
            await upstream.start()
            added.append(upstream)
        self.upstreams += added
        return added

    async def start(self, prefix, kind, service, work_s, upstreams_per_zone):
        """Starts two hosts a zone and one route, and waits until all are ready."""
        hosts = await self.add_hosts(
            {zone: [f"front-{zone}-{n}" for n in (1, 2)] for zone in ZONES}
        )
        await self.add_upstreams(service, ZONES * upstreams_per_zone, work_s)
        routes = {"r-1": route(HOST_NAME, prefix, kind, service)}
        self.store.put("config", "main", configuration(3, routes, [service]))
        await asyncio.gather(*[host.start() for host in hosts])
        if not await self.wait_ready(hosts, 15):
            raise CannotRun("hosts not ready")
        return hosts

    def set_work(self, seconds):
        for upstream in self.upstreams:
            upstream.work_s = seconds

    def has_run(self, attempt):
        """Returns true if an upstream began to work on the request."""
        return any(
            attempt == run for upstream in self.upstreams for _, run in upstream.runs
        )

    async def wait_ready(self, hosts, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = await asyncio.gather(*[host.is_ready() for host in hosts])
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        for host in self.hosts:
            await host.end()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.close()


def route(host, prefix, kind, service, timeout_ms=8000, aim_ms=2000, attempts=2):
    return {
        "host": host,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        "target-latency-ms": aim_ms,
        "priority": 1,
        "service": service,
        "max-attempts": attempts,
    }


def configuration(version, routes, services):
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {
            name: {
                "health-path": "/health",
                "max-connections": 440,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        },
        "limits": LIMITS,
    }


# --------------------------------------------------------------------------
# Clients


class Answer:
    def __init__(self, attempt, status, closes, is_whole):
        self.attempt = attempt
        self.status = status  # None if the connection ended without an answer
        self.closes = closes
        self.is_whole = is_whole


class Connection:
    """A kept connection of a client to a host."""

    def __init__(self, record, address):
        self.record = record
        self.address = address

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address), 1
        )

    async def send(self, method, path, host, deadline_ms, body=b""):
        attempt = new_id()
        head = request_head(
            method,
            path,
            host,
            [(ATTEMPT_ID, attempt), (DEADLINE, deadline_ms)],
            len(body) if method != "GET" else None,
        )
        self.record.write(
            f"sent {attempt} {method} {path} to {self.address[0]}, body {len(body)}"
        )
        self.writer.write(head + body)
        await self.writer.drain()
        return attempt

    async def receive(self, attempt, seconds):
        try:
            answer = await asyncio.wait_for(read_message(self.reader), seconds)
        except asyncio.TimeoutError:
            self.record.write(f"no answer to {attempt} after {seconds} s")
            return Answer(attempt, None, False, False)
        if answer is None:
            self.record.write(f"cut {attempt}: the connection ended without an answer")
            return Answer(attempt, None, True, False)
        closes = answer.get("connection", "").lower() == "close"
        is_whole = answer.get(SIGNATURE) is not None and attempt in answer.body.decode(
            "latin-1"
        )
        self.record.write(
            f"answered {attempt} {answer.status}{' and closes' if closes else ''}"
            f" {answer.get('x-outcome-reason', '')}"
        )
        return Answer(attempt, answer.status, closes, is_whole)

    def close(self):
        self.writer.close()


async def open_used_connections(record, addresses, request):
    """Opens connections, each of which carries one request that is served.

    `request` sends a request on a connection and returns the answer.
    """
    kept = [Connection(record, address) for address in addresses]
    for connection in kept:
        await connection.open()
    answers = await asyncio.gather(*[request(connection) for connection in kept])
    if not all(answer.status == 200 for answer in answers):
        raise CannotRun("the first requests were not served")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    return kept


async def pay(connection):
    """Sends a request that may run once only, and returns its answer."""
    attempt = await connection.send("POST", "/cert/new", HOST_NAME, 8000, b"x" * 1200)
    return await connection.receive(attempt, 9)


def closed_without_answer(system, answers):
    """Returns the requests that an upstream got and whose connection was closed."""
    return [
        a for a in answers if a.status is None and a.closes and system.has_run(a.attempt)
    ]


async def keep_running(record, hosts, ends):
    """Restarts each process that ends by itself, as the platform does."""

    async def keep(host):
        while True:
            code = await host.process.wait()
            record.say(f"{host.name} ended by itself, exit status {code}")
            ends.append(host.name)
            await asyncio.sleep(1.0)
            await host.start()

    await asyncio.gather(*[keep(host) for host in hosts])


async def cancel(task):
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def ask_once(record, address, method, path, host, deadline_ms, body=b""):
    """Sends one request on a new connection and returns its answer."""
    connection = Connection(record, address)
    try:
        await connection.open()
    except (OSError, asyncio.TimeoutError):
        record.write(f"no connection to {address[0]}")
        return Answer(None, None, False, False)
    try:
        attempt = await connection.send(method, path, host, deadline_ms, body)
        return await connection.receive(attempt, deadline_ms / 1000)
    except ConnectionError:
        return Answer(None, None, True, False)
    finally:
        connection.close()


# --------------------------------------------------------------------------
# Running a case


def run_case(folder, case):
    """Runs `case(record, work)`, which returns HELD or BROKEN, and exits."""
    record = Record(folder)
    record.say("disruption: " + ("off" if os.environ.get("TROUBLE") == "0" else "on"))

    def on_term(*_):
        raise SystemExit(CANNOT_RUN)

    signal.signal(signal.SIGTERM, on_term)
    with tempfile.TemporaryDirectory(prefix="review-") as work:
        try:
            result = asyncio.run(asyncio.wait_for(case(record, work), 112))
        except CannotRun as reason:
            record.say(f"cannot run: {reason}")
            result = CANNOT_RUN
        except asyncio.TimeoutError:
            record.say("cannot run: more than 112 s")
            result = CANNOT_RUN
        except Exception as problem:  # For example a program that is not built.
            traceback.print_exc()
            record.say(f"cannot run: {problem!r}")
            result = CANNOT_RUN
    record.say({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "cannot run"}[result])
    sys.exit(result)


def has_trouble():
    return os.environ.get("TROUBLE") != "0"
