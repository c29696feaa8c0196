"""CONFIG: a configuration brings other weights for a split route. The turns that the former weights left
over are counted against the new ones, so that a service gets requests that the configuration in force
gives to the other one."""

import asyncio
import collections
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import (Deployment, PlainServer, call, configuration, plain_service, route,
                               run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Requests that each node gets before the weights change: where in its round it is then.
FIRST = int(os.environ.get("FIRST", "35"))
NODES, SERVERS, JUDGED = 7, 3, 420
# config_apply_ms and contact_ms of the site: what is judged is sent later than both.
SETTLED_S = 2.0 + 3.0
WEIGHTS = [(9000, 1000), (9, 1), (1, 0)]
# NEWS.md: a part's share lies more than this off its weight's, in 200 requests or more.
MOST_OFF = 0.2


def split(stable, canary):
    parts = [{"service": "stable", "weight": stable}, {"service": "canary", "weight": canary}]
    return [route("turn", "/turn/", "stable", kind="unsafe", timeout_ms=2500,
                  target_latency_ms=150, sticky_sessions=False, weighted_services=parts)]


async def main(record):
    broken, failed = [], 0
    async with Deployment(record, 1) as all_:
        services = [plain_service("stable"), plain_service("canary")]
        tenants = [{"name": "t1", "api_keys": ["k1"], "isolated": False}]

        async def configure(version, weights):
            await all_.store.put("config", "main",
                                 configuration(version, split(*weights), services, tenants))
            record(f"operator: version {version} is accepted, stable:canary = {weights}")
            return time.monotonic()

        await configure(1, WEIGHTS[0])
        servers = []
        for service in ("stable", "canary"):
            for number in range(SERVERS):
                server = PlainServer(f"i-{service}-{number}", service, all_.store, record)
                await server.start()
                servers.append(server)
        await all_.add_nodes(NODES)

        async def send(step, count):
            """The same number of requests to each node, one after the other. Returns who ran them."""
            async def at(node):
                return [await call(node, f"{step}-{node.name}-{number}", "/turn/x", "k1", 2500, record)
                        for number in range(count)]
            statuses = await asyncio.gather(*[at(node) for node in all_.nodes])
            ran = collections.Counter(server.service for server in servers for run in server.runs
                                      if run["id"].startswith(f"{step}-"))
            return ran, sum(status != 200 for each in statuses for status in each)

        _, failed = await send("before", FIRST)
        for step, weights in enumerate(WEIGHTS[1:], start=2):
            if TROUBLE:
                await configure(step, weights)
            await asyncio.sleep(SETTLED_S + 1)
            due = weights if TROUBLE else WEIGHTS[0]
            share = due[1] / sum(due)
            ran, not_served = await send(f"step{step}", JUDGED // NODES)
            failed += not_served
            found = ran["canary"] / sum(ran.values())
            text = (f"stable:canary = {due}: the canary runs {ran['canary']} of {sum(ran.values())}, "
                    f"due is a share of {share}")
            record(text)
            print(text)
            if abs(found - share) > MOST_OFF or (due[1] == 0 and ran["canary"] > 0):
                broken.append(step)
                record(f"CONFIG: broken after version {step}")
        if not all_.alive():
            print("a node has ended")
            return 2
    if failed:
        print(f"{failed} requests were not served")
        return 2
    return 1 if broken else 0


run_case(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
