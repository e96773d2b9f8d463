"""A minimal HTTP/1.1 client and server on asyncio, for the stand-ins."""

import asyncio


class Closed(Exception):
    pass


async def read_message(reader):
    """Read one message: first line, headers (names in lower case) and body."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = b''
            while size := int((await reader.readline()).split(b';')[0] or b'0', 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b'\r\n')
        else:
            body = await reader.readexactly(int(headers.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Closed from error
    return lines[0], headers, body


def format_message(first_line, headers, body):
    lines = [first_line, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(address, method, path, headers=(), body=b'', timeout=1.0):
    """Send one request on a new connection. Returns status, headers and body; None if it fails."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                sent = [('Host', f'{address[0]}:{address[1]}'), *headers]
                if not any(name.lower() == 'host' for name, _ in headers):
                    headers = sent
                writer.write(format_message(f'{method} {path} HTTP/1.1', headers, body))
                line, answer, content = await read_message(reader)
            finally:
                writer.close()
        return int(line.split()[1]), answer, content
    except (OSError, Closed, TimeoutError, asyncio.LimitOverrunError):
        return None


async def serve(address, handler):
    """
    Serve on an address. `handler(method, path, headers, body, writer)` returns (status, headers,
    body), or None once it has written an answer of its own.
    """

    async def on_connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(' ', 2)
                answer = await handler(method, path, headers, body, writer)
                if answer is not None:
                    status, more, content = answer
                    writer.write(format_message(f'HTTP/1.1 {status} Status', more, content))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, *address, limit=1 << 20)
