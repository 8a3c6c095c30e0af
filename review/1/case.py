"""An entry of another writer lies in the store: a field of another type."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))
from stand_ins import *  # noqa: E402,F403

CLIENTS = 4  # To each host.
FIRST_WORK_S = 0.3
WORK_S = 2.5
# The zone of the entry is an array in an array, and so on: 200,000 bytes of
# JSON, of the 1,048,576 that `value-bytes` allows.
DEPTH = 100_000


async def case(record, work):
    system = System(record, work)
    keeper = None
    try:
        hosts = await system.start("/cert/", "unsafe", "certificaat", FIRST_WORK_S, 4)
        ends = []
        keeper = asyncio.create_task(keep_running(record, hosts, ends))
        addresses = []
        for zone in ZONES:
            addresses += await hosts[0].resolve(zone) or []
        if not addresses:
            raise CannotRun("no address to connect to")

        kept = await open_used_connections(record, addresses * CLIENTS, pay)
        system.set_work(WORK_S)
        payments = [asyncio.create_task(pay(connection)) for connection in kept]
        await asyncio.sleep(0.5)
        if has_trouble():
            system.store.raw_texts[b"@deep@"] = b"[" * DEPTH + b"]" * DEPTH
            system.store.put(
                "servers",
                "i-0ther000",
                {"service": "certificaat", "address": "127.0.0.1:9", "zone": "@deep@"},
            )
            record.say("the store holds an entry of another writer")
        answers = await asyncio.gather(*payments)
        await asyncio.sleep(6)

        lost = closed_without_answer(system, answers)
        ready = sum([await host.is_ready() for host in hosts])
        record.say(
            f"{len(answers)} requests in flight on kept connections, {len(lost)} passed on"
            f" to an upstream and closed without an answer; processes ended {len(ends)}"
            f" times by themselves; {ready} of {len(hosts)} hosts ready"
        )
        # LOST: more than three times.
        return BROKEN if len(lost) > 3 else HELD
    finally:
        await cancel(keeper)
        await system.close()


run_case(FOLDER, case)
