"""
Stand-ins of the platform: operator, model servers, plain servers, the origin of weights, clients.
They do what PROTOCOL.md says of sound ones, apart from what a case asks of them.
"""

import asyncio
import hashlib
import json
import random
import time
import uuid
from urllib.parse import parse_qs, urlsplit

from web import call, read_message, serve, format_message, Closed

LAYERS, CHUNKS, CHUNK_BYTES = 16, 96, 24576
MODEL = 'daka510000'
KEY = 'jnbanfqasnmgkcuyj8pj'
ENGINE = {
    'slots': 16, 'kv_capacity': 317000, 'kv_token_bytes': 262144, 'link_mbps': 400000.0, 'stride': 5,
    'models': [{'name': MODEL, 'pace': 1.0, 'load_s': 4.0, 'warm_s': 0.3}], 'mb': 149000.0,
    'adapter_slots': 8, 'loads_per_s': 0.0, 'step_ms': 9.27, 'per_seq_ms': 0.0232,
    'context_per_k': 0.0322, 'read_per_s': 20700.0, 'pairs_per_m': 1.18, 'chunk': 2048,
    'report_lag_ms': 200.0, 'loads_at_once': 8, 'delays': [], 'usual': {'prompt': 979, 'answer': 92},
    'layers': LAYERS, 'layer_mb': 4090.0, 'act_bytes': 16384, 'pipe_mbps': 0.0, 'chunks': CHUNKS,
    'chunk_bytes': CHUNK_BYTES,
}


def document(version, origin='', routes=None):
    return {
        'version': version,
        'routes': routes or [
            {'name': 'r-stream', 'host': 'stream.example', 'path_prefix': '/s/', 'kind': 'streaming',
             'timeout_ms': 6000, 'target_latency_ms': 506, 'priority': 1, 'service': 'models',
             'max_attempts': 2, 'public': False, 'sticky': True, 'resumable': True,
             'target_gap_ms': 400},
            {'name': 'r-unsafe', 'host': 'plain.example', 'path_prefix': '/u/', 'kind': 'unsafe',
             'timeout_ms': 1500, 'target_latency_ms': 400, 'priority': 1, 'service': 'plain',
             'max_attempts': 2, 'public': False},
            {'name': 'r-safe', 'host': 'plain.example', 'path_prefix': '/r/', 'kind': 'safe',
             'timeout_ms': 1500, 'target_latency_ms': 400, 'priority': 1, 'service': 'plain',
             'max_attempts': 2, 'public': False},
        ],
        'services': [
            {'name': 'models', 'health_path': '/health', 'max_conns': 264, 'protocol': 'h1',
             'tls': False, 'engine': ENGINE},
            {'name': 'origin', 'origin': origin or '127.0.0.1:1', 'zone': 'middle-a',
             'link_mbps': 7.3, 'max_conns': 48},
            {'name': 'plain', 'health_path': '/health', 'max_conns': 96, 'protocol': 'h1',
             'tls': False},
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
                   'idle_timeout_ms': 15000},
        'tenants': [{'name': 'bozi300', 'api_keys': [KEY], 'priority': 1}],
    }


class Operator:
    """Sends an order to one daemon after another until it gets a clear answer."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def order(self, method, path, body, limit_s=20.0):
        until = time.monotonic() + limit_s
        content = json.dumps(body).encode() if body is not None else b''
        headers = [('Content-Type', 'application/json')]
        pause = 0.1
        while time.monotonic() < until:
            for machine in random.sample(self.fleet.of_role('replica'), len(self.fleet.of_role('replica'))):
                answer = await call(machine.control, method, path, headers, content, 1.0)
                self.record('order', method, path, machine.name, answer and answer[0])
                if answer is not None and answer[0] < 500 and answer[0] not in (408, 429):
                    return answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return None

    async def put(self, config):
        return await self.order('POST', '/v1/Config.Put', config)


class Server:
    """A registered server: heartbeats, health and the checks that all servers make."""

    def __init__(self, fleet, record, service, ip, zone, slots=16):
        self.fleet, self.record = fleet, record
        self.service, self.zone, self.slots = service, zone, slots
        self.address = (ip, fleet.app_port)
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self.beating = True
        self.served = []
        self.tasks = []
        self.listener = None
        # Called with the seq of each heartbeat; returns for how many seconds it is delayed.
        self.delay_of = lambda seq: 0.0

    async def start(self):
        self.listener = await serve(self.address, self.answer)
        self.tasks.append(asyncio.create_task(self.beat()))

    def description(self):
        return {}

    def heartbeat(self):
        self.seq += 1
        return {
            'service': self.service, 'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone, 'version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold_left_ms': 0, 'seq': self.seq, 'born': self.born, **self.description(),
        }

    async def send(self, path, body, machines=None):
        machines = machines or self.fleet.of_role('replica')
        for machine in random.sample(machines, len(machines)):
            answer = await call(machine.control, 'POST', path, [('Content-Type', 'application/json')],
                                json.dumps(body).encode(), 1.0)
            if answer is not None and 200 <= answer[0] < 300:
                return machine
        return None

    async def send_beat(self, body, delay, machines=None):
        if delay:
            await asyncio.sleep(delay)
        machine = await self.send(f'/v1/Instances.Heartbeat/{self.id}', body, machines)
        if delay or body['seq'] < 3:
            self.record('heartbeat', self.id, 'seq', body['seq'], 'state', body['state'],
                        'delayed', delay, 'acknowledged by', machine and machine.name)

    async def beat(self):
        while self.beating:
            body = self.heartbeat()
            self.tasks.append(asyncio.create_task(self.send_beat(body, self.delay_of(body['seq']))))
            await asyncio.sleep(1.2)

    async def answer(self, method, path, headers, body, writer):
        if path == '/health':
            return 200, [('X-Instance-Id', self.id)], b'ok'
        request_id = headers.get('x-request-id', '')
        if not request_id:
            return 400, [('X-Not-Executed', '1')], b''
        echo = [('X-Request-Id', request_id)]
        if headers.get('x-expect-instance', self.id) != self.id:
            return 421, echo, b''
        return await self.run(request_id, path, headers, body, writer, echo)

    def stamp(self):
        return [('X-Server-Stamp', f'{self.id}.{uuid.uuid4().hex[:8]}')]

    async def run(self, request_id, path, headers, body, writer, echo):
        raise NotImplementedError

    async def end(self):
        self.beating = False
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()


class PlainServer(Server):
    """Answers after `work_s` with a JSON body."""

    work_s = 0.02

    async def run(self, request_id, path, headers, body, writer, echo):
        self.served.append((self.record.now(), request_id))
        self.record('run', self.id, request_id, path)
        await asyncio.sleep(self.work_s)
        content = json.dumps({'id': request_id, 'text': 'x' * 200}).encode()
        return 200, [*echo, *self.stamp(), ('Content-Type', 'application/json')], content


class Engine(Server):
    """A model server with layers, a staging area and load orders."""

    def __init__(self, *args, weights, **more):
        super().__init__(*args, **more)
        self.orders = 0
        self.first, self.end_layer, self.version = 0, LAYERS, 1
        self.staged = {index: weights(1, index) for index in range(CHUNKS)}
        self.running = 0
        self.busy = False

    def description(self):
        return {
            'stage': 'both', 'models': [{'name': MODEL, 'version': self.version, 'adapters': []}],
            'layers': {'from': self.first, 'target_version': self.end_layer, 'version': self.version},
        }

    async def answer(self, method, path, headers, body, writer):
        split = urlsplit(path)
        if split.path == '/v1/report':
            report = {'busy': self.busy, 'seq': self.orders, 'queued': 0, 'running': self.running,
                      'kv_used': 0, 'kv_total': 317000, 'handles': 0, 'born': self.born,
                      **self.description()}
            return 200, [('Content-Type', 'application/json')], json.dumps(report).encode()
        if split.path.startswith('/v1/stage-put/'):
            self.staged[int(parse_qs(split.query)['item_count'][0])] = body
            return 200, [], b''
        if split.path.startswith('/v1/stage-get/'):
            data = self.staged.get(int(parse_qs(split.query)['item_count'][0]))
            return (200, [], data) if data is not None else (404, [], b'')
        if split.path == '/v1/order':
            return self.order(json.loads(body))
        return await super().answer(method, path, headers, body, writer)

    def order(self, order):
        self.orders += 1
        self.record('load order', self.id, json.dumps(order))
        self.busy = True
        self.tasks.append(asyncio.create_task(self.load(order)))
        return 202, [], b''

    async def load(self, order):
        while self.running and order.get('manner') != 'preempt':
            await asyncio.sleep(0.01)
        first, end = order.get('from', 0), order.get('target_version', LAYERS)
        if order['version'] != self.version:
            self.first = self.end_layer = 0
        await asyncio.sleep(0.3 * (end - first) / LAYERS)
        self.first, self.end_layer, self.version = first, end, order['version']
        self.busy = False
        self.record('holds', self.id, 'version', self.version, 'layers', first, end)

    async def run(self, request_id, path, headers, body, writer, echo):
        expected = headers.get('x-expect-version')
        if expected is not None and int(expected) != self.version:
            return 421, echo, b''
        if (self.first, self.end_layer) != (0, LAYERS) and 'path' not in headers:
            return 421, echo, b''
        if 'path' in headers:
            return 503, [*echo, ('X-Not-Executed', '1')], b''
        if self.running >= self.slots:
            return 503, [*echo, ('X-Not-Executed', '1')], b''
        self.served.append((self.record.now(), request_id, self.version))
        self.record('run', self.id, request_id, 'version', self.version)
        self.running += 1
        try:
            head = [*echo, *self.stamp(), ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked')]
            lines = ['HTTP/1.1 200 OK', *(f'{name}: {value}' for name, value in head)]
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
            begin = int(headers.get('last-event-id') or 0)
            await asyncio.sleep(0.05)
            for number in range(begin + 1, 11):
                event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(b'0\r\n\r\n')
        finally:
            self.running -= 1
        return None


class Origin:
    """
    The origin of weights. `spoil(kind, version, index, body)` returns what is sent in place of a
    body.
    """

    def __init__(self, fleet, record, ip):
        self.address = (ip, fleet.app_port)
        self.record = record
        self.pieces = {}
        self.spoil = lambda kind, version, index, body: body
        self.sent = {'manifest': 0, 'piece': 0}
        self.writers = set()
        self.listener = None

    def weights(self, version, index):
        if (version, index) not in self.pieces:
            self.pieces[version, index] = random.Random(version * 1000 + index).randbytes(CHUNK_BYTES)
        return self.pieces[version, index]

    async def start(self):
        self.listener = await serve(self.address, self.answer)

    async def end(self):
        """Take no connections any more; open ones are reset."""
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def answer(self, method, path, headers, body, writer):
        self.writers.add(writer)
        split = urlsplit(path)
        query = parse_qs(split.query)
        version = int(query['version'][0])
        if split.path.startswith('/v1/manifest/'):
            self.sent['manifest'] += 1
            digests = [hashlib.sha256(self.weights(version, i)).hexdigest() for i in range(CHUNKS)]
            content = json.dumps({'model': MODEL, 'version': version, 'chunk_bytes': CHUNK_BYTES,
                                  'layers': LAYERS, 'digests': digests}).encode()
            sent = self.spoil('manifest', version, self.sent['manifest'], content)
            self.record('manifest sent', version, 'spoilt' if sent != content else 'sound')
            return 200, [('Content-Type', 'application/json')], sent
        index = int(query['item_count'][0])
        self.sent['piece'] += 1
        return 200, [], self.spoil('piece', version, index, self.weights(version, index))


class Clients:
    """Sends requests at a steady rate to the entries that answer 200 at their ready address."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.ready = []
        self.results = []
        self.tasks = []
        self.running = True

    async def watch_ready(self):
        misses = {}
        while self.running:
            for machine in self.fleet.of_role('entry'):
                answer = await call(machine.ready, 'GET', '/v1/ready', timeout=0.5)
                good = answer is not None and answer[0] == 200
                misses[machine.name] = 0 if good else misses.get(machine.name, 2) + 1
            found = [m for m in self.fleet.of_role('entry') if misses[m.name] < 2]
            self.ready = found or self.fleet.of_role('entry')
            await asyncio.sleep(1.0)

    async def send(self, kind):
        request_id = uuid.uuid4().hex[:16]
        at = self.record.now()
        machine = random.choice(self.ready or self.fleet.of_role('entry'))
        headers = [('X-Request-Id', request_id), ('Authorization', f'Bearer {KEY}')]
        if kind == 'stream':
            headers += [('Host', 'stream.example'), ('X-Model', MODEL), ('X-Token-Count', '200,50'),
                        ('X-Prefix-Hash', f'{uuid.uuid4().hex[:8]}:200'), ('X-Deadline-Ms', '6000')]
            path, limit = f'/s/{request_id}', 6.0
        else:
            headers += [('Host', 'plain.example'), ('X-Deadline-Ms', '1500')]
            path, limit = f'/{kind}/{request_id}', 1.5
        answer = await call(machine.front, 'POST', path, headers, b'{"q":1}', limit)
        status = answer[0] if answer is not None else 0
        ok = status == 200 and 'x-server-stamp' in answer[1]
        if ok and kind == 'stream':
            ok = answer[2].count(b'data:') == 10
        self.results.append((at, kind, machine.name, request_id, status, ok))
        self.record('client', kind, request_id, 'by', machine.name, 'sent', f'{at:.3f}', 'status', status, 'ok', ok)
        return ok

    async def press(self, kinds, per_s):
        while self.running:
            self.tasks.append(asyncio.create_task(self.send(random.choice(kinds))))
            await asyncio.sleep(1 / per_s)

    async def stop(self):
        self.running = False
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def share(self, since, until, kind=None):
        chosen = [r for r in self.results if since <= r[0] < until and kind in (None, r[1])]
        return sum(r[5] for r in chosen), len(chosen)
