"""A host is stopped while clients have sent a further safe request."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))
from stand_ins import *  # noqa: E402,F403

# What each client sends on its connection: the second request is `safe`.
PAIRS = [
    [("POST", "/match/photo"), ("POST", "/match/photo")],
    [("POST", "/match/photo"), ("POST", "/match/photo")],
    [("POST", "/cert/new"), ("GET", "/match/7")],
    [("POST", "/cert/new"), ("GET", "/match/7")],
]
WORK_S = 1.0
GRACE_S = 6


async def case(record, work):
    system = System(record, work)
    try:
        hosts = await system.start("/match/", "safe", "beeldcheck", WORK_S, 2)
        await system.add_upstreams("certificaat", ZONES, WORK_S)
        routes = {
            "r-1": route(HOST_NAME, "/match/", "safe", "beeldcheck"),
            "r-2": route(HOST_NAME, "/cert/", "unsafe", "certificaat"),
        }
        system.store.put(
            "config", "main", configuration(4, routes, ["beeldcheck", "certificaat"])
        )
        addresses = await hosts[0].resolve("nl-west-a")
        if not addresses:
            raise CannotRun("no address to connect to")
        stopped = next(host for host in hosts if host.ip == addresses[0][0])
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)

        async def client(pair):
            """Sends two requests, one behind the other, and reads the answers."""
            connection = Connection(record, addresses[0])
            await connection.open()
            sent = [
                await connection.send(
                    method, path, HOST_NAME, 5000, b"x" * 900 if method == "POST" else b""
                )
                for method, path in pair
            ]
            answers = [await connection.receive(attempt, 5) for attempt in sent]
            connection.close()
            return answers

        clients = [asyncio.create_task(client(pair)) for pair in PAIRS]
        await asyncio.sleep(0.4)
        if has_trouble():
            stopped.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(stopped.process.wait(), GRACE_S)
                record.say(f"{stopped.name} has ended after SIGTERM")
            except asyncio.TimeoutError:
                stopped.signal(signal.SIGKILL)
        results = await asyncio.gather(*clients)

        lost = closed_without_answer(system, [a for both in results for a in both])
        served = sum(1 for answers in results for answer in answers if answer.is_whole)
        record.say(
            f"{2 * len(PAIRS)} requests, {served} answered with the whole body,"
            f" {len(lost)} passed on to an upstream and ended without an answer"
        )
        # LOST: one such request around planned work breaks the rule.
        return BROKEN if lost else HELD
    finally:
        await system.close()


run_case(FOLDER, case)
