"""An evacuation order that the operator has replaced by a newer one is applied late."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from harness import *  # noqa: E402,F403

CUT_S = 2.0
ZONES = {"east-a": "east", "east-b": "east"}
HOST, PATH, SERVICE = "desk.example", "/status/", "desk"

CONFIG = {
    "version": 3,
    "routes": [{"name": "status", "host": HOST, "pathPrefix": PATH, "kind": "safe",
                "timeoutMs": 2500, "targetLatencyMs": 300, "priority": 0, "service": SERVICE,
                "maxAttempts": 2, "sticky": False, "resumable": False, "homeRegions": []}],
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                  "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


def start_core(block, workspace, processes):
    """Starts three core machines. The second and the third are reached over links that can be
    cut, so one of these has to lead: the first, which founds the log and leads first, is
    restarted once before anything is configured."""
    seeds = [f"{block}.11", f"{block}.22", f"{block}.23"]
    own = [f"{block}.11", f"{block}.32", f"{block}.33"]
    names = ["core-east-a-1", "core-east-b-2", "core-east-a-3"]
    listen = {"control": CONTROL_PORT, "directory": DIRECTORY_PORT}
    controls = []
    for name, ip in zip(names, own):
        zone = "east-b" if "-b-" in name else "east-a"
        text = settings(name, ip, zone, "east", seeds, ZONES, listen, disk=True)
        controls.append(Process(name, "control", workspace, text))
    links = [None] + [PeerLink(seed, ip) for seed, ip in zip(seeds[1:], own[1:])]
    for control in controls:
        processes.append(control)
        control.start()
    wait_for_leader(controls, names)
    time.sleep(1.5)
    controls[0].restart(signal.SIGTERM, pause=3.0)
    leader = names.index(wait_for_leader(controls, names[1:]))
    time.sleep(2.0)
    return seeds, own, names, controls, links, leader


def wait_for_leader(controls, names):
    deadline = time.monotonic() + 8
    while time.monotonic() < deadline:
        leader = leader_of(controls)
        if leader in names:
            return leader
        time.sleep(0.1)
    raise Unrunnable(f"none of {names} leads")


def case(record, workspace, trouble, processes):
    block = free_block()
    core = start_core(block, workspace, processes)
    seeds, own, names, controls, links, leader = core
    follower = 3 - leader
    record.note(f"{names[leader]} leads; {names[follower]} and {names[0]} follow")
    operator = Operator(record, own)
    operator.order("PUT", "/config", json.dumps(CONFIG))

    fronts = [f"{block}.61", f"{block}.62"]
    for index, ip in enumerate(fronts):
        zone = ["east-a", "east-b"][index]
        listen = {"front": FRONT_PORT, "ready": READY_PORT}
        text = settings(f"edge-{zone}-{index + 1}", ip, zone, "east", seeds, ZONES, listen)
        gateway = Process(f"edge-{zone}-{index + 1}", "gateway", workspace, text)
        processes.append(gateway)
        gateway.start()
    engines = [Engine(record, f"{block}.63", "east-a", SERVICE, own),
               Engine(record, f"{block}.64", "east-b", SERVICE, own)]
    time.sleep(3)
    clients = Clients(record, fronts, HOST, PATH + "1", per_s=60)
    time.sleep(3)
    if not all(engine.runs for engine in engines):
        raise Unrunnable("not every engine got requests before the first order")

    operator.order("POST", "/evacuations/east-b")
    time.sleep(6.5)
    evacuated = [at for at, _ in engines[1].runs if at > record.now() - 1]
    if evacuated:
        raise Unrunnable("the first evacuation was not obeyed")

    # The follower is partitioned from the other core machines for CUT_S.
    cut_at = record.now()
    if trouble:
        record.note(f"{names[follower]} is cut off from the other core machines")
        links[leader].cut([names[follower]])
        links[follower].cut([names[leader], names[0]])
    time.sleep(0.1)
    # The operator takes the evacuation back, and then evacuates the zone again.
    operator.order("DELETE", "/evacuations/east-b", first=own[follower])
    acknowledged = operator.order("POST", "/evacuations/east-b", first=own[0])
    record.note("the operator has its acknowledgement that east-b is evacuated")
    time.sleep(max(0.0, cut_at + CUT_S - record.now()))
    if trouble and acknowledged > cut_at + CUT_S - 0.05:
        raise Unrunnable("the orders were not acknowledged during the cut")
    if trouble:
        record.note(f"{names[follower]} is joined again")
    for link in links[1:]:
        link.join()
    joined = record.now()

    time.sleep(STABILITY_S + 1 + EVACUATE_S + 4)
    clients.stop()
    # Gateways ran and were connected all the while; the core is stable STABILITY_S after the
    # join. One second more is given.
    judged = max(acknowledged + EVACUATE_S, joined + STABILITY_S) + 1.0
    late = [(at, request) for at, request in engines[1].runs if at > judged]
    late = [(at, request) for at, request in late if clients.sent.get(request, (0,))[0] > judged]
    ok = sum(1 for at, status in clients.statuses if at > judged and status == 200)
    record.note(f"after {judged:.3f}: {ok} requests answered 200, {len(late)} of them run in east-b")
    if ok < 20:
        raise Unrunnable("too few requests were served at the end")
    if not late:
        return []
    return [f"EVAC: {len(late)} requests reach the engine in east-b from {late[0][0] - acknowledged:.1f} s "
            f"to {late[-1][0] - acknowledged:.1f} s after the evacuation was acknowledged"]


run_case(HERE, case)
