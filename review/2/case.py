"""A few upstreams spoil a few of their answers: the length that they state."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))
from stand_ins import *  # noqa: E402,F403

CLIENTS = 8  # To each host that serves callers.
WORK_S = 0.3
SPOILED_UPSTREAMS = 3  # Of 12: a share of 0.25.
SPOILED_ANSWERS = 50  # One in 50: 0.02.
FOR_S = 5.0


class SpoilingUpstream(Upstream):
    """Repeats the digits of Content-Length in one of `SPOILED_ANSWERS` answers."""

    is_spoiling = False
    answers = 0

    async def _run(self, request, reader):
        answer = await super()._run(request, reader)
        if not self.is_spoiling or answer is None:
            return answer
        self.answers += 1
        if self.answers % SPOILED_ANSWERS:
            return answer
        head, _, body = answer.partition(b"\r\n\r\n")
        start, _, length = head.rpartition(b"Content-Length: ")
        self.record.say(
            f"{self.id} spoils an answer: Content-Length {(length * 8).decode()}"
        )
        return start + b"Content-Length: " + length * 8 + b"\r\n\r\n" + body


async def case(record, work):
    system = System(record, work, upstream_type=SpoilingUpstream)
    keeper = None
    try:
        hosts = await system.start("/cert/", "unsafe", "certificaat", WORK_S, 4)
        ends = []
        keeper = asyncio.create_task(keep_running(record, hosts, ends))
        addresses = []
        for zone in ZONES:
            addresses += await hosts[0].resolve(zone) or []
        if not addresses:
            raise CannotRun("no address to connect to")
        kept = await open_used_connections(record, addresses * CLIENTS, pay)
        # Their number of answers starts at different values.
        faulty = system.upstreams[:SPOILED_UPSTREAMS]
        for number, upstream in enumerate(faulty):
            upstream.answers = number * SPOILED_ANSWERS // SPOILED_UPSTREAMS
            upstream.is_spoiling = has_trouble()
        end = time.monotonic() + FOR_S
        answers = []

        async def client(connection):
            while time.monotonic() < end:
                try:
                    answer = await pay(connection)
                except ConnectionError:
                    return
                answers.append(answer)
                if answer.status is None or answer.closes:
                    return

        await asyncio.gather(*[client(connection) for connection in kept])
        at_sound = {
            attempt
            for upstream in system.upstreams
            if upstream not in faulty
            for _, attempt in upstream.runs
        }
        lost = [a for a in closed_without_answer(system, answers) if a.attempt in at_sound]
        record.say(
            f"{len(answers)} requests on kept connections, {len(lost)} passed on to a sound"
            f" upstream and closed without an answer; processes ended {len(ends)} times by"
            " themselves"
        )
        # LOST: more than three times.
        return BROKEN if len(lost) > 3 else HELD
    finally:
        await cancel(keeper)
        await system.close()


run_case(FOLDER, case)
