"""The service is back in the next version, and the node of one of its servers is killed: requests run twice."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import platform_standins as platform  # noqa: E402

WORK_S = 1.0
DEADLINE_MS = 3000
REQUESTS = 12
GAP_S = 0.33


async def case(fleet, trouble):
    route, config = platform.route, platform.config
    sheet = route("sheet", "/sheet/", "safe", "rounds", 3000)
    pickup = route("pickup", "/pickup/", "non_idempotent", "ledger", 3000)
    whole = [sheet, pickup], ["ledger", "rounds"]
    await fleet.start(["rounds", "ledger", "ledger"], config(1, *whole), WORK_S)
    # A server is added later, whose machine comes first by name.
    added = platform.Machine(fleet, "sidecar-kranj-3", "kranj", "ledger", "i-03", WORK_S)
    await added.server.start()
    fleet.machines.append(added)
    added.start_node()
    await fleet.until(fleet.all_ready, 20)
    await asyncio.sleep(4)
    ids = [f"pickup-{number}" for number in range(REQUESTS)]
    sends = [asyncio.create_task(platform.request(
        fleet, fleet.machines[0], "POST", "/pickup/1", ident, DEADLINE_MS, b"litres=40")) for ident in ids]
    await asyncio.sleep(0.1)
    if trouble:
        fleet.store.write("op/config", config(3, [sheet], ["rounds"]))
        fleet.record.line("config    version 3 acknowledged: without the route pickup and the service ledger")
        await asyncio.sleep(GAP_S)
        fleet.store.write("op/config", config(5, *whole))
        fleet.record.line("config    version 5 acknowledged: as version 1")
        await asyncio.sleep(GAP_S)
        # The machine in skofja, whose server goes on.
        next(machine for machine in fleet.machines if machine.zone == "skofja").kill()
    answers = await asyncio.gather(*sends)
    await asyncio.sleep(1)
    fleet.record.line(f"statuses  {dict(Counter(status for status, _, _ in answers))}")
    if not trouble and any(status != 200 for status, _, _ in answers):
        raise platform.CannotRun("not every request was served without the disruption")
    return [f"TWICE id={ident} ran at {fleet.runs(ident)}" for ident in ids if len(fleet.runs(ident)) > 1]


platform.main(case, HERE, "record-twice.txt")
