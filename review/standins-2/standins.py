"""Stand-ins of the platform for the cases of this review: the store, servers, model servers, clients, a proxy
between two sides, and a small deployment of gateways. All of it on loopback, in one asyncio process; only the
gateways are processes of their own, started with the command of deploy/system.toml."""

import asyncio
import ctypes
import json
import os
import random
import re
import signal
import shutil
import socket
import sys
import tempfile
import time
import urllib.parse

LOOP = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
_taken = set()
_libc = ctypes.CDLL(None)


def end_with_parent():
    """The kernel ends a gateway whose case was killed (PR_SET_PDEATHSIG)."""
    _libc.prctl(1, signal.SIGKILL)


def free_port():
    """A free port, from below the range that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(12000, 31000)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOP, port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Headers(list):
    """Pairs of name and value, in their order."""

    def get(self, name, default=None):
        for key, value in self:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The first line and the headers; None where the other side has closed."""
    line = await reader.readline()
    if not line:
        return None
    headers = Headers()
    while True:
        field = await reader.readline()
        if not field:
            raise ConnectionResetError("head broke off")
        field = field.rstrip(b"\r\n")
        if not field:
            return line.decode("latin1").rstrip("\r\n"), headers
        name, _, value = field.decode("latin1").partition(":")
        headers.append((name.strip(), value.strip()))


async def read_chunk(reader):
    """One chunk; empty at the end of the body."""
    size = await reader.readline()
    if not size:
        raise ConnectionResetError("body broke off")
    length = int(size.split(b";")[0], 16)
    if length == 0:
        while (await reader.readline()).strip():
            pass
        return b""
    data = await reader.readexactly(length)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if "chunked" in (headers.get("Transfer-Encoding") or "").lower():
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    length = int(headers.get("Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


class Listener:
    """Serves HTTP connections; a subclass handles one request at a time."""

    def __init__(self):
        self.server = None
        self.port = free_port()
        self.writers = set()

    @property
    def address(self):
        return f"{LOOP}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._serve, LOOP, self.port, limit=1 << 20)

    async def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                method, target, _ = (first.split(" ") + ["", ""])[:3]
                body = await read_body(reader, headers)
                if await self.handle(method, target, headers, body, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


class Store(Listener):
    """The platform's metadata store: objects by kind and name, one counter of revisions, watches."""

    PREFIX = "/calicodrift/objects/"

    def __init__(self, record, answer_ms=4):
        super().__init__()
        self.record = record
        self.answer_ms = answer_ms
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.hook = None

    def put(self, kind, name, spec=None, status=None, expected=None):
        """A write by the operator or a server; returns the object, or None where the revision differs."""
        known = self.objects.get((kind, name))
        if expected is not None and (known["metadata"]["revision"] if known else 0) != expected:
            return None
        self.revision += 1
        made = known["metadata"]["made"] if known else self.revision
        entry = {"metadata": {"name": name, "revision": self.revision, "made": made, "finalizers": [], "deleting": False},
                 "spec": spec if spec is not None else (known or {}).get("spec"),
                 "status": status if status is not None else (known or {}).get("status")}
        self.objects[(kind, name)] = entry
        self._tell(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry:
            self.revision += 1
            entry = json.loads(json.dumps(entry))
            entry["metadata"]["revision"] = self.revision
            self._tell(kind, entry, True)

    def _tell(self, kind, entry, gone):
        self.events.append((self.revision, kind, json.loads(json.dumps({"gone": gone, "object": entry}))))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, reader, writer):
        await asyncio.sleep(self.answer_ms / 1000)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, _, rest = path.removeprefix(self.PREFIX).partition("/")
        name, _, part = urllib.parse.unquote(rest).partition("/")
        status, result = await self._call(method, kind, name, part, query, body)
        if method != "GET":
            self.record(f"store {method} {kind}/{name or json.loads(body)['metadata']['name']} {part} -> {status} {json.dumps(json.loads(body).get('spec') or '') if body else ''}")
        writer.write(answer(status, [("Content-Type", "application/json")], json.dumps(result, separators=(",", ":")).encode()))
        await writer.drain()

    async def _call(self, method, kind, name, part, query, body):
        if method == "GET" and name:
            entry = self.objects.get((kind, name))
            return (200, entry) if entry else (404, {})
        if method == "GET" and "watch" in query:
            since, end = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [event for revision, of, event in self.events if of == kind and revision > since]
                if events or time.monotonic() >= end:
                    return 200, {"events": events, "at": max(since, self.revision)}
                waiter = self.changed
                try:
                    await asyncio.wait_for(waiter.wait(), max(0.0, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
        if method == "GET":
            items = [entry for (of, known), entry in sorted(self.objects.items()) if of == kind and known > query.get("after", "")]
            return 200, {"items": items, "more": False, "at": self.revision}
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        data = json.loads(body)
        meta = data.get("metadata", {})
        name = name or meta["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (200, self.put(kind, name, data.get("spec")))
        if not known:
            return 404, {}
        if "revision" in meta and meta["revision"] != known["metadata"]["revision"]:
            return 409, known
        if part == "status":
            return 200, self.put(kind, name, status=data.get("status"))
        return 200, self.put(kind, name, data.get("spec"))


class Server(Listener):
    """An application server: runs requests, one a connection at a time, `slots` at once."""

    def __init__(self, record, service, zone, work_ms=20, slots=6, number=0):
        super().__init__()
        self.record = record
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.slots = slots
        self.id = f"i-{service}-{number}"
        self.software = "v1"
        self.state = "ready"
        self.call_seq = 0
        self.ran = []
        self.public_address = None
        self.gate = asyncio.Semaphore(slots)
        self.requests = []

    def entry(self):
        return {"service": self.service, "address": self.public_address or self.address, "zone": self.zone,
                "version": self.software, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "call_seq": self.call_seq}

    def seal(self, request):
        return f"{self.id}.{request}"

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/health":
            writer.write(answer(200, [("X-Instance-Id", self.id)]))
            await writer.drain()
            return None
        if target.startswith("/calicodrift/"):
            return await self.own_call(method, target, headers, body, reader, writer)
        request = headers.get("X-Request-Id") or ""
        back = [("X-Request-Id", request), ("X-Instance-Id", self.id)]
        expected = headers.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(answer(421, back))
            await writer.drain()
            return None
        self.requests.append((request, time.monotonic(), headers, target, body))
        return await self.run(method, target, headers, body, reader, writer, request, back)

    async def own_call(self, method, target, headers, body, reader, writer):
        writer.write(answer(404, [("X-Instance-Id", self.id)]))
        await writer.drain()

    async def run(self, method, target, headers, body, reader, writer, request, back):
        async with self.gate:
            self.ran.append((request, time.monotonic()))
            self.record(f"{self.id} runs {request} {method} {target} tenant={headers.get('X-Tenant')}")
            await asyncio.sleep(self.work_ms / 1000)
        text = f"{self.id} answers {request}\n".encode()
        writer.write(answer(200, back + [("X-Response-Seal", self.seal(request)), ("Content-Type", "text/plain")], text))
        await writer.drain()


class Engine(Server):
    """A model server: streams of events, weights that orders change, kept parts of prompts by salt."""

    def __init__(self, record, service, zone, model, number=0, slots=32, load_s=0.8, pieces=6, gap_ms=30):
        super().__init__(record, service, zone, slots=slots, number=number)
        self.model = model
        self.version = 1
        self.busy = False
        self.load_s = load_s
        self.pieces = pieces
        self.gap_ms = gap_ms
        self.orders = []
        self.on_change = None
        self.kept = {}

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def entry(self):
        return {**super().entry(), "stage": "combined", "models": self.models()}

    async def own_call(self, method, target, headers, body, reader, writer):
        back = [("X-Instance-Id", self.id), ("Content-Type", "application/json")]
        expected = headers.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(answer(421, back))
        elif target == "/calicodrift/report":
            report = {"stage": "combined", "models": self.models(), "busy": self.busy, "call_seq": self.call_seq, "queued": 0,
                      "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0}
            writer.write(answer(200, back, json.dumps(report).encode()))
        elif target == "/calicodrift/order":
            status = self.take_order(json.loads(body))
            writer.write(answer(status, back))
        else:
            writer.write(answer(404, back))
        await writer.drain()

    def take_order(self, order):
        if order.get("version") == self.version and not self.busy:
            status = 200
        elif self.busy or order.get("expected", self.call_seq) != self.call_seq:
            status = 409
        else:
            status = 202
            self.call_seq += 1
            self.busy = True
            asyncio.get_running_loop().call_later(self.load_s, self._loaded, order["version"])
        self.orders.append((time.monotonic(), order, status))
        self.record(f"{self.id} order {order} -> {status}")
        return status

    def _loaded(self, version):
        self.busy = False
        self.version = version
        self.kept.clear()
        self.record(f"{self.id} holds version {version}")
        if self.on_change:
            self.on_change()

    async def run(self, method, target, headers, body, reader, writer, request, back):
        wanted = headers.get("X-Expect-Version")
        back = back + [("X-Weight-Versions", str(self.version))]
        if wanted and int(wanted) != self.version:
            writer.write(answer(421, back))
            await writer.drain()
            return None
        if self.busy:
            writer.write(answer(503, back + [("X-Not-Executed", "1")]))
            await writer.drain()
            return None
        tenant, salt = headers.get("X-Tenant"), headers.get("X-Cache-Salt") or ""
        self.ran.append((request, time.monotonic()))
        used = []
        for part in (headers.get("X-Prompt-Prefix") or "").split(","):
            key = (salt, part)
            if key in self.kept and (not used or used[-1] is not None):
                used.append(self.kept[key])
            else:
                used.append(None)
                self.kept[key] = (request, tenant, self.version)
        self.record(f"{self.id} runs {request} tenant={tenant} salt={salt} used={used}")
        self.used(request, tenant, [memory for memory in used if memory])
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in back) +
                      f"X-Response-Seal: {self.seal(request)}\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("Last-Event-Id") or 0) + 1
        for piece in range(first, self.pieces + 1):
            await asyncio.sleep(self.gap_ms / 1000)
            event = f"id: {piece}\ndata: {request} {piece}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None

    def used(self, request, tenant, memories):
        """Told of each run with the memory that it used."""


class Link(Listener):
    """Carries connections to a server or the store, and can cut those of one machine. While a machine is cut
    off, bytes between the two sides are held. A held segment is sent again as TCP does it: 200 ms after it was sent
    and after ever doubled pauses, so that it arrives with the first of these after the cut. What is held is lost if
    its sender resets the connection; a sender that just closes has its bytes delivered."""

    FIRST_PAUSE_S = 0.2

    def __init__(self, port, record, name):
        super().__init__()
        self.to, self.record, self.name = port, record, name
        self.cut = set()
        self.healed = asyncio.Event()
        self.on_bytes = None

    def begin_cut(self, machine):
        self.cut.add(machine)

    def end_cut(self, machine):
        self.cut.discard(machine)
        self.healed.set()
        self.healed = asyncio.Event()

    async def _serve(self, reader, writer):
        machine = writer.get_extra_info("peername")[0]
        self.writers.add(writer)
        try:
            back_reader, back_writer = await asyncio.open_connection(LOOP, self.to, limit=1 << 20)
        except OSError:
            writer.transport.abort()
            return
        for side in (writer, back_writer):
            side.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self._carry(machine, reader, back_writer, True), self._carry(machine, back_reader, writer, False))
        self.writers.discard(writer)
        for side in (writer, back_writer):
            side.close()

    async def _carry(self, machine, reader, writer, forward):
        try:
            while True:
                data = await reader.read(65536)
                sent = time.monotonic()
                if data and forward and self.on_bytes:
                    self.on_bytes(self, machine, data)
                await self._arrive(machine, sent, data, forward)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def _arrive(self, machine, sent, data, forward):
        """Returns when the bytes get through."""
        if machine not in self.cut:
            return
        while machine in self.cut:
            await self.healed.wait()
        pause, again = self.FIRST_PAUSE_S, sent
        while again < time.monotonic():
            again += pause
            pause *= 2
        await asyncio.sleep(again - time.monotonic())
        if data and forward:
            self.record(f"link to {self.name}: {len(data)} bytes that {machine} sent {time.monotonic() - sent:.1f} s ago arrive")


class Gateway:
    """One router node: the command of the deploy file with the fields of its template."""

    def __init__(self, name, zone, store, bounds, zones, folder, record, first=True, machine=LOOP):
        self.name, self.zone, self.record, self.machine = name, zone, record, machine
        self.front, self.ready, self.metrics, self.peer = (free_port() for _ in range(4))
        self.path = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        groups = list(zones.values())
        settings = {"node-id": name, "zone": zone, "listen": f"{LOOP}:{self.front}", "ready-listen": f"{LOOP}:{self.ready}",
                    "source-address": machine,
                    "metrics-listen": f"{LOOP}:{self.metrics}", "store": store.address,
                    "relay-group": zones[zone], "relay-groups": ",".join(groups),
                    "zone-regions": ",".join(f"{zone}={region}" for zone, region in zones.items()),
                    "relay-listen": f"{LOOP}:{self.peer}", "link-mbps": "1000.0"}
        if first:
            settings["first-start"] = "true"
        settings.update(bounds)
        with open(self.path, "w") as file:
            json.dump(settings, file, indent=1)

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split(" ")
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(f"{command[0]} is not built")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LANG": os.environ.get("LANG", "C.UTF-8"), "CALICODRIFT_CONFIG": self.path}
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, start_new_session=True,
                                                            preexec_fn=end_with_parent,
                                                            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)
        self.record(f"{self.name} started, process {self.process.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOOP, self.ready)
            writer.write(b"GET /calicodrift/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    pass
            await self.process.wait()


class Deployment:
    """A store, servers and gateways; ends whatever it has started."""

    def __init__(self, record, zones, bounds):
        self.record, self.zones, self.bounds = record, zones, bounds
        self.folder = tempfile.mkdtemp(prefix="calicodrift-case-")
        self.store = Store(record)
        self.servers, self.gateways, self.extra = [], [], []

    async def open(self, config, servers, gateways, versions=()):
        await self.store.open()
        self.servers = servers
        for server in servers:
            await server.open()
            self.list(server)
        for model, version in versions:
            self.store.put("versions", model, {"model": model, "version": version})
        self.store.put("config", "main", config)
        for number, (name, zone) in enumerate(gateways):
            self.gateways.append(Gateway(name, zone, self.store_of(name), self.bounds, self.zones, self.folder, self.record,
                                         machine=f"127.0.0.{11 + number}"))
        for gateway in self.gateways:
            await gateway.start()
        await self.until_ready(self.gateways)

    def store_of(self, name):
        """What the gateway reaches as the store."""
        return self.store

    async def until_ready(self, gateways, seconds=20):
        end = time.monotonic() + seconds
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or gateway.process.returncode is not None:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def list(self, server):
        self.store.put("servers", server.id, server.entry())
        server.on_change = lambda: self.store.put("servers", server.id, server.entry())

    async def close(self):
        for gateway in self.gateways:
            await gateway.stop()
        for part in self.servers + self.extra + [self.store]:
            await part.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.cause = 0, Headers(), b"", False, ""
        self.sent_at = self.ended_at = time.monotonic()
        self.connection_closes = False

    def __str__(self):
        return f"{self.status or 'no answer'} {'whole' if self.whole else 'broken off'} {self.cause}"


async def read_answer(reader, answered):
    head = await read_head(reader)
    if head is None:
        answered.cause = "closed"
        return answered
    first, answered.headers = head
    answered.status = int(first.split(" ")[1])
    answered.connection_closes = (answered.headers.get("Connection") or "").lower() == "close"
    if "chunked" in (answered.headers.get("Transfer-Encoding") or "").lower():
        while part := await read_chunk(reader):
            answered.body += part
    else:
        answered.body = await read_body(reader, answered.headers)
    answered.whole = True
    return answered


async def call(gateway_port, method, host, path, headers, body=b"", timeout=30.0):
    """One attempt on a connection of its own."""
    answered = Answer()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(LOOP, gateway_port, limit=1 << 20)
        answered.sent_at = time.monotonic()
        writer.write(message(f"{method} {path} HTTP/1.1", [("Host", host)] + headers, body))
        await writer.drain()
        await asyncio.wait_for(read_answer(reader, answered), timeout)
    except asyncio.TimeoutError:
        answered.cause = "deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answered.cause = f"{type(error).__name__}"
    finally:
        answered.ended_at = time.monotonic()
        if writer:
            writer.close()
    return answered


def request_id():
    return f"{random.getrandbits(64):016x}"


PSF_BOUNDS = {"weights-bound-ms": "10000", "revocation-bound-ms": "5000", "config-bound-ms": "2000", "drain-bound-ms": "2000",
              "stop-bound-s": "8", "lease-bound-ms": "3000"}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def run_case(main, record_name, seconds=118):
    """Runs the case: exit 1 where the rule was broken, 0 where it held, 2 where it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, record_name))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        loop = asyncio.get_running_loop()
        # Connections that are still open when the case ends are no matter.
        loop.set_exception_handler(lambda loop, context: None)
        task = asyncio.ensure_future(main(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, seconds)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
