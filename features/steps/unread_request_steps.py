"""Steps on requests that wait in the socket when their connection is closed."""

from __future__ import annotations

import asyncio
import socket
import time

import behave
import uvloop

from dotterelpath import errors
from dotterelpath.adapters import h11_binder
from dotterelpath.domain import exchange
from dotterelpath.platform import caller_codec
from dotterelpath.ports import frontend
from dotterelpath.tasks import events
from dotterelpath.tasks import front_end
from dotterelpath.tasks import mailbox
from dotterelpath.tasks import messages
from standins import fleet as fleet_harness

IDLE_TIMEOUT_S = 0.4
# Longer than the idle timeout and the interval of its checks.
BUSY_S = front_end.SWEEP_INTERVAL_S + IDLE_TIMEOUT_S
ANSWER_S = 2.0
REQUEST = (
    b"GET /presses/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
    b"Deadline-Ms: 3000\r\n\r\n"
)
NEW_LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}


class Server:
    """A front end, and a gateway that answers each request."""

    def __init__(self):
        self.inbox = mailbox.Mailbox("front end", 1000)
        self.requests = mailbox.Mailbox("gateway", 1000)
        self.port = fleet_harness.free_ports(1)[0]
        limits = frontend.Limits(16384, 65536, 3.0, IDLE_TIMEOUT_S, 10, True)
        self.front = front_end.FrontEnd(
            h11_binder.H11Binder(caller_codec.CallerCodec(), limits),
            "127.0.0.1",
            self.port,
            self.inbox,
            self.requests,
            None,
            mailbox.Mailbox("back ends", 1000),
        )

    async def answer(self):
        """Answers the requests that the front end passes on."""
        response = exchange.Response(200, [], b"done")
        outcome = exchange.Outcome(errors.ResultCode.ANSWERED, "", response)
        while True:
            message = await self.requests.receive()
            if isinstance(message, messages.RequestArrived):
                message.reply_to.force(
                    messages.RequestEnded(message.token, outcome)
                )

    async def serve(self, play):
        """Serves while a script plays, and returns what that returns."""
        await self.front.listen()
        tasks = [
            asyncio.create_task(self.front.run()),
            asyncio.create_task(self.answer()),
        ]
        try:
            return await play(self)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def read_status(caller):
    """Reads the status of an answer; None if the connection ends."""
    try:
        head = caller.recv(65536)
    except OSError:
        return None
    return int(head.split(b" ")[1]) if head else None


@behave.given("a front end on {loop}, and a caller with a {kind} connection")
def step_front_end(context, loop, kind):
    context.loop = NEW_LOOPS[loop]()
    context.is_kept = kind == "kept"
    context.server = Server()


@behave.when(
    "the caller's request arrives while the front end is busy, and {event}"
)
def step_busy(context, event):
    is_stop = event.startswith("a stop")

    async def play(server):
        run = asyncio.get_running_loop().run_in_executor
        caller = None
        if context.is_kept:
            caller = await run(None, connect, server.port)
            caller.sendall(REQUEST)
            assert await run(None, read_status, caller) == 200
        caller = send_to_busy(server, caller, 0.05 if is_stop else BUSY_S)
        if is_stop:
            server.inbox.force(events.DrainBegan())
        return await run(None, read_status, caller)

    try:
        context.status = context.loop.run_until_complete(
            context.server.serve(play)
        )
    finally:
        context.loop.close()


def send_to_busy(server, caller, busy_s):
    """Sends a request, and keeps the loop busy; returns the caller."""
    caller = caller or connect(server.port)
    caller.sendall(REQUEST)
    time.sleep(busy_s)
    return caller


def connect(port):
    """Connects a caller; the kernel accepts it in place of the front end."""
    return socket.create_connection(("127.0.0.1", port), timeout=ANSWER_S)


@behave.then("the caller gets the answer")
def step_gets_answer(context):
    assert context.status == 200, context.status
