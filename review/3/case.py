"""A node is killed after it has acknowledged that its server leaves; an earlier heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import platform_standins as platform  # noqa: E402

DRAIN_TIMEOUT_S = 2.0
CONTACT_S = 3.0
LATE_S = 3.0
KILL_AFTER_S = 0.5
DOWN_S = 0.5
SERVES_ON_S = 11.0


async def case(fleet, trouble):
    route, config = platform.route, platform.config
    text = config(1, [route("sheet", "/sheet/", "safe", "rounds"), route("pickup", "/pickup/", "non_idempotent", "ledger")],
                  ["ledger", "rounds"])
    await fleet.start(["rounds", "ledger", "rounds", "ledger"], text, 0.02)
    record = fleet.record
    leaving, entries = fleet.machines[0], [fleet.machines[1], fleet.machines[3]]
    server = leaving.server
    server.beating = False
    await asyncio.sleep(0.2)
    late = server.heartbeat("ready")
    path = f"/api/instances/{server.id}/"
    record.line(f"server    {server.id} sends heartbeat {late['sequence']} (ready); it arrives {LATE_S} s late")
    delivery = asyncio.create_task(server.tell(path + "heartbeat", late, LATE_S))
    await asyncio.sleep(0.3)
    server.leaving = True
    if not await server.tell(path + "deregister", {}):
        raise platform.CannotRun("the deregistration was not acknowledged")
    acknowledged = record.now()
    record.line(f"server    {server.id} has deregistered (acknowledged) and serves on for {SERVES_ON_S} s")
    in_touch = acknowledged

    async def disrupt():
        nonlocal in_touch
        await asyncio.sleep(KILL_AFTER_S)
        leaving.kill()
        await asyncio.sleep(DOWN_S)
        leaving.start_node()
        record.line(f"start     node={leaving.name}")
        # From then on the machine of this node is in touch again.
        in_touch = record.now() + CONTACT_S

    disruption = asyncio.create_task(disrupt()) if trouble else None
    number = 0
    sends = []
    while record.now() < acknowledged + SERVES_ON_S:
        sends.append(asyncio.create_task(platform.request(
            fleet, entries[number % 2], "GET", "/sheet/1", f"sheet-{number}", 800)))
        number += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*sends)
    if disruption:
        await disruption
    record.line(f"server    the late heartbeat was answered: {await delivery}")
    served = sum(status == 200 for status, _, _ in [send.result() for send in sends])
    record.line(f"served    {served} of {number} requests")
    from_s = max(acknowledged + DRAIN_TIMEOUT_S, in_touch)
    reached = sorted(at for runs in server.runs.values() for at in runs if at > from_s)
    if not reached:
        return []
    return [f"DRAIN {len(reached)} requests reached {server.id} {reached[0] - acknowledged:.2f} s to "
            f"{reached[-1] - acknowledged:.2f} s after its leaving was acknowledged, all machines in touch"]


platform.main(case, HERE)
