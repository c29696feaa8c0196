"""TWICE: a surplus copy of a 421 arrives late, where the answer to the next sending of the same
request is due on the same connection, and the request is sent to another server too."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standins as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
NODES, SERVERS, CLIENTS = 8, 9, 24
SHARE, X, SPAN_S, PAUSE_S, SPANS = 0.6, 0.03, 5.0, 1.0, 15
NAMING_S = 4.5


class Garble:
    """Each of a share of the servers sends a second copy, late, behind a random part x of its
    answers to requests, whatever answers these are."""

    def __init__(self, servers, random_, record):
        self.faulty = set(s.name for s in random_.sample(servers, int(SHARE * len(servers))))
        self.random, self.record, self.active = random_, record, False
        self.answers = self.count = 0
        self.copies = set()
        for server in servers:
            server.on_answer = self.after

    def after(self, server, answer, line):
        if not self.active or server.name not in self.faulty or b"X-Request-Id: " not in answer:
            return
        self.answers += 1
        if self.random.random() < X and self.count + 1 <= X * self.answers:
            self.count += 1
            asyncio.create_task(self.send_late(server, answer, line))

    async def send_late(self, server, answer, line):
        await asyncio.sleep(self.random.uniform(0.005, 0.03))
        while line.writing:  # never inside another answer
            await asyncio.sleep(0.005)
        ident = answer.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
        status = answer.split(b" ")[1].decode()
        self.record(f"server {server.name} sends its {status} to {ident} once more, late")
        self.copies.add((ident, status))
        try:
            line.writer.write(answer)
        except (RuntimeError, ConnectionError):
            pass


async def main(record):
    async with p.Deployment(record, SEED) as place:
        await place.store.put("config", "main", p.configuration(
            3, [p.route("r-gen", "/gen/", "llm")], [p.engine_service("llm", "m1")],
            [{"name": "ten1", "api_keys": ["key1"], "priority": 1, "isolated": False}]))
        await place.store.put("versions", "m1", {"model": "m1", "version": 1})
        await place.add_servers(SERVERS, "llm", "m1")
        await place.add_nodes(NODES)
        garble = Garble(place.servers, place.random, record)
        end = time.monotonic() + SPANS * (SPAN_S + PAUSE_S) + 3
        statuses = {}

        async def client(number):
            count = 0
            while time.monotonic() < end:
                count += 1
                ident = f"c{number}-{count}"
                node = place.nodes[place.random.randrange(NODES)]
                text = [(f"{place.random.randrange(40):04x}", 1500), (f"{number:03x}{count:05x}", 400)]
                statuses[ident] = (await p.ask(node, ident, "/gen/1", "key1", "m1", text, 4000,
                                               record))[0]
                await asyncio.sleep(place.random.uniform(0, 0.1))

        async def operator():
            version = 1
            while time.monotonic() < end - NAMING_S:
                version += 1
                await place.store.put("versions", "m1", {"model": "m1", "version": version})
                record(f"operator: version {version} of m1 is named")
                await asyncio.sleep(NAMING_S)

        async def spans():
            for _ in range(SPANS):
                garble.active = TROUBLE
                await asyncio.sleep(SPAN_S)
                garble.active = False
                await asyncio.sleep(PAUSE_S)

        await asyncio.gather(operator(), spans(), *[client(number) for number in range(CLIENTS)])
        runs = {}
        for server in place.servers:
            for run in server.runs:
                runs.setdefault(run["id"], []).append(server.name)
        twice = {ident: where for ident, where in runs.items() if len(where) > 1}
        explained = [ident for ident in twice if (ident, "421") in garble.copies]
        promised = [i for i, s in statuses.items() if s in (408, 421, 429, 503) and i in runs]
        counts = {s: list(statuses.values()).count(s) for s in set(statuses.values())}
        record(f"answers by status: {counts}; surplus answers: {garble.count} of {garble.answers} "
               f"that the faulty servers gave meanwhile")
        record(f"TWICE: {len(twice)} requests ran more than once, {len(explained)} of them after a "
               f"surplus 421: {twice}")
        record(f"REFUSED: {len(promised)} requests were refused and have run: {promised}")
        if not place.alive() or counts.get(200, 0) < 100:
            return 2
        return 1 if twice or promised else 0


p.run_case(main, os.path.join(HERE, "record.txt"))
