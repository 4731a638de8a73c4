"""Minimal asyncio HTTP server for the stand-ins, based on h11.

A handler that returns ``None`` makes the server abort the connection. A handler is
cancelled when the client closes its connection before the response is complete.
"""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11


class Request(NamedTuple):
    method: str
    path: str
    fields: list[tuple[bytes, bytes]]
    body: bytes
    writer: asyncio.StreamWriter


class Response(NamedTuple):
    status: int
    body: bytes
    fields: list[tuple[bytes, bytes]] = []  # noqa: RUF012


Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(value, status: int = 200) -> Response:
    return Response(status, json.dumps(value).encode())


async def _read_request(reader, connection) -> tuple[h11.Request, bytes] | None:
    head, body = None, []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return head, b"".join(body)
        else:
            return None


async def _serve_connection(handler: Handler, reader, writer) -> None:
    connection = h11.Connection(h11.SERVER)
    with contextlib.suppress(ConnectionError, h11.RemoteProtocolError):
        while True:
            got = await _read_request(reader, connection)
            if got is None:
                break
            head, body = got
            request = Request(
                head.method.decode(),
                head.target.decode(),
                list(head.headers),
                body,
                writer,
            )
            work = asyncio.ensure_future(handler(request))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                if gone.exception() or gone.result() == b"":
                    work.cancel()
                    break
                connection.receive_data(gone.result())
                await work
            elif gone.done() and not gone.exception() and gone.result():
                connection.receive_data(gone.result())
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await gone
            response = work.result()
            if response is None:
                writer.transport.abort()
                return
            fields = [*response.fields, (b"content-length", b"%d" % len(response.body))]
            reply = h11.Response(status_code=response.status, headers=fields)
            data = connection.send(reply)
            if request.method != "HEAD":
                data += connection.send(h11.Data(data=response.body))
            data += connection.send(h11.EndOfMessage())
            writer.write(data)
            await writer.drain()
            if connection.our_state is not h11.DONE:
                break
            connection.start_next_cycle()
    writer.close()


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    async def on_connection(reader, writer):
        await _serve_connection(handler, reader, writer)

    return await asyncio.start_server(on_connection, host, port, backlog=512)
