"""WALL: a tenant becomes isolated by a change of the configuration, and parts that its requests
made before go on to serve the requests of others."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standins as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0
PROMPTS = 12


def tenants(isolated):
    return [{"name": "ten1", "api_keys": ["key1"], "priority": 1, "isolated": isolated},
            {"name": "ten2", "api_keys": ["key2"], "priority": 1, "isolated": False}]


def prompt(number, own):
    return [(f"{number:04x}a", 2000), (f"{number:04x}b", 800), (own, 150)]


async def main(record):
    async with p.Deployment(record, 1) as place:
        config = lambda version, isolated: p.configuration(
            version, [p.route("r-gen", "/gen/", "llm")], [p.engine_service("llm", "m1")],
            tenants(isolated))
        await place.store.put("config", "main", config(3, False))
        await place.store.put("versions", "m1", {"model": "m1", "version": 1})
        await place.add_servers(4, "llm", "m1")
        await place.add_nodes(3)
        sent = 0

        async def all_prompts(key):
            nonlocal sent
            statuses = []
            for number in range(PROMPTS):
                sent += 1
                node = place.nodes[sent % len(place.nodes)]
                statuses.append((await p.ask(node, f"q{sent}", "/gen/1", key, "m1",
                                             prompt(number, f"{sent:06x}"), 4000, record))[0])
            return statuses

        first = await all_prompts("key1")
        acknowledged = None
        if TROUBLE:
            await place.store.put("config", "main", config(7, True))
            acknowledged = time.monotonic()
            record("operator: version 7 is acknowledged; ten1 is isolated from here on")
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S + 1)
        second = await all_prompts("key2")
        if not place.alive() or first.count(200) < PROMPTS // 2 or second.count(200) < PROMPTS // 2:
            record(f"could not run: {first} {second}")
            return 2
        broken = [run for server in place.servers for run in server.runs
                  if acknowledged and run["at"] > acknowledged + CONFIG_APPLY_S
                  for maker in set(run["makers"]) if maker != run["tenant"]
                  and "ten1" in (maker, run["tenant"])]
        record(f"{len(broken)} requests used memory of another tenant, one of the two isolated")
        return 1 if broken else 0


p.run_case(main, os.path.join(HERE, "record.txt"))
