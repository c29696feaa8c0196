"""No case (see REPORT.md): a configuration whose list of tenants is empty turns the check of keys off.
Exits with 1 if a revoked key, or one that no configuration ever held, is served."""

import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from platform_standins import (Deployment, PlainServer, call, configuration, plain_service, route,
                               run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# revoke_ms of the sites is 5,000.
REVOKED_S, REQUESTS = 6.0, 20


async def main(record):
    async with Deployment(record, 1) as all_:
        routes = [route("turn", "/turn/", "tavola", kind="unsafe", timeout_ms=2500)]
        services = [plain_service("tavola")]
        tenant = {"name": "t1", "api_keys": ["k1"], "isolated": False}
        await all_.store.put("config", "main", configuration(1, routes, services, [tenant]))
        for number in range(2):
            await PlainServer(f"i-{number}", "tavola", all_.store, record).start()
        await all_.add_nodes(3)
        # With TROUBLE=0 the tenant stays, without a key.
        tenants = [] if TROUBLE else [{**tenant, "api_keys": []}]
        await all_.store.put("config", "main", configuration(2, routes, services, tenants))
        record(f"operator: version 2 is accepted, tenants {tenants}")
        await asyncio.sleep(REVOKED_S)
        statuses = collections.Counter()
        for key in ("k1", "never"):
            for number in range(REQUESTS):
                node = all_.nodes[number % len(all_.nodes)]
                status = await call(node, f"{key}-{number}", "/turn/x", key, 2500, record)
                statuses[key, status] += 1
    print(dict(statuses))
    return 1 if any(status == 200 for _, status in statuses) else 0


run_case(main, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
