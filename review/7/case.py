"""A server leaves with an acknowledgement; every process is killed; a late heartbeat arrives."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'harness'))

from cases import main  # noqa: E402
from standins import Clients, Operator, PlainServer, document  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_S = 2.0
CONTACT_S = 3.0
# How late the last heartbeat before the leave notice arrives.
LATE_S = float(os.environ.get('LATE_S', '6.5'))
# How long the leaving server serves on after the acknowledgement.
SERVES_ON_S = 14.0


async def play(record, fleet):
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a')):
        fleet.add(f'core-{number}', 'replica', zone)
        fleet.add(f'front-{number}', 'entry', zone)
    servers = [
        PlainServer(fleet, record, 'plain', fleet.new_ip(), zone)
        for zone in ('north-a', 'middle-a', 'south-a')
    ]
    leaver = servers[0]
    for server in servers:
        await server.start()
    fleet.start()
    operator = Operator(fleet, record)
    if await operator.put(document(1)) is None:
        return 2
    clients = Clients(fleet, record)
    tasks = [asyncio.create_task(clients.watch_ready())]
    await asyncio.sleep(4)
    tasks.append(asyncio.create_task(clients.press(['r'], 30)))
    await asyncio.sleep(5)
    # The last heartbeat is on its way for LATE_S; then the server says that it leaves.
    leaver.beating = False
    await asyncio.sleep(1.3)
    late = leaver.heartbeat()
    record('heartbeat sent, arrives later', leaver.id, 'seq', late['seq'])
    held_back = [fleet.machines['core-2']]
    leaver.tasks.append(asyncio.create_task(leaver.send_beat(late, LATE_S, held_back)))
    await asyncio.sleep(0.2)
    others = [fleet.machines['core-0'], fleet.machines['core-1']]
    machine = await leaver.send(f'/v1/Instances.Leave/{leaver.id}', {'born': leaver.born}, others)
    if machine is None:
        return 2
    acknowledged = record.now()
    record('leave notice acknowledged by', machine.name)
    back = acknowledged
    if TROUBLE:
        for one in fleet.machines.values():
            one.process.kill()
        for one in fleet.machines.values():
            one.process.wait()
        record('every process is killed')
        await asyncio.sleep(0.8)
        for one in fleet.machines.values():
            one.start()
        back = record.now()
        record('every process is started again')
    await asyncio.sleep(max(acknowledged + SERVES_ON_S - record.now(), 0))
    end = record.now()
    await leaver.end()
    await clients.stop()
    for task in tasks:
        task.cancel()
    # Machines are in touch again two times contact_ms after a fault that took most of the core.
    in_touch = back + 2 * CONTACT_S if TROUBLE else back
    judged = max(acknowledged + DRAIN_S, in_touch)
    wrong = [item for item in leaver.served if judged < item[0] < end]
    after = [item for item in leaver.served if item[0] > acknowledged + DRAIN_S]
    served = clients.share(judged, end)
    record('requests at the leaving server after drain_ms', len(after), 'of these from machines in touch',
           len(wrong), 'first and last', [f'{item[0]:.2f}' for item in (wrong[:1] + wrong[-1:])])
    record('acknowledged at', f'{acknowledged:.2f}', 'judged from', f'{judged:.2f}', 'served since', served)
    print(f'{len(wrong)} requests reached the server that had left, of {served[1]} sent')
    if not served[0]:
        return 2
    return 1 if wrong else 0


if __name__ == '__main__':
    main(HERE, play)
