"""A chunked request whose trailer does not end, from a client without a key, beside the ordinary requests of others."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins-2"))
from bystanders import *  # noqa: E402,F403

ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
BYTES_PER_S = 100_000_000  # less than a machine's link of 1,000 Mbit/s carries
LONGEST_S = 2.5  # less than header_timeout_ms
WITHIN_LIMITS = 8_000


def config():
    turns_route = {"name": "turns", "host": HOST, "path_prefix": "/turn/", "kind": "unsafe", "timeout_ms": 3000,
                   "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1, "public": False}
    services = [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}]
    return {"version": 1, "routes": [turns_route], "services": services, "limits": LIMITS,
            "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1, "isolated": False}]}


async def endless_trailer(record, gateway, trouble):
    """Sends a small body and then a trailer field; TROUBLE=0 ends it within max_header_bytes."""
    request = request_id()
    record(f"a client without a key sends {request} to {gateway.name}: a body of 5 bytes in chunks, then a trailer "
           f"field of {'no end' if trouble else f'{WITHIN_LIMITS} bytes'}")
    reader, writer = await asyncio.open_connection(LOOP, gateway.front)
    begin, sent = time.monotonic(), 0
    answered = Answer()
    try:
        writer.write((f"POST /turn/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nTransfer-Encoding: chunked"
                      "\r\n\r\n5\r\nabcde\r\n0\r\nX-Note: ").encode())
        piece = b"x" * 500_000 if trouble else b"x" * WITHIN_LIMITS
        while not writer.transport.is_closing() and not reader._buffer and time.monotonic() - begin < LONGEST_S:
            writer.write(piece)
            await asyncio.wait_for(writer.drain(), LONGEST_S)
            sent += len(piece)
            if not trouble:
                break
            await asyncio.sleep(max(0, begin + sent / BYTES_PER_S - time.monotonic()))
        writer.write(b"\r\n\r\n")
        await asyncio.wait_for(read_answer(reader, answered), 3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answered.cause = type(error).__name__
    record(f"the client has sent {sent} bytes of its trailer in {time.monotonic() - begin:.2f} s, and gets {answered}")
    writer.transport.abort()


async def main(record, trouble):
    deployment = Deployment(record, ZONES, PSF_BOUNDS)
    apps = [Server(record, "app", zone, work_ms=250, slots=16, number=number) for number, zone in enumerate(ZONES)]
    kills, lost = [], []
    watch = None
    try:
        await deployment.open(config(), apps, [(f"front-{zone}", zone) for zone in ZONES])
        gateways = deployment.gateways
        watch = asyncio.create_task(platform(record, gateways, kills))
        until = time.monotonic() + 10
        clients = [turns(record, gateways[number % len(gateways)], number, until, lost) for number in range(CLIENTS)]

        async def later():
            await asyncio.sleep(4)
            await endless_trailer(record, gateways[0], trouble)

        await asyncio.gather(later(), *clients)
        return judge(record, apps, kills, lost)
    finally:
        if watch:
            watch.cancel()
        await deployment.close()


run_case(main, "record.txt")
