"""What must hold after a run, from what callers and backend servers have seen."""

from __future__ import annotations

import collections
import json

from platformworld.calls import check_unchecked_calls
from platformworld.leaving import LeavingJudge
from platformworld.texts import parse_event, software_of
from platformworld.world import World, eventually
from soak.callers import LOST_SECONDS, OrderCaller, TalkCaller, Trainer
from soak.soakworld import SoakWorld

#: Service must be back this long after the last fault, in seconds; from the users' pages.
RECOVER_SECONDS = 12
MOST_FAILURES = 3
#: LOST counts from so many streams that are taken up, and asks for this part of the share of new streams that begin.
LEAST_TAKE_UPS = 12
TAKE_UP_PART = 0.5
#: Only take-ups are counted for which so many servers of their software version serve.
SERVERS_OF_VERSION = 2


def check_orders(world: SoakWorld, caller: OrderCaller, planned_only: bool) -> list[str]:
    found = []
    runs = collections.Counter(run["id"] for server in world.plains for run in server.requests)
    if caller.path == "/once/":
        found += [f"TWICE: {request} ran {runs[request]} times" for request in caller.sent if runs[request] > 1]
        found += [f"REFUSED: {request} was said not to have run and ran" for request in caller.not_run
                  if runs[request] > 0]
    if planned_only:
        found += [f"LOST: {request} ran and was cut off after {cut.waited:.2f} s: {cut}"
                  for request, cut in caller.cut.items() if runs[request] > 0]
        found += [f"LOST: {request} was cut off after {cut.waited:.2f} s: {cut}"
                  for request, cut in caller.cut.items() if runs[request] == 0 and cut.waited > LOST_SECONDS]
    return found


def check_results(world: SoakWorld, trainer: Trainer) -> list[str]:
    found = []
    failures = collections.Counter()
    for engine in world.engines:
        failures.update(engine.failures)
    by_batch: dict[str, list[dict]] = collections.defaultdict(list)
    for (batch, _), result in sorted(trainer.positions.items()):
        by_batch[batch].append(result)
    for batch, results in by_batch.items():
        names = [result["id"] for result in results]
        if len(set(names)) != len(names):
            found.append(f"TWICE: an item stands at two positions of {batch}")
        if not set(names) <= set(trainer.items_of(batch)):
            found.append(f"MIXED: {batch} names an item that is not its own")
        for result in results:
            found += check_result(batch, result, trainer.accepted[batch]["min_version"],
                                  batch in trainer.ended, failures[result["id"]])
    return found


def check_result(batch: str, result: dict, min_version: int, ended: bool, failures: int) -> list[str]:
    item = result["id"]
    if result["state"] == "lost":
        return [] if ended or failures >= MOST_FAILURES else [f"MIXED: {item} of {batch} was given up too early"]
    lines = result["text"].split("\n")
    events = [parse_event(line) for line in lines]
    if [(event.item, event.number) for event in events] != [(item, n) for n in range(1, Trainer.EVENTS + 1)]:
        return [f"ORDER: the text of {item} is {lines}"]
    if len(software_of(lines)) > 1:
        return [f"ORDER: the text of {item} is joined from software versions {sorted(software_of(lines))}"]
    made_by = sorted({event.weights for event in events})
    if made_by != sorted(result["versions"]) or made_by[0] < min_version:
        return [f"VERSION: {item} names {result['versions']}, was made by {made_by}, asked for {min_version}"]
    return []


def check_runs(world: SoakWorld, orders: list[OrderCaller | TalkCaller], trainers: list[Trainer]) -> list[str]:
    """Nothing runs that nobody asked for, nothing for another workspace, no key reaches a server."""
    found = []
    asked = set().union(*(caller.sent for caller in orders), *(trainer.submitted_items for trainer in trainers))
    refused = {item for trainer in trainers for batch in trainer.refused for item in trainer.items_of(batch)}
    for server in world.plains + world.engines:
        for run in server.requests:
            if run["id"] not in asked and not run["id"].startswith("probe"):
                found.append(f"UNASKED: {run['id']} ran at {server.name}")
            if run["id"] in refused:
                found.append(f"REFUSED: {run['id']} ran, though its batch was refused at every attempt")
            if run["headers"].get("x-tenant") != "amend" or "authorization" in run["headers"]:
                found.append(f"UNASKED: {run['id']} ran for {run['headers'].get('x-tenant')}")
    return found


def check_limits(world: SoakWorld, callers: list[OrderCaller | TalkCaller]) -> list[str]:
    """LIMIT, over the machines that were in touch when they sent. Items are sent by a machine that is not known here."""
    machines = {request: address.split(":")[0] for caller in callers for request, address in caller.sent_to.items()}
    names = {node.ip: node.name for node in world.nodes}

    def counts(at: float, request: str) -> bool:
        return world.in_touch(at, names.get(machines.get(request, "")))
    return [line for server in world.plains + world.engines for line in server.limits.violations(server.label, counts)]


def check_leaving(world: SoakWorld, callers: list[OrderCaller]) -> list[str]:
    names = {node.ip: node.name for node in world.nodes}
    judge = LeavingJudge([server.leave_history for server in world.plains], world.restarts)
    for caller in callers:
        machines = {request: names.get(address.split(":")[0], "") for request, address in caller.sent_to.items()}
        for request, machine in machines.items():
            judge.note_sent(request, machine, caller.sent_at[request])
        for request, at in caller.told:
            judge.note_answer(request, machines[request], at)
    return judge.violations()


def check_talks(world: SoakWorld, callers: list[TalkCaller]) -> list[str]:
    """ORDER and LOST of streams, over all their tries."""
    found = []
    talks = [talk for caller in callers for talk in caller.talks]
    for talk in talks:
        events = [parse_event(line) for line in talk.events]
        if [event.number for event in events] != list(range(1, len(events) + 1)):
            found.append(f"ORDER: the stream begun as {talk.first_request} is {talk.events}")
        if len(software_of(talk.events)) > 1:
            found.append(f"ORDER: the stream begun as {talk.first_request} is joined from software versions"
                         f" {sorted(software_of(talk.events))}")
    asked = sum(caller.asked for caller in callers)
    counted = [went_on for talk in talks for at, software, went_on in talk.take_ups
               if world.in_touch(at, None) and world.servers_of(software, at) >= SERVERS_OF_VERSION]
    share = sum(counted) / len(counted) if counted else 1.0
    if len(counted) >= LEAST_TAKE_UPS and share < TAKE_UP_PART * len(talks) / asked:
        found.append(f"LOST: {sum(counted)} of {len(counted)} streams that were taken up went on; {len(talks)} of"
                     f" {asked} new ones began")
    return found


def check_duties(world: SoakWorld) -> list[str]:
    found = []
    figures: dict[int, dict] = {}
    for _, window, counts in world.usage:
        if figures.setdefault(window, counts) != counts:
            found.append(f"ONE: window {window} was reported as {figures[window]} and as {counts}")
    if not world.peers_check_fences:
        found += check_unchecked_calls("the platform", world.usage_holders)
        for engine in world.engines:
            found += check_unchecked_calls(engine.name, engine.holders)
    holders: dict[int, str] = {}
    for _, fence, holder in world.usage_holders + [call for engine in world.engines for call in engine.holders]:
        if holders.setdefault(fence, holder) != holder:
            found.append(f"ONE: {holders[fence]} and {holder} both used the fencing number {fence}")
    for engine in world.engines:
        for orders in [*engine.past_orders, engine.orders]:
            fences = [order["fencing_token"] for order in orders]
            if fences != sorted(fences):
                found.append(f"ONE: {engine.name} carried out orders under {fences}")
    return found


def check_recovery(world: SoakWorld) -> list[str]:
    found = []
    number = 0
    for node in world.nodes:
        def serves() -> bool:
            nonlocal number
            number += 1
            try:
                return node.ready() and node.call("POST", f"/orders/{number}", b"probe", timeout=2,
                                                  headers={"X-Request-Id": f"probe-{number}"})[0] == 200
            except OSError:
                return False
        try:
            eventually(serves, RECOVER_SECONDS, "serves again")
        except AssertionError:
            found.append(f"RECOVER: {node.name} does not serve {RECOVER_SECONDS} s after the last fault")
            continue
        for _, key in world.withdrawn_keys:
            status = node.call("POST", "/orders/1", b"probe", key=key, headers={"X-Request-Id": "probe-key"})[0]
            if status != 401:
                found.append(f"CONFIG: {node.name} answers {status} to a key that was withdrawn")
    return found


def check_open_batches(world: World, trainer: Trainer) -> list[str]:
    """What was accepted and not ended is served whole, and alike at every machine."""
    found = []
    for batch in [name for name in trainer.accepted if name not in trainer.ended]:
        views = []
        for node in world.nodes:
            try:
                results = world.wait_results(node, batch, trainer.GROUPS * trainer.GROUP_SIZE, RECOVER_SECONDS)
            except AssertionError as error:
                found.append(f"LOST: {node.name}: {error}")
                continue
            views.append(json.dumps(results))
            trainer.take(batch, 0, {"total": len(results), "next_token": len(results), "results": results})
        if len(set(views)) > 1:
            found.append(f"TWICE: machines give different results of {batch}")
    return found
