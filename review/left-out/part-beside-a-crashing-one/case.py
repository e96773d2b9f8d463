"""A part of prompts crashes servers; do sound prompts with the same first part still begin?"""

import asyncio
import os
import random
import socket
import struct
import sys
import time
import uuid
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / 'harness'))

from cases import main  # noqa: E402
from standins import KEY, LAYERS, MODEL, Clients, Engine, Operator, Origin, document  # noqa: E402
from web import call  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_S = 3.0
# For how long the crashing prompts go on after the third crash.
POISON_S = 9.5
POISON, SHARED, HARMLESS = 'bad0bad0', '5c1e07a2', '91bd3f06'


class CrashingEngine(Engine):
    """Crashes when it begins to write an answer on a prompt with the part POISON."""

    async def run(self, request_id, path, headers, body, writer, echo):
        self.record('sent to', self.id, request_id, headers.get('x-prefix-hash'))
        if POISON in headers.get('x-prefix-hash', '') and (self.first, self.end_layer) == (0, LAYERS):
            await asyncio.sleep(0.03)
            self.record('crash', self.id, request_id)
            self.crashes.append(self.record.now())
            asyncio.create_task(self.crash())
            return None
        return await super().run(request_id, path, headers, body, writer, echo)

    async def answer(self, method, path, headers, body, writer):
        self.writers.add(writer)
        return await super().answer(method, path, headers, body, writer)

    async def crash(self):
        self.beating = False
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        for writer in self.writers:
            sock = writer.get_extra_info('socket')
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            except OSError:
                pass
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(3)
        self.first = self.end_layer = 0
        self.orders = self.running = self.seq = 0
        self.busy = False
        self.born = int(time.time() * 1000)
        self.beating = True
        self.tasks = []
        await self.start()
        self.record('back', self.id)


class Prompts(Clients):
    async def prompt(self, kind):
        request_id = uuid.uuid4().hex[:16]
        at = self.record.now()
        middle = POISON if kind == 'poison' else HARMLESS
        parts = f'{SHARED}:100,{middle}:60,{uuid.uuid4().hex[:8]}:40'
        headers = [('Host', 'stream.example'), ('X-Request-Id', request_id),
                   ('Authorization', f'Bearer {KEY}'), ('X-Model', MODEL), ('X-Token-Count', '200,50'),
                   ('X-Prefix-Hash', parts), ('X-Deadline-Ms', '6000')]
        machine = random.choice(self.ready or self.fleet.of_role('entry'))
        answer = await call(machine.front, 'POST', f'/s/{request_id}', headers, b'{}', 6.0)
        status = answer[0] if answer is not None else 0
        self.results.append((at, kind, machine.name, request_id, status, status == 200))
        self.record('client', kind, request_id, 'by', machine.name, 'sent', f'{at:.3f}', 'status', status)

    async def press_prompts(self, kind, per_s, until):
        while self.record.now() < until:
            self.tasks.append(asyncio.create_task(self.prompt(kind)))
            await asyncio.sleep(1 / per_s)


async def play(record, fleet):
    origin = Origin(fleet, record, fleet.new_ip())
    engines = []
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a')):
        fleet.add(f'core-{number}', 'replica', zone)
        fleet.add(f'front-{number}', 'entry', zone)
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a', 'north-a', 'middle-a', 'south-a')):
        ip = fleet.new_ip()
        fleet.add(f'side-{number}', 'endpoint', zone, ip=ip, app=f'{ip}:{fleet.app_port}', service='models')
        engine = CrashingEngine(fleet, record, 'models', ip, zone, weights=origin.weights)
        engine.crashes, engine.writers = [], set()
        engines.append(engine)
    await origin.start()
    for engine in engines:
        await engine.start()
    fleet.start()
    operator = Operator(fleet, record)
    if await operator.put(document(1, f'{origin.address[0]}:{origin.address[1]}')) is None:
        return 2
    clients = Prompts(fleet, record)
    asyncio.create_task(clients.watch_ready())
    await asyncio.sleep(6)
    start = record.now()
    poison_until = start + POISON_S
    crashing = asyncio.create_task(clients.press_prompts('poison', 1.5, start + 40)) if TROUBLE else None
    while TROUBLE and sum(len(engine.crashes) for engine in engines) < 3:
        if record.now() > start + 10:
            return 2
        await asyncio.sleep(0.02)
    # Sound prompts come half a second after the third crash; the crashing ones end POISON_S after it.
    poison_until = record.now() + POISON_S
    await asyncio.sleep(0.5)
    if crashing is not None:
        asyncio.get_running_loop().call_later(poison_until - record.now(), crashing.cancel)
    end = start + 40
    await clients.press_prompts('sound', 8, end)
    await clients.stop()
    crashes = sorted(at for engine in engines for at in engine.crashes)
    begun = {}
    for engine in engines:
        for item in engine.served:
            begun.setdefault(item[1], item[0])
    last = crashes[min(len(crashes), 5) - 1] if crashes else start
    first, until = last + 2 * CONTACT_S, poison_until
    def share(a, b):
        chosen = [r for r in clients.results if r[1] == 'sound' and a <= r[0] < b]
        return sum(r[3] in begun for r in chosen), len(chosen)
    inside, outside = share(first, until), share(until + 3, end)
    record('crashes', [f'{at:.2f}' for at in crashes], 'judged', f'{first:.2f}-{until:.2f}', 'begun', inside, 'outside', outside)
    print('crashes', len(crashes), 'inside', inside, 'outside', outside)
    if not TROUBLE:
        return 0 if outside[0] * 2 > outside[1] else 2
    if inside[1] < 20 or outside[1] < 20:
        return 2
    return 1 if inside[0] / inside[1] < 0.5 * outside[0] / outside[1] else 0


if __name__ == '__main__':
    main(HERE, play)
