"""The origin of weights is gone; then every process is killed: are requests served again?"""

import asyncio
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


async def play(record, fleet):
    origin = Origin(fleet, record, fleet.new_ip())
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
    await asyncio.sleep(3)
    answer = await operator.order('POST', '/v1/version-put', {'model': 'daka510000', 'version': 2})
    if answer is None or answer[0] != 200:
        return 2
    await asyncio.sleep(14)
    if any((engine.version, engine.first, engine.end_layer) != (2, 0, 16) for engine in engines):
        record('the engines do not hold version 2')
        return 2
    record('all engines hold version 2 whole')
    if TROUBLE:
        await origin.end()
        record('the origin is gone for good')
    await asyncio.sleep(6)
    # The final fault: every process is killed right after one more acknowledgement.
    if await operator.put(document(2, address)) is None:
        return 2
    fault = record.now()
    for one in fleet.machines.values():
        one.process.kill()
    for one in fleet.machines.values():
        one.process.wait()
    record('final fault: every process is killed')
    await asyncio.sleep(0.8)
    for one in fleet.machines.values():
        one.start()
    back = record.now()
    record('every process is started again')
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    end = record.now()
    await clients.stop()
    for task in tasks:
        task.cancel()
    before = clients.share(began, fault)
    after = clients.share(back + RECOVER_S, end)
    for engine in engines:
        record('engine', engine.id, 'version', engine.version, 'layers', engine.first, engine.end_layer)
    record('served before the final fault', before, 'after recover_s', after)
    print(f'before {before[0]}/{before[1]}, after {after[0]}/{after[1]}')
    if not before[1] or before[0] * 4 < before[1] or not after[1]:
        return 2
    return 1 if after[0] * 4 < after[1] else 0


if __name__ == '__main__':
    main(HERE, play)
