"""The first serving host of a zone is partitioned from the store while a
configuration moves a route to another service."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins"))
from stand_ins import *  # noqa: E402,F403

STALE_S = 3.0  # Reads with `serializable` are seconds old.
CONFIG_APPLY_S = 2.0
CUT_S = 5.5


async def case(record, work):
    system = System(record, work, stale_s=STALE_S)
    try:
        hosts = await system.add_hosts(
            {zone: [f"front-{zone}-{n}" for n in (1, 2)] for zone in ZONES}
        )
        old = await system.add_upstreams("certificaat-a", ZONES, 0.05)
        new = await system.add_upstreams("certificaat-b", ZONES, 0.05)
        services = ["certificaat-a", "certificaat-b"]

        def publish(version, service):
            routes = {"r-1": route(HOST_NAME, "/cert/", "unsafe", service)}
            system.store.put("config", "main", configuration(version, routes, services))

        publish(3, "certificaat-a")
        # The first configuration and the upstreams are there before the hosts
        # start, so that also old reads show them.
        await asyncio.sleep(STALE_S + 0.5)
        await asyncio.gather(*[host.start() for host in hosts])
        if not await system.wait_ready(hosts, 15):
            raise CannotRun("hosts not ready")

        def find_leaders():
            """Returns the hosts that watch the configuration without old data."""
            return [
                host
                for host in hosts
                if not system.store.stale_watches.get((host.name, "config"), True)
            ]

        # The hosts find each other with the second list of hosts, since the
        # first one is as old as all such reads.
        for _ in range(45):
            await asyncio.sleep(1.0)
            if len(find_leaders()) == len(ZONES):
                break
        else:
            raise CannotRun("there is not one leader in each zone")
        await asyncio.sleep(2 * STABLE_WINDOW_S)

        async def change(version, service, cut):
            """Publishes a version; returns the late requests for the old service."""
            if cut:
                system.store.cut.add(cut.name)
                record.say(f"{cut.name} is cut off from the store")
                await asyncio.sleep(1.0)
            # The leader of each zone keeps short watches that accept no old data.
            publish(version, service)
            acknowledged = time.monotonic()
            record.say(f"version {version} is acknowledged: route goes to {service}")
            sent = []

            async def ask(host):
                at = time.monotonic()
                answer = await ask_once(
                    record,
                    (host.ip, host.front),
                    "POST",
                    "/cert/new",
                    HOST_NAME,
                    4000,
                    b"x" * 1200,
                )
                sent.append((host, at - acknowledged, answer))

            asked = []
            while time.monotonic() - acknowledged < CUT_S - 1.5:
                for host in hosts:
                    if host is not cut:
                        asked.append(asyncio.create_task(ask(host)))
                await asyncio.sleep(0.1)
            await asyncio.gather(*asked)
            if cut:
                system.store.cut.discard(cut.name)
                record.say(f"{cut.name} reaches the store again")
            previous = old if service == "certificaat-b" else new
            ran = {attempt for upstream in previous for _, attempt in upstream.runs}
            late = [
                (host, age)
                for host, age, answer in sent
                if age > CONFIG_APPLY_S and answer.attempt in ran
            ]
            for host in hosts:
                ages = [age for other, age in late if other is host]
                if ages:
                    record.say(
                        f"{host.name}: {len(ages)} requests, sent {min(ages):.2f} to"
                        f" {max(ages):.2f} s after the acknowledgement, run by the old"
                        " service"
                    )
            return late

        # With its leader in touch, each zone follows in time.
        late = await change(5, "certificaat-b", None)
        if late:
            raise CannotRun("hosts are late without a disruption")
        await asyncio.sleep(2 * STALE_S)

        leaders = find_leaders()
        record.say("leaders: " + ", ".join(host.name for host in leaders))
        if len(leaders) != len(ZONES):
            raise CannotRun("there is not one leader in each zone")
        late = await change(8, "certificaat-a", leaders[0] if has_trouble() else None)
        return BROKEN if late else HELD
    finally:
        await system.close()


run_case(FOLDER, case)
