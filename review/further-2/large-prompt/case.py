"""One request that names a prompt far larger than any server's memory, beside the ordinary requests of others."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins-2"))
from bystanders import *  # noqa: E402,F403

ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
MODEL = "m1"
SERVER_TOKENS = 99487  # kv_capacity_tokens of its model servers
TOKENS = 10_000_000_000


class SizedEngine(Engine):
    """Rejects a request that is larger than its memory as though it were full."""

    async def run(self, method, target, headers, body, reader, writer, request, back):
        if int((headers.get("X-Token-Usage") or "0,0").split(",")[0]) > SERVER_TOKENS:
            self.record(f"{self.id} rejects {request} as larger than its memory")
            writer.write(answer(503, back + [("X-Not-Executed", "1")]))
            await writer.drain()
            return None
        return await super().run(method, target, headers, body, reader, writer, request, back)


def config():
    stream = {"name": "stream", "host": HOST, "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 4000,
              "target_latency_ms": 600, "priority": 1, "service": "llm", "max_attempts": 2, "public": False,
              "sticky_sessions": True, "resumable": True, "gap_aim_ms": 500}
    turns = {"name": "turns", "host": HOST, "path_prefix": "/turn/", "kind": "unsafe", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1, "public": False}
    services = [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False},
                {"name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False,
                 "engine": {"slots": 32, "kv_capacity_tokens": SERVER_TOKENS, "token_kv_bytes": 18432,
                            "models": [{"name": MODEL}]}}]
    return {"version": 1, "routes": [stream, turns], "services": services, "limits": LIMITS,
            "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1, "isolated": False},
                        {"name": "t2", "api_keys": ["k2"], "priority": 1, "isolated": False}]}


async def large_prompt(record, gateways, tokens):
    """A client of tenant t2. It tries a second time at another node, as clients of resumable streams may."""
    for gateway in gateways[:2]:
        request = request_id()
        record(f"a client of t2 sends {request} with X-Prompt-Prefix 5c1e07a2:{tokens} to {gateway.name}")
        answered = await call(gateway.front, "POST", HOST, "/ask/x",
                              [("X-Request-Id", request), ("X-Deadline-Ms", "4000"), ("X-Key", "k2"), ("X-Model", MODEL),
                               ("X-Token-Usage", f"{tokens},6"), ("X-Prompt-Prefix", f"5c1e07a2:{tokens}")], b"x", timeout=4)
        record(f"the client of t2 gets {answered}")
        if answered.whole:
            return


async def main(record, trouble):
    deployment = Deployment(record, ZONES, PSF_BOUNDS)
    apps = [Server(record, "app", zone, work_ms=250, slots=16, number=number) for number, zone in enumerate(ZONES)]
    engines = [SizedEngine(record, "llm", zone, MODEL, number) for number, zone in enumerate(ZONES)]
    kills, lost = [], []
    watch = None
    try:
        await deployment.open(config(), apps + engines, [(f"front-{zone}", zone) for zone in ZONES], [(MODEL, 1)])
        gateways = deployment.gateways
        watch = asyncio.create_task(platform(record, gateways, kills))
        until = time.monotonic() + 10
        clients = [turns(record, gateways[number % len(gateways)], number, until, lost) for number in range(CLIENTS)]

        async def later():
            await asyncio.sleep(4)
            # Larger than a server's memory either way; TROUBLE=0 stays within what a body can hold.
            await large_prompt(record, gateways, TOKENS if trouble else 2 * SERVER_TOKENS)

        await asyncio.gather(later(), *clients)
        return judge(record, apps, kills, lost)
    finally:
        if watch:
            watch.cancel()
        await deployment.close()


run_case(main, "record.txt")
