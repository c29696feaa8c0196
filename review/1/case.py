"""TWICE: a late second copy of a refusal arrives where the answer to the next sending of the same
request is due. The server names its new weights in a refusal (421), the node sends the same request
to the same server again on the same connection, and takes the copy for the answer."""

import asyncio
import collections
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import (Deployment, ModelServer, ask, configuration, engine_service, header,
                               route, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# The largest dose of "garble, extra late" in the site file: a share of 0.6 of the servers, 0.03 of
# their answers, for 5 s; it strikes again and again. Five of six seconds are under it here. Neither
# the servers (10 of 18) nor the answers so far ever exceed their share.
SHARE, DOSE, STRIKE_S, PERIOD_S = 0.6, 0.03, 5.0, 6.0
# A naming each 5 s (the site's quiet day names one each 3.2 s), with a load time of 0.57 s.
NAMING_S, TRAFFIC_S, RATE = 5.0, 80.0, 120.0
NODES, SERVERS = 7, 18


class GarblingServer(ModelServer):
    """Gives some answers a second time, late: in the place where the next answer is due."""

    load_s, tokens_per_ms, step_s, memory_tokens = 0.57, 50.7, 0.02, 162776
    striking = frozenset()
    # Answers given by servers under the disruption, and the copies kept of them and written.
    answers_struck, copies_kept = 0, 0
    copies = collections.Counter()
    # Requests whose refusal was written once more.
    refusals_repeated = collections.defaultdict(list)

    async def serve(self, reader, writer):
        writer.surplus = None
        await super().serve(reader, writer)

    async def write_surplus(self, line):
        """The next request on this connection is here: its answer is due."""
        surplus, line.writer.surplus = line.writer.surplus, None
        if surplus is None or self.name not in self.striking:
            return
        ident, status, answer = surplus
        line.writer.write(answer)
        await line.writer.drain()
        self.copies[status] += 1
        if status == "421":
            self.refusals_repeated[ident].append(self.name)
        self.record(f"server {self.name} sends its {status} to {ident} once more, late")

    def garbles(self):
        cls = GarblingServer
        if self.name not in self.striking:
            return False
        cls.answers_struck += 1
        within = cls.copies_kept + 1 <= DOSE * cls.answers_struck
        if within and self.random.random() < 2 * DOSE:
            cls.copies_kept += 1
            return True
        return False

    async def answer(self, got, line):
        await self.write_surplus(line)
        ident = header(got[1], "X-Request-Id")
        if ident:
            self.record(f"server {self.name} gets {ident}, expected version "
                        f"{header(got[1], 'X-Expect-Version')}")
        answer = await super().answer(got, line)
        if ident:
            status = bytes(answer)[9:12].decode()
            self.record(f"server {self.name} answers {status} to {ident}")
            if self.garbles():
                line.writer.surplus = (ident, status, bytes(answer))
        return answer


async def strike(servers, random_):
    while True:
        names = random_.sample([s.name for s in servers], int(SHARE * len(servers)))
        GarblingServer.striking = frozenset(names) if TROUBLE else frozenset()
        await asyncio.sleep(STRIKE_S)
        GarblingServer.striking = frozenset()
        await asyncio.sleep(PERIOD_S - STRIKE_S)


async def name_weights(store, record):
    version = 1
    while True:
        await asyncio.sleep(NAMING_S)
        version += 1
        await store.put("versions", "m0", {"model": "m0", "version": version})
        record(f"operator names version {version}")


async def main(record):
    random_ = random.Random(SEED)
    statuses = {}
    async with Deployment(record, SEED) as all_:
        routes = [route("hint", "/hint/", "oracolo", timeout_ms=5000, priority=0)]
        services = [engine_service("oracolo", "m0")]
        services[0]["engine"].update(slots=32, kv_capacity_tokens=162776)
        await all_.store.put("config", "main", configuration(
            1, routes, services, [{"name": "t1", "api_keys": ["k1"], "isolated": False}]))
        await all_.store.put("versions", "m0", {"model": "m0", "version": 1})
        for number in range(SERVERS):
            server = GarblingServer(f"i-{number}", "oracolo", "m0", all_.store, record,
                                    all_.random, slots=32)
            await server.start()
            all_.servers.append(server)
        await all_.add_nodes(NODES)
        tasks = [asyncio.create_task(strike(all_.servers, random_)),
                 asyncio.create_task(name_weights(all_.store, record))]
        end = time.monotonic() + TRAFFIC_S
        number, calls = 0, set()

        async def one(ident):
            node = random_.choice(all_.nodes)
            prompt = [(f"a{random_.randrange(40):x}", 55), (f"b{random_.randrange(1313):x}", 37),
                      (f"c{ident}", 199)]
            statuses[ident], _ = await ask(node, ident, "/hint/x", "k1", "m0", prompt, 5000,
                                           record, usage_out=11)

        while time.monotonic() < end:
            number += 1
            task = asyncio.create_task(one(f"{number:x}"))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(random_.expovariate(RATE))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*calls)
        if not all_.alive():
            print("a node has ended")
            return 2
    runs = collections.defaultdict(list)
    for server in all_.servers:
        for run in server.runs:
            runs[run["id"]].append(server.name)
    twice = {ident: names for ident, names in runs.items() if len(names) > 1}
    refused = [ident for ident, status in statuses.items()
               if status in (408, 421, 429, 503) and ident in runs]
    repeated = GarblingServer.refusals_repeated
    for ident, names in twice.items():
        record(f"TWICE: {ident} ran at {names}; its client got {statuses.get(ident)}; its 421 was sent "
               f"once more by {repeated.get(ident, 'no server')}")
    explained = sum(bool(set(repeated.get(ident, [])) & set(names)) for ident, names in twice.items())
    for ident in refused:
        record(f"REFUSED: {ident} got {statuses[ident]}, yet it ran at {runs[ident]}")
    counts = collections.Counter(statuses.values())
    kept, struck = GarblingServer.copies_kept, GarblingServer.answers_struck
    text = (f"requests {len(statuses)}, statuses {dict(counts)}; copies kept {kept} of {struck} answers "
            f"({kept / max(struck, 1):.4f}), written by status {dict(GarblingServer.copies)}; ran twice "
            f"{len(twice)}, of these at the server that repeated its 421 {explained}; refused but run "
            f"{len(refused)}")
    record(text)
    print(text)
    if counts[200] < 0.8 * len(statuses):
        return 2
    return 1 if twice or refused else 0


run_case(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
