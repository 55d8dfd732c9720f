"""A daemon is stopped while its worker drains: it breaks off the requests at which that worker is at work."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from standins import TROUBLE, CannotRun, Client, Worker, main, route

# The clients are on machine 12, whose worker is of the service that they ask for.
MACHINES = [(11, "desk", "depot"), (12, "ledger", "depot"), (13, "ledger", "yard")]
STOPPED = 12
DRAIN_S, GRACE_S = 2, 6
WORK_S = 2.6
ORDERS = 6


async def case(mesh):
    record = mesh.record
    await mesh.store.listen(mesh.ip(250), mesh.port("store"))
    routes = {"r-ticket": route("/ticket/", "ledger", "non_idempotent", 8)}
    await mesh.put_config(routes, ["desk", "ledger"])
    workers = {}
    for machine, service, zone in MACHINES:
        mesh.write_settings(machine, service, zone)
        await mesh.start_daemon(machine)
        worker = Worker(
            record,
            machine,
            service,
            *mesh.address(machine, "application"),
            mesh.address(machine, "control"),
            zone,
        )
        worker.run_s = lambda path: WORK_S if "order" not in path and "warm" not in path else 0.02
        await worker.start()
        workers[machine] = worker
    await mesh.wait_ready([machine for machine, _, _ in MACHINES])
    await asyncio.sleep(4)
    client = Client(record, mesh.address(STOPPED, "outbound"))
    for _ in range(6):
        await client.send("POST", "/ticket/warm", 8000, quiet=True)
    tasks = [asyncio.create_task(client.send("POST", "/ticket/1", 8000)) for _ in range(ORDERS)]
    await asyncio.sleep(0.5)
    worker = workers[STOPPED]
    worker.state = "draining"
    if await worker.beat_once() != 200:
        raise CannotRun("the heartbeat of the draining worker isn't acknowledged")
    record.line(f"worker {STOPPED} drains, which is acknowledged; it goes on with what it has")
    await asyncio.sleep(0.3)
    stopped_at = time.monotonic()
    if not any("warm" not in path for _, _, path in worker.runs):
        raise CannotRun(f"no request runs on machine {STOPPED}")
    if TROUBLE:
        mesh.signal(STOPPED, "SIGTERM")
    answers = await asyncio.gather(*tasks)
    took = time.monotonic() - stopped_at
    await asyncio.sleep(WORK_S)
    if TROUBLE:
        try:
            await asyncio.wait_for(mesh.processes[STOPPED].wait(), GRACE_S)
        except asyncio.TimeoutError:
            pass
        record.line(f"daemon {STOPPED} has ended: {mesh.processes[STOPPED].returncode is not None}")

    # LOST: around a SIGTERM, a request that was passed on to a worker is broken off, and the daemon gives an answer of its
    # own in its place, although the worker is at work and neither the deadline nor the grace period is over.
    ran = {request: machine for machine, worker in workers.items() for request, _, _ in worker.runs}
    broken = []
    for request, status, fields, _ in answers:
        if request in ran and "response-signature" not in fields and took < GRACE_S * 5 / 6:
            text = f"LOST: {request}, at which worker {ran[request]} was at work, was answered {status} by the daemon"
            broken.append(text)
    return broken


main(FOLDER, case)
