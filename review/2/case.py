"""WALL: a configuration isolates a tenant. What its requests left in the servers' memory before stays
under the salt that all other tenants share, and their requests go on to use it."""

import asyncio
import collections
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import (Deployment, ask, configuration, engine_service, route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
NODES, SERVERS, RATE = 3, 4, 30.0
BEFORE_S, AFTER_S = 6.0, 14.0
# config_apply_ms of the site, and as much again for what was sent before.
SETTLED_S = 4.0


def tenants(isolated):
    return [{"name": "alpha", "api_keys": ["ka"], "priority": 1, "isolated": False},
            {"name": "beta", "api_keys": ["kb"], "priority": 1, "isolated": isolated}]


async def main(record):
    random_ = random.Random(SEED)
    statuses, sent = collections.Counter(), {}
    async with Deployment(record, SEED) as all_:
        routes = [route("hint", "/hint/", "oracolo", timeout_ms=5000, priority=0)]
        services = [engine_service("oracolo", "m0")]
        await all_.store.put("config", "main", configuration(1, routes, services, tenants(False)))
        await all_.store.put("versions", "m0", {"model": "m0", "version": 1})
        await all_.add_servers(SERVERS, "oracolo", "m0")
        await all_.add_nodes(NODES)
        calls, number, named_at = set(), 0, None

        async def one(ident, key):
            prompt = [(f"a{random_.randrange(12):x}", 400), (f"c{ident}", 200)]
            sent[ident] = time.monotonic()
            status, _ = await ask(random_.choice(all_.nodes), ident, "/hint/x", key, "m0", prompt,
                                  5000, record, usage_out=11)
            statuses[status] += 1

        begin = time.monotonic()
        while (now := time.monotonic()) < begin + BEFORE_S + AFTER_S:
            if named_at is None and now >= begin + BEFORE_S:
                await all_.store.put("config", "main",
                                     configuration(2, routes, services, tenants(TROUBLE)))
                named_at = time.monotonic()
                record(f"operator: version 2 is accepted, beta isolated={TROUBLE}")
            number += 1
            task = asyncio.create_task(one(f"{number:x}", random_.choice(["ka", "kb"])))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(random_.expovariate(RATE))
        await asyncio.gather(*calls)
        if not all_.alive():
            print("a node has ended")
            return 2
    broken = []
    for server in all_.servers:
        for run in server.runs:
            late = sent[run["id"]] > named_at + SETTLED_S
            others = {maker for maker in run["makers"] if maker != run["tenant"]}
            if TROUBLE and late and (("beta" in others) or (run["tenant"] == "beta" and others)):
                broken.append(run["id"])
                record(f"WALL: {run['id']} of {run['tenant']} was sent "
                       f"{sent[run['id']] - named_at:.1f} s after beta was isolated, and ran at "
                       f"{server.name} under salt {run['salt']} on {run['kept']} "
                       f"tokens made by {sorted(others)}")
    text = (f"statuses {dict(statuses)}, sent {SETTLED_S} s or more after the change "
            f"{sum(at > named_at + SETTLED_S for at in sent.values())}, of these on memory beyond the "
            f"wall {len(broken)}")
    record(text)
    print(text)
    if statuses[200] < 0.9 * sum(statuses.values()):
        return 2
    return 1 if broken else 0


run_case(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
