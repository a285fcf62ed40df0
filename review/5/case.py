"""The rate of a client account while the two nodes that grant it are cut off."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab-2"))
import lab

BOUNDS = {"config_apply_ms": 2500, "grace_s": 6, "retry_ratio": 0.2, "retry_reserve": 62, "budget_window_s": 10}
HOST = "plates.example"
RATE_PER_S, BURST = 100, 20
# The bounds of the sheet: quotaWindow, quotaOverage and quotaSlack.
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KEY, TENANT = "26tta828m82thhkmgjqn", "hule930"
DEADLINE_MS = 2_000
USUAL_PER_S, HOT_PER_S = 10, 60
# The longest cut of the site file, a share of 0.35 of the nodes; the account is hot for 6.5 s within it.
CUT_S, HOT_AT_S, HOT_S = 12.0, 5.4, 6.5
MASK = (1 << 64) - 1


def config():
    route = {"name": "plate", "host": HOST, "path_prefix": "/plate/", "repeat": "safe", "timeout_ms": 2_000,
             "objective_ms": 500, "priority": 1, "service": "title-desk", "attempts_max": 2, "anonymous": False}
    service = {"name": "title-desk", "health_path": "/health", "connections_max": 1040, "protocol": "h1", "tls": False}
    limits = {"head_max_bytes": 16384, "body_max_bytes": 67108864, "head_timeout_ms": 3000, "idle_timeout_ms": 15000}
    account = {"name": TENANT, "keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST}
    return {"version": 3, "routes": [route], "services": [service], "limits": limits, "accounts": [account]}


def weight(name, vm):
    """Returns the weight by which nodes are ranked for an account (SipHash-1-3 with a zero key)."""
    data = name.encode() + b"\0" + vm.encode()
    v = [0x736F6D6570736575, 0x646F72616E646F6D, 0x6C7967656E657261, 0x7465646279746573]

    def turn(x, bits):
        return ((x << bits) | (x >> (64 - bits))) & MASK

    def mix(rounds):
        for _ in range(rounds):
            v[0] = (v[0] + v[1]) & MASK
            v[1] = turn(v[1], 13) ^ v[0]
            v[0] = turn(v[0], 32)
            v[2] = (v[2] + v[3]) & MASK
            v[3] = turn(v[3], 16) ^ v[2]
            v[0] = (v[0] + v[3]) & MASK
            v[3] = turn(v[3], 21) ^ v[0]
            v[2] = (v[2] + v[1]) & MASK
            v[1] = turn(v[1], 17) ^ v[2]
            v[2] = turn(v[2], 32)

    padded = data + b"\0" * (-(len(data) + 1) % 8) + bytes([len(data) & 255])
    for at in range(0, len(padded), 8):
        word = int.from_bytes(padded[at:at + 8], "little")
        v[3] ^= word
        mix(1)
        v[0] ^= word
    v[2] ^= 0xFF
    mix(3)
    return v[0] ^ v[1] ^ v[2] ^ v[3]


async def main(deployment):
    record = deployment.record
    zones = ["mobile", "jackson", "baton-rouge"] * 2
    await deployment.start([("title-desk", zone, {"slots": 12, "work_s": 0.02}) for zone in zones], config())
    await asyncio.sleep(8)
    ranked = sorted(deployment.nodes, key=lambda node: -weight(TENANT, node.name))
    per_s = [USUAL_PER_S]
    ending = asyncio.Event()
    answers = []
    pending = set()

    async def one(node):
        answers.append((await deployment.request(node, "GET", "/plate/7", HOST, DEADLINE_MS, [("Authorization", f"Bearer {KEY}")]))[1])

    async def clients(node):
        due = time.monotonic()
        while not ending.is_set():
            task = asyncio.create_task(one(node))
            pending.add(task)
            task.add_done_callback(pending.discard)
            due = max(due + 1 / per_s[0], time.monotonic() - 0.2)
            await asyncio.sleep(max(0, due - time.monotonic()))

    sending = [asyncio.create_task(clients(node)) for node in deployment.nodes]
    await asyncio.sleep(3)
    if lab.TROUBLE:
        deployment.cut = {node.ip for node in ranked[:2]}
        record.line(f"cut off: {ranked[0].name} and {ranked[1].name}, each from all others and the store")
    await asyncio.sleep(HOT_AT_S)
    record.line("the account is hot")
    per_s[0] = HOT_PER_S
    await asyncio.sleep(HOT_S)
    per_s[0] = USUAL_PER_S
    await asyncio.sleep(CUT_S - HOT_AT_S - HOT_S)
    deployment.cut = set()
    record.line("the cut has healed")
    await asyncio.sleep(4)
    ending.set()
    await asyncio.gather(*sending, *pending)
    runs = sorted(at for node in deployment.nodes for at, _, _, headers in node.server.runs if headers.get("x-tenant") == TENANT)
    most, first = max((sum(at <= other < at + WINDOW_S for other in runs), at) for at in runs)
    began = record.began
    record.say(f"answers: {answers.count(200)} of 200, {answers.count(429)} of 429, {len(answers)} in all")
    for node in deployment.nodes:
        own = sum(first <= at < first + WINDOW_S for at, *_ in node.server.runs)
        record.say(f"{node.name}: {own} runs in the fullest window")
    record.say(f"at most {most} runs of the account in {WINDOW_S} s, from {first - began:.1f} s on; {ALLOWED:.0f} are allowed")
    return most > ALLOWED


lab.run(FOLDER, main, BOUNDS, with_paths=True)
