"""Stand-ins of the users' platform for the cases in review/: the store, servers, clients,
and the start of router nodes with the command of deploy/system.toml. Python's standard library
only; all addresses are loopback addresses; one event loop and one thread."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """What was sent, answered and run: the file that a case names."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


PORTS_GIVEN = set()


def free_port(ip="127.0.0.1"):
    """A free port below those that the system gives to outgoing connections. None is given twice."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in PORTS_GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        PORTS_GIVEN.add(port)
        return port


async def read_message(reader):
    """Start line, headers (list of pairs) and body; None when the other side has closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    get = lambda name: next((v for k, v in headers if k.lower() == name.lower()), "")
    body = b""
    if get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif get("Content-Length"):
        body = await reader.readexactly(int(get("Content-Length")))
    return lines[0], headers, body


def header(headers, name, default=""):
    return next((v for k, v in headers if k.lower() == name.lower()), default)


def message(status, headers, body=b""):
    text = f"HTTP/1.1 {status} x\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def json_answer(status, value):
    return message(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Store:
    """The platform's metadata store: objects, one counter of revisions, watches."""

    def __init__(self):
        self.kinds, self.events, self.revision = {}, [], 10
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def view(self, name, entry):
        return {"metadata": {"name": name, "revision": entry["revision"], "made": entry["made"],
                             "finalizers": [], "deleting": False},
                "spec": entry["spec"], "status": entry["status"]}

    async def put(self, kind, name, spec=None, status=None, gone=False):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        self.revision += 1
        entry = {"spec": spec if spec is not None else (old or {}).get("spec"),
                 "status": status if status is not None else (old or {}).get("status"),
                 "revision": self.revision, "made": (old or {}).get("made", self.revision)}
        if gone:
            objects.pop(name, None)
        else:
            objects[name] = entry
        self.events.append((self.revision, kind, {"gone": gone, "object": self.view(name, entry)}))
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait / 1000
        while True:
            news = [event for at, of, event in self.events if of == kind and at > since]
            left = end - time.monotonic()
            if news or left <= 0:
                return json_answer(200, {"events": news, "at": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(p) for p in url.path.removeprefix("/calicodrift/objects/").split("/")]
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            items = [self.view(n, e) for n, e in sorted(objects.items())
                     if n > query.get("after", "")]
            return json_answer(200, {"items": items, "more": False, "at": self.revision})
        value = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else value["metadata"]["name"]
        entry = objects.get(name)
        if method == "GET":
            return json_answer(200, self.view(name, entry)) if entry else json_answer(404, {})
        if method == "POST":
            if entry:
                return json_answer(409, self.view(name, entry))
            entry = await self.put(kind, name, value.get("spec"), value.get("status"))
            return json_answer(200, self.view(name, entry))
        if not entry:
            return json_answer(404, {})
        wanted = value.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != entry["revision"]:
            return json_answer(409, self.view(name, entry))
        if method == "DELETE":
            await self.put(kind, name, gone=True)
            return json_answer(200, {})
        part = "status" if parts[-1] == "status" and len(parts) == 3 else "spec"
        if value.get(part) != entry[part]:
            # One that changes nothing raises no revision and no event.
            entry = await self.put(kind, name, **{part: value.get(part)})
        return json_answer(200, self.view(name, entry))

    async def serve(self, reader, writer):
        try:
            while (got := await read_message(reader)) is not None:
                method, target, _ = got[0].split(" ")
                writer.write(await self.answer(method, target, got[2]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Written(bytes):
    """An answer that has been written already, piece by piece."""


class Line:
    """A connection at a server, and whether an answer is being written on it."""

    def __init__(self, writer):
        self.writer, self.writing = writer, False


class ModelServer:
    """A model server: keeps the parts of prompts under their salt, checks instance and version,
    takes orders, tells of itself in the store about every heartbeat."""

    by_address = {}
    load_s, heartbeat_s, tokens_per_ms, step_s, memory_tokens = 0.4, 1.2, 40.0, 0.02, 99487

    def __init__(self, name, service, model, store, record, random_, slots=64, events=4):
        self.name, self.service, self.model, self.store = name, service, model, store
        self.record, self.random, self.slots, self.events = record, random_, slots, events
        self.version, self.busy, self.orders, self.running, self.answers = 1, False, 0, 0, 0
        self.kept, self.runs = {}, []
        self.on_answer = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        ModelServer.by_address[self.address] = self
        await self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    async def beat(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        self.told = self.version
        await self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "z1", "version": "v1",
            "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "combined",
            "models": models, "call_seq": self.orders})

    async def keep_beating(self):
        await asyncio.sleep(self.random.uniform(0, self.heartbeat_s))
        while True:
            if self.told != self.version:
                await self.beat()
            await asyncio.sleep(self.heartbeat_s)

    async def load(self, version):
        await asyncio.sleep(self.load_s)
        self.version, self.busy = version, False
        self.kept.clear()
        self.record(f"server {self.name} holds version {version}")

    def take_order(self, order):
        if not order.get("holder") or "fence" not in order:
            return 400
        if order["version"] == self.version:
            return 200
        if self.busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy = True
        asyncio.create_task(self.load(order["version"]))
        return 202

    def reuse(self, salt, parts, tenant):
        """Tokens that are kept already, and the tenants whose requests made them."""
        tokens, makers = 0, []
        for count in range(1, len(parts) + 1):
            ids = tuple(p[0] for p in parts[:count])
            maker = self.kept.get((salt, ids))
            if maker is None:
                break
            tokens += parts[count - 1][1]
            makers.append(maker)
        for count in range(1, len(parts) + 1):
            self.kept.setdefault((salt, tuple(p[0] for p in parts[:count])), tenant)
        return tokens, makers

    async def generate(self, headers, line):
        ident, tenant = header(headers, "X-Request-Id"), header(headers, "X-Tenant")
        salt = header(headers, "X-Cache-Salt")
        parts = [(p.split(":")[0], int(p.split(":")[1]))
                 for p in header(headers, "X-Prompt-Prefix").split(",")]
        source = ModelServer.by_address.get(header(headers, "X-Kv-Fetch"))
        if source is not None and source is not self:
            for key, maker in source.kept.items():
                if key[0] == salt and key[1] == tuple(p[0] for p in parts[:len(key[1])]):
                    self.kept.setdefault(key, maker)
        tokens, makers = self.reuse(salt, parts, tenant)
        run = {"id": ident, "tenant": tenant, "at": time.monotonic(), "salt": salt,
               "kept": tokens, "makers": makers}
        self.runs.append(run)
        orders = self.orders
        self.record(f"server {self.name} runs {ident} tenant={tenant} salt={salt} "
                    f"kept={tokens} made-by={sorted(set(makers))}")
        total = sum(p[1] for p in parts)
        await asyncio.sleep((total - tokens) / self.tokens_per_ms / 1000 + self.step_s)
        if orders != self.orders:
            # An order came before the first token: the request has not begun, and does not run.
            self.runs.remove(run)
            self.record(f"server {self.name} has not begun {ident} and refuses it for an order")
            return message(503, [("X-Request-Id", ident), ("X-Not-Executed", "1")])
        lines = [("X-Request-Id", ident), ("X-Response-Seal", "seal." + ident),
                 ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                 ("X-Weight-Versions", self.version)]
        head = "".join(f"{k}: {v}\r\n" for k, v in lines)
        pieces = [f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()]
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            pieces.append(b"%x\r\n%s\r\n" % (len(event), event))
        pieces.append(b"0\r\n\r\n")
        line.writing = True
        try:
            for piece in pieces:
                line.writer.write(piece)
                await line.writer.drain()
                await asyncio.sleep(self.step_s if piece is not pieces[-1] else 0)
        finally:
            line.writing = False
        return Written(b"".join(pieces))

    async def answer(self, got, line):
        start, headers, body = got
        target = start.split(" ")[1]
        ident = header(headers, "X-Request-Id")
        expected = header(headers, "X-Expect-Instance")
        same = [("X-Request-Id", ident)] if ident else []
        if expected and expected != self.name:
            return message(421, same + [("X-Instance-Id", self.name)])
        if target == "/health":
            return message(200, [("X-Instance-Id", self.name)])
        if target == "/calicodrift/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            return json_answer(200, {
                "stage": "combined", "models": models, "busy": self.busy,
                "call_seq": self.orders, "queued": 0, "running": self.running, "kv_used": 0,
                "kv_total": self.memory_tokens, "handles": 0})
        if target == "/calicodrift/order":
            order = json.loads(body)
            status = self.take_order(order)
            self.record(f"server {self.name} order {order} -> {status}")
            return message(status, [])
        if not ident:
            return message(400, [("X-Not-Executed", "1")])
        prefix = header(headers, "X-Prompt-Prefix")
        if sum(int(part.split(":")[1]) for part in prefix.split(",") if part) > self.memory_tokens:
            return message(503, same + [("X-Not-Executed", "1")])
        if self.busy or self.running >= self.slots:
            return message(503, same + [("X-Not-Executed", "1")])
        wanted = header(headers, "X-Expect-Version")
        if wanted and int(wanted) != self.version:
            self.record(f"server {self.name} answers 421 to {ident}: version {self.version}, "
                        f"expected {wanted}")
            return message(421, same + [("X-Not-Executed", "1"),
                                       ("X-Weight-Versions", self.version)])
        self.running += 1
        try:
            return await self.generate(headers, line)
        finally:
            self.running -= 1

    async def serve(self, reader, writer):
        line = Line(writer)
        try:
            while (got := await read_message(reader)) is not None:
                answer = await self.answer(got, line)
                self.answers += 1
                if not isinstance(answer, Written):
                    writer.write(answer)
                    await writer.drain()
                if self.on_answer:
                    self.on_answer(self, answer, line)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, RuntimeError):
            pass
        finally:
            writer.close()


class PlainServer:
    """A server of a plain service: runs each request at once for a moment, checks the instance."""

    def __init__(self, name, service, store, record, work_s=0.005, slots=64):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.work_s, self.slots, self.runs = work_s, slots, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "z1", "version": "v1",
            "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "call_seq": 0})

    async def answer(self, got):
        start, headers, _ = got
        ident = header(headers, "X-Request-Id")
        expected = header(headers, "X-Expect-Instance")
        same = [("X-Request-Id", ident)] if ident else []
        if expected and expected != self.name:
            return message(421, same + [("X-Instance-Id", self.name), ("X-Not-Executed", "1")])
        if start.split(" ")[1] == "/health":
            return message(200, [("X-Instance-Id", self.name)])
        if not ident:
            return message(400, [("X-Not-Executed", "1")])
        self.runs.append({"id": ident, "at": time.monotonic()})
        self.record(f"server {self.name} of {self.service} runs {ident}")
        await asyncio.sleep(self.work_s)
        self.record(f"server {self.name} answers 200 to {ident}")
        return message(200, same + [("X-Response-Seal", "seal." + ident)], ident.encode())

    async def serve(self, reader, writer):
        try:
            while (got := await read_message(reader)) is not None:
                writer.write(await self.answer(got))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, RuntimeError):
            pass
        finally:
            writer.close()


def route(name, prefix, service, **more):
    return {"name": name, "host": "h.example", "path_prefix": prefix, "kind": "streaming",
            "timeout_ms": 4000, "target_latency_ms": 600, "priority": 1, "service": service,
            "max_attempts": 1, "public": False, "sticky_sessions": True, "resumable": False,
            "gap_aim_ms": 500, **more}


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1",
            "tls": False}


async def call(node, ident, path, key, deadline_ms, record):
    """One attempt of a client of a plain service, on a new connection. Returns the status; 0:
    closed."""
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", f"X-Request-Id: {ident}",
             f"X-Deadline-Ms: {deadline_ms}", f"X-Key: {key}", "Content-Length: 2", "", "{}"]
    status = 0
    record(f"client sends {ident} to {node.name}")
    try:
        reader, writer = await connect(node.front)
        writer.write("\r\n".join(lines).encode())
        got = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        writer.close()
        if got is not None:
            status = int(got[0].split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        status = 0
    record(f"client got {ident} from {node.name}: status={status}")
    return status


def engine_service(name, model):
    return {"name": name, "health_path": "/health", "max_connections": 370, "protocol": "h1",
            "tls": False,
            "engine": {"slots": 64, "kv_capacity_tokens": 99487, "token_kv_bytes": 18432,
                       "link_mbps": 550000.0, "max_in_flight": 12, "models": [{"name": model}]}}


class Node:
    """A router node, started with the command of the deploy file. The settings are those that the
    template deploy/settings.json gives for the bounds of the site file named in claim.txt; the
    port of the metrics is a free one."""

    def __init__(self, name, store, folder):
        self.name = name
        ports = {key: "127.0.0.1:%d" % free_port() for key in ("front", "ready", "metrics", "relay")}
        self.front, self.ready = ports["front"], ports["ready"]
        settings = {
            "node-id": name, "zone": "z1", "listen": ports["front"],
            "ready-listen": ports["ready"], "metrics-listen": ports["metrics"],
            "store": store.address, "weights-bound-ms": "8000", "revocation-bound-ms": "5000",
            "config-bound-ms": "2000", "drain-bound-ms": "2000", "stop-bound-s": "8",
            "lease-bound-ms": "3000", "first-start": "true", "link-mbps": "1000.0",
            "relay-group": "r1", "relay-groups": "r1", "zone-regions": "z1=r1",
            "relay-listen": ports["relay"]}
        self.file = os.path.join(folder, name + ".json")
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, name + ".log"), "wb")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "CALICODRIFT_CONFIG": self.file})

    async def is_ready(self):
        try:
            reader, writer = await connect(self.ready)
            writer.write(b"GET /calicodrift/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            got = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return got is not None and got[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    def peak_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith("VmHWM")), 0)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def ask(node, ident, path, key, model, prompt, deadline_ms, record, usage_out=80):
    """One attempt of a client on a new connection. Returns status and body; status 0: closed."""
    total = sum(tokens for _, tokens in prompt)
    prefix = ",".join(f"{name}:{tokens}" for name, tokens in prompt)
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", f"X-Request-Id: {ident}",
             f"X-Model: {model}", f"X-Token-Usage: {total},{usage_out}",
             f"X-Prompt-Prefix: {prefix}", f"X-Deadline-Ms: {deadline_ms}", f"X-Key: {key}",
             "Content-Length: 2", "", "{}"]
    record(f"client sends {ident} to {node.name}")
    status, body = 0, b""
    try:
        reader, writer = await connect(node.front)
        writer.write("\r\n".join(lines).encode())
        got = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        writer.close()
        if got is not None:
            status, body = int(got[0].split(" ")[1]), got[2]
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        status = 0
    record(f"client gets {ident} status={status} bytes={len(body)}")
    return status, body


def run_case(main, record):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run():
        code = 2
        try:
            code = await asyncio.wait_for(main(Record(record)), 112)
        except BaseException as error:  # noqa: B902
            print("the case couldn't run:", repr(error))
        # The nodes have ended; what is left are coroutines of stand-ins.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())


class Deployment:
    """Store, servers and nodes; ends all processes on leaving."""

    def __init__(self, record, seed):
        self.record, self.random = record, random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="calicodrift-review-")
        self.store, self.servers, self.nodes, self.watches = Store(), [], [], []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for watch in self.watches:
            watch.cancel()
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_servers(self, count, service, model, **more):
        for number in range(count):
            server = ModelServer(f"i-{service}-{number}", service, model, self.store, self.record,
                                 self.random, **more)
            await server.start()
            self.servers.append(server)

    async def add_nodes(self, count, wait_s=20):
        for number in range(count):
            node = Node(f"front-{number + 1}", self.store, self.folder)
            node.start()
            self.nodes.append(node)
        end = time.monotonic() + wait_s
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise RuntimeError("the nodes did not become ready")
            await asyncio.sleep(0.1)
            self.replace_ended()
        self.record(f"{count} nodes are ready")

    def replace_ended(self):
        """Starts nodes again, with other ports, that ended before they were ready: another program
        may have taken a port meanwhile."""
        for number, node in enumerate(self.nodes):
            if node.process.poll() is None:
                continue
            print(f"{node.name} ended with {node.process.returncode}, and is started again")
            self.nodes[number] = Node(node.name, self.store, self.folder)
            self.nodes[number].start()

    async def limit_memory(self, megabytes, restart_s=0.5):
        """Kills a process that goes over its memory, and starts it again after a short delay, as
        DEPLOY.md says. Counts the ends by node."""
        ends = {node.name: 0 for node in self.nodes}

        async def watch(node):
            while True:
                await asyncio.sleep(0.02)
                peak = node.peak_kb()
                if peak <= megabytes * 1024:
                    continue
                node.end()
                ends[node.name] += 1
                self.record(f"platform: {node.name} used {peak} kB of {megabytes} MB and is killed")
                await asyncio.sleep(restart_s)
                node.start()

        self.watches = [asyncio.create_task(watch(node)) for node in self.nodes]
        return ends

    def alive(self):
        return all(node.process.poll() is None for node in self.nodes)
