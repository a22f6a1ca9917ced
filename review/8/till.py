"""A plain server: till.py ADDRESS STORE LOG SERVICE.

It registers under servers/ID, writes there every 0.4 s and works 60 ms on each request. On SIGUSR1 it leaves as
servers do that never report `draining`: it removes its entry, goes on serving for drain_ms (2 s) and 0.5 s more,
and exits. All times in LOG are those of the monotonic clock, in seconds.
"""

import asyncio
import http.client
import json
import os
import signal
import sys
import time

ADDRESS, STORE, LOG, SERVICE = sys.argv[1:5]
SERVER_ID = "i-" + ADDRESS.replace(".", "-").replace(":", "-")
DRAIN_S, LONGER_S, WORK_S, BEAT_S = 2.0, 0.5, 0.06, 0.4
entry = {"service": SERVICE, "address": ADDRESS, "zone": "za", "version": "v1", "slots": 6, "state": "ready",
         "cold_remaining_ms": 0, "born": int(time.time() * 1000), "seq_num": 0}
log = open(LOG, "a", buffering=1, encoding="utf-8")
leaving = asyncio.Event()


def call_store(path, body):
    host, port = STORE.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    try:
        connection.request("POST", path, json.dumps(body))
        response = connection.getresponse()
        response.read()
        return response.status
    finally:
        connection.close()


def beat():
    entry["seq_num"] += 1
    call_store("/beat", {"key": "servers/" + SERVER_ID, "entry": entry})


async def serve(reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
            await reader.readexactly(int(fields.get("content-length", 0)))
            request = fields.get("x-request-id", "-")
            log.write(f"came {request} {time.monotonic():.4f}\n")
            extra, body = "", b"paid"
            if fields.get("x-expect-instance", SERVER_ID) != SERVER_ID:
                status, body, extra = "421 Misdirected Request", b"", "X-Not-Executed: 1\r\n"
            else:
                await asyncio.sleep(WORK_S)
                log.write(f"ran {request} {time.monotonic():.4f}\n")
                status, extra = "200 OK", f"X-Server-Seal: {SERVER_ID}.{request}\r\n"
            writer.write(f"HTTP/1.1 {status}\r\nX-Request-Id: {request}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
                         .encode() + body)
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def main():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, leaving.set)
    host, port = ADDRESS.rsplit(":", 1)
    await asyncio.start_server(serve, host, int(port), backlog=256)
    while not leaving.is_set():
        await asyncio.to_thread(beat)
        try:
            await asyncio.wait_for(leaving.wait(), BEAT_S)
        except asyncio.TimeoutError:
            pass
    status = await asyncio.to_thread(call_store, "/v1/kv-txn",
                                     {"expected": [], "puts": [], "remove": ["servers/" + SERVER_ID]})
    log.write(f"gone {status} {time.monotonic():.4f}\n")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    log.write(f"exit 0 {time.monotonic():.4f}\n")
    os._exit(0)


asyncio.run(main())
