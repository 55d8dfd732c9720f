"""The store comes back from a copy some seconds old; a key that the operator withdraws then stays in use."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import TROUBLE, CannotRun, Client, Worker, main, route

MACHINES = [(11, "desk", "ibadan"), (12, "ledger", "ibadan"), (13, "ledger", "ikeja")]
CONFIG_APPLY_S = 2.5
MAX_STRETCH_S = 5
STABILITY_WINDOW_S = 3
AWAY_S = 2
KEPT, WITHDRAWN = "key-of-the-club", "key-that-leaked"


def tenants(*keys):
    return {"club": {"name": "club", "api_keys": list(keys), "priority": 0}}


async def case(mesh):
    record = mesh.record
    await mesh.store.listen(mesh.ip(250), mesh.port("store"))
    services = ["desk", "ledger"]
    routes = {"r-order": route("/order/", "ledger", "non_idempotent", 2)}
    await mesh.put_config(routes, services, tenants(KEPT))
    bounds = {"strict_revocation": "false", "revocation_s": 5}
    for machine, service, zone in MACHINES:
        mesh.write_settings(machine, service, zone, extra=bounds)
        await mesh.start_daemon(machine)
        worker = Worker(
            record,
            machine,
            service,
            *mesh.address(machine, "application"),
            mesh.address(machine, "control"),
            zone,
        )
        await worker.start()
    machines = [machine for machine, _, _ in MACHINES]
    await mesh.wait_ready(machines)
    await asyncio.sleep(4)
    clients = [Client(record, mesh.address(machine, "outbound")) for machine in machines]

    copy = mesh.store.copy()
    await mesh.put_config(routes, services, tenants(KEPT, WITHDRAWN), "(adds a key)")
    await asyncio.sleep(1)
    routes["r-order"]["timeout_s"] = 2.2
    again = await mesh.put_config(routes, services, tenants(KEPT, WITHDRAWN), "(a time-out)")
    await asyncio.sleep(CONFIG_APPLY_S)
    for client in clients:
        _, status, _, _ = await client.send("POST", "/order/1", 2000, fields=[("Key", WITHDRAWN)])
        if status != 200:
            raise CannotRun(f"a request with the new key is answered {status}")
    if TROUBLE:
        record.line(f"the store goes away, for {AWAY_S} s")
        views = await mesh.store.go_down()
        await asyncio.sleep(AWAY_S)
        # The copy holds what was there before the last two versions; what the system wrote since is gone.
        mesh.store.topics = copy
        mesh.store.era += 1
        await mesh.store.come_back(views)
        record.line("the store is back, from a copy that lacks the last two versions")
        offset = mesh.store.append("keyed.op", "config", again)
        record.line(f"the operator writes the newest version again, at offset {offset}")
    await mesh.put_config(routes, services, tenants(KEPT), "(withdraws a key)")
    await asyncio.sleep(max(CONFIG_APPLY_S + MAX_STRETCH_S, STABILITY_WINDOW_S) + 1)

    # CONFIG: a request sent later than config_apply_s after the acknowledgement of a version runs with a dropped key. The
    # store has had no disruption for longer than the bounds with all stretches; the machines have had none at all.
    broken = []
    for round in range(3):
        for machine, client in zip(machines, clients):
            sent = await client.send("POST", f"/order/{round}", 2000, fields=[("Key", WITHDRAWN)])
            if sent[1] == 200:
                text = f"CONFIG: machine {machine} lets {sent[0]} run with a key that was withdrawn"
                broken.append(text)
        await asyncio.sleep(5)
    return broken


main(FOLDER, case)
