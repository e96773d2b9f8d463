"""One spoilt list of digests, then a final fault: are requests served again?"""

import asyncio
import json
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

from cases import main  # noqa: E402
from standins import Clients, Engine, Operator, Origin, document  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECOVER_S = 12.0
MEASURED_S = 14.0


def spoil_one_digit(content):
    """Change one hex digit of one digest, as a spoilt byte in transit does."""
    text = content.decode()
    last = json.loads(text)['digests'][40]
    digit = '0' if last[10] != '0' else '1'
    return text.replace(last, last[:10] + digit + last[11:]).encode()


async def play(record, fleet):
    origin = Origin(fleet, record, fleet.new_ip())
    if TROUBLE:
        origin.spoil = lambda kind, version, number, body: (
            spoil_one_digit(body) if (kind, version, number) == ('manifest', 2, origin.first_of_2) else body
        )
    engines = []
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a')):
        fleet.add(f'core-{number}', 'replica', zone)
        fleet.add(f'front-{number}', 'entry', zone)
        ip = fleet.new_ip()
        fleet.add(f'side-{number}', 'endpoint', zone, ip=ip, app=f'{ip}:{fleet.app_port}', service='models')
        engines.append(Engine(fleet, record, 'models', ip, zone, weights=origin.weights))
    await origin.start()
    for engine in engines:
        await engine.start()
    fleet.start()
    operator = Operator(fleet, record)
    address = f'{origin.address[0]}:{origin.address[1]}'
    if await operator.put(document(1, address)) is None:
        return 2
    clients = Clients(fleet, record)
    tasks = [asyncio.create_task(clients.watch_ready())]
    await asyncio.sleep(6)
    tasks.append(asyncio.create_task(clients.press(['stream'], 12)))
    began = record.now()
    await asyncio.sleep(10)
    origin.first_of_2 = origin.sent['manifest'] + 1
    answer = await operator.order('POST', '/v1/version-put', {'model': 'daka510000', 'version': 2})
    if answer is None or answer[0] != 200:
        return 2
    named = record.now()
    record('version 2 is acknowledged')
    await asyncio.sleep(2)
    # The final fault: right after one more acknowledgement a machine of the core loses its disk.
    if await operator.put(document(2, address)) is None:
        return 2
    fault = record.now()
    victim = fleet.machines['core-0']
    victim.kill()
    for path in sorted((victim.folder / 'data').rglob('*'), reverse=True):
        path.unlink() if path.is_file() else path.rmdir()
    record('final fault: core-0 is killed and loses its disk')
    await asyncio.sleep(1)
    victim.start(first_start=False)
    back = record.now()
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    end = record.now()
    await clients.stop()
    for task in tasks:
        task.cancel()
    before = clients.share(began, fault)
    after = clients.share(back + RECOVER_S, end)
    record('manifests sent', origin.sent['manifest'], 'pieces sent', origin.sent['piece'])
    for engine in engines:
        record('engine', engine.id, 'version', engine.version, 'layers', engine.first, engine.end_layer)
    record('served before the final fault', before, 'after recover_s', after, 'named at', f'{named:.1f}')
    print(f'before {before[0]}/{before[1]}, after {after[0]}/{after[1]}')
    if not before[1] or before[0] * 4 < before[1] or not after[1]:
        return 2
    return 1 if after[0] * 4 < after[1] else 0


if __name__ == '__main__':
    main(HERE, play)
