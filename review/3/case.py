"""CONFIG: the weights of a route's services are written in smaller numbers, and the service that was
ahead in the old numbers gets every request of the route; it still does after its weight is 0."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standins as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES, SERVERS = 3, 2
CONFIG_APPLY_S, CONTACT_S = 2.0, 3.0
# Of 10,000; the same parts in the smallest numbers; and the canary taken out.
SPLIT, SAME_SPLIT, CANARY_OUT = (9000, 1000), (9, 1), (1, 0)
# Requests that each node gets before the first change, and all nodes together after each change.
FIRST, LATER = int(os.environ.get("FIRST", "35")), 400
WINDOW, OFF = 200, 0.2


def config(version, weights):
    route = p.route("r-turn", "/turn/", "stable", kind="unsafe", target_latency_ms=300,
                    sticky_sessions=False)
    del route["service"], route["gap_aim_ms"]
    route["weighted_services"] = [{"service": "stable", "weight": weights[0]},
                                  {"service": "canary", "weight": weights[1]}]
    return p.configuration(
        version, [route], [p.plain_service("stable"), p.plain_service("canary")],
        [{"name": "ten1", "api_keys": ["key1"], "priority": 1, "isolated": False}])


class Callers:
    """Send requests one after the other, in turn to each node."""

    def __init__(self, place, record):
        self.place, self.record, self.count, self.statuses = place, record, 0, []

    async def send(self, number):
        """Sends that many requests; the services that ran them, in the order of the sending."""
        first = self.count + 1
        for _ in range(number):
            self.count += 1
            node = self.place.nodes[self.count % NODES]
            self.statuses.append(
                await p.call(node, f"q{self.count}", "/turn/1", "key1", 2500, self.record))
            await asyncio.sleep(0.01)
        ran = {run["id"]: server.service for server in self.place.servers for run in server.runs}
        sent = [f"q{one}" for one in range(first, self.count + 1)]
        return [ran[ident] for ident in sent if ident in ran]


async def main(record):
    async with p.Deployment(record, 1) as place:
        await place.store.put("config", "main", config(3, SPLIT))
        for service in ("stable", "canary"):
            for number in range(SERVERS):
                server = p.PlainServer(f"i-{service}-{number}", service, place.store, record)
                await server.start()
                place.servers.append(server)
        await place.add_nodes(NODES)
        callers = Callers(place, record)

        async def change(version, weights):
            """The operator's change; returns when it is in force at all machines in touch."""
            if TROUBLE:
                await place.store.put("config", "main", config(version, weights))
                record(f"operator: version {version} is acknowledged: weights {weights}")
            await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S + 1)

        before = await callers.send(FIRST * NODES)
        await change(7, SAME_SPLIT)
        same = await callers.send(LATER)
        await change(11, CANARY_OUT)
        out = await callers.send(LATER)

        total = FIRST * NODES + 2 * LATER
        if not place.alive() or callers.statuses.count(200) != total:
            record(f"could not run: {callers.statuses.count(200)} of {total} answers are 200")
            return 2
        due = SAME_SPLIT[1] / sum(SAME_SPLIT)
        shares = [same[at:at + WINDOW].count("canary") / WINDOW
                  for at in range(len(same) - WINDOW + 1)]
        share_off = max(abs(share - due) for share in shares)
        stray = out.count("canary") if TROUBLE else 0
        record(f"first split: canary ran {before.count('canary')} of {len(before)}")
        record(f"after the first change: canary ran {same.count('canary')} of {len(same)}; in "
               f"{WINDOW} requests in a row its share lies up to {share_off:.3f} off its weight's, "
               f"{due:.3f}; {OFF} is allowed")
        record(f"after the second change: canary ran {out.count('canary')} of {len(out)}; "
               f"{stray} of them by an older version's weights alone; none is allowed")
        return 1 if share_off > OFF or stray > 0 else 0


p.run_case(main, os.path.join(HERE, "record.txt"))
