"""A service is taken out of the configuration while its non-idempotent requests run."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import platform_standins as platform  # noqa: E402

WORK_S = 0.4
REQUESTS = 12
PROMISES = (408, 421, 429, 503)


async def case(fleet, trouble):
    route, config = platform.route, platform.config
    sheet = route("sheet", "/sheet/", "safe", "rounds")
    before = config(1, [sheet, route("pickup", "/pickup/", "non_idempotent", "ledger")], ["ledger", "rounds"])
    # The route moves to another service, and the service that no route names any more goes with it.
    after = config(3, [sheet, route("pickup", "/pickup/", "non_idempotent", "rounds")], ["rounds"])
    await fleet.start(["ledger", "rounds", "ledger", "rounds"], before, WORK_S)
    ids = [f"pickup-{number}" for number in range(REQUESTS)]
    sends = [asyncio.create_task(platform.request(
        fleet, fleet.machines[number % 4], "POST", "/pickup/1", ident, 1200, b"litres=40"))
        for number, ident in enumerate(ids)]
    await asyncio.sleep(WORK_S / 4)
    if trouble:
        fleet.store.write("op/config", after)
        fleet.record.line("config    version 3 acknowledged: route pickup goes to rounds, no service ledger")
    answers = await asyncio.gather(*sends)
    await asyncio.sleep(1)
    broken = []
    for ident, (status, headers, _) in zip(ids, answers):
        runs = fleet.runs(ident)
        if status in PROMISES and runs:
            broken.append(f"REFUSED id={ident} was answered {status} and ran at {runs}")
        if len(runs) > 1:
            broken.append(f"TWICE id={ident} ran at {runs}")
    if not trouble and any(status != 200 for status, _, _ in answers):
        raise platform.CannotRun("not every request was served without the disruption")
    return broken


platform.main(case, HERE)
