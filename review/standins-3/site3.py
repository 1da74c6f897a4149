"""Desired state, submissions and calls of a small deployment like the site pisma-desk."""

import asyncio
import base64
import json
import os
import time

from stage import (
    HOST, MAX_MACHINES, ask, machine_of, read_message, request_bytes, response_bytes,
)

MODEL = "daka510000"
CALL_SERVICE, ENGINE_SERVICE = "wuno96b", "huvo11a"
CALL_PREFIX, STEP_PREFIX = "/lohu930/", "/pufi791/"
CALL_TIMEOUT_S = 1.5
QUEUE_TTL_S = 40.0
ATTEMPTS = 3
MAX_BODY_BYTES = 33554432


def desired_state(version, *, kind="safe", attempts=2):
    """Return a desired state with one route for calls and one for batch submissions."""
    return {
        "version": version,
        "routes": [
            {"name": "r-3d3zji9", "host": HOST, "prefix": CALL_PREFIX, "kind": kind,
             "timeoutMs": int(CALL_TIMEOUT_S * 1000), "sloMs": 191, "prio": 2,
             "svc": CALL_SERVICE, "attempts": attempts},
            {"name": "r-n73hh2b", "host": HOST, "prefix": STEP_PREFIX, "kind": "rollout",
             "timeoutMs": 10000, "sloMs": 400, "prio": 1, "svc": ENGINE_SERVICE,
             "attempts": ATTEMPTS, "queueTtlS": QUEUE_TTL_S, "dueMs": 7500,
             "singleVersion": False, "sticky": True, "resumable": True},
        ],
        "services": [
            {"name": ENGINE_SERVICE, "healthPath": "/healthz", "maxConns": 170,
             "engine": {"batchSlots": 16, "kvCapTokens": 89922, "models": [{"name": MODEL}]}},
            {"name": CALL_SERVICE, "healthPath": "/healthz", "maxConns": 100},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def item_id(step, number):
    return f"{step[:8]}{number:08x}"


def submission(step, count, body_bytes=600):
    """Return the body of a batch submission."""
    items = [
        {"id": item_id(step, number), "path": f"{STEP_PREFIX}3/{number:x}",
         "headers": {"Model": MODEL, "Token-Usage": "540,400",
                     "Prompt-Prefix": f"9c2e41:300,{number:x}:240"},
         "body": base64.b64encode(os.urandom(body_bytes)).decode(), "tokens": 940,
         "group": f"g{number // 4}"}
        for number in range(count)
    ]
    return json.dumps({"trainStep": 0, "model": MODEL, "minVersion": 1,
                       "targetGroups": max(1, count // 4), "requests": items}).encode()


def step_headers(step):
    return (("Host", HOST), ("Attempt-Id", step), ("Content-Type", "application/json"),
            ("Deadline-Ms", "12000"))


async def submit(vm, step, body, timeout_s=12.0):
    """Submit a batch submission once; return the status, or None without an answer."""
    data = request_bytes("POST", f"{STEP_PREFIX}7c41", step_headers(step), body)
    return await status_of(vm, data, timeout_s)


async def status_of(vm, data, timeout_s):
    try:
        answer = await asyncio.wait_for(ask(vm.front, data), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    return None if answer is None else answer.status


async def read_results(vm, step, after=0, timeout_s=3.0):
    """Return a page of results, or None without one."""
    data = request_bytes("GET", f"/lots/{step}?after={after}", (("Host", HOST),))
    try:
        answer = await asyncio.wait_for(ask(vm.front, data), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    return json.loads(answer.body) if answer is not None and answer.status == 200 else None


class Caller:
    """Client that sends a call every so often, on new channels, and notes how each ended."""

    def __init__(self, stage, vm, name, patience_s):
        self.stage, self.vm, self.name, self.patience_s = stage, vm, name, patience_s
        self.calls = []
        self.count = 0

    async def run(self, interval_s):
        while True:
            self.stage.spawn(self.call())
            await asyncio.sleep(interval_s)

    async def call(self):
        self.count += 1
        attempt = f"{self.name}{self.count:08x}"
        headers = (("Host", HOST), ("Attempt-Id", attempt),
                   ("Deadline-Ms", str(int(self.patience_s * 1000))))
        sent = time.monotonic()
        data = request_bytes("POST", f"{CALL_PREFIX}2f", headers, b"x" * 600)
        status = await status_of(self.vm, data, self.patience_s)
        self.calls.append((sent, status, time.monotonic() - sent))
        self.stage.note(f"call {attempt} at {self.vm.name}: {status} "
                        f"after {time.monotonic() - sent:.3f} s")


async def call_on_kept_channel(stage, vm, name, lost):
    """Send calls one after the other on kept channels; note those that end without an answer."""
    host, _, port = vm.front.rpartition(":")
    count, writer = 0, None
    while True:
        count += 1
        attempt = f"{name:08x}{count:08x}"
        headers = (("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"))
        sent, answer = time.monotonic(), None
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("POST", f"{CALL_PREFIX}2f", headers, b"x" * 600))
            answer = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if answer is not None:
            stage.note(f"call {attempt} at {vm.name}: {answer.status}")
            continue
        if writer is not None:
            lost.append(attempt)
            stage.note(f"call {attempt} at {vm.name}: channel closed without an answer "
                       f"after {time.monotonic() - sent:.3f} s")
            writer.close()
            writer = None
        await asyncio.sleep(0.2)


async def serve_other(stage, address, status, received):
    """Serve as a program that is no replica and knows nothing of this protocol."""

    async def handle(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                attempt = message.header("Attempt-Id")
                received.append(attempt)
                stage.note(f"the other writer's server gets {message.method} {message.target} "
                           f"{attempt} with {len(message.body)} bytes from machine "
                           f"{machine_of(writer)}")
                writer.write(response_bytes(status, (("Content-Type", "text/plain"),), b"ok\n"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    for machine in range(MAX_MACHINES + 1):
        await asyncio.start_server(handle, host, int(port) + machine, limit=2**20)
