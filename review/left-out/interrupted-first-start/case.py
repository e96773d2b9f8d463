"""A process that serves control is killed while the system starts for the first time."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / 'harness'))

from cases import main  # noqa: E402
from standins import Clients, Operator, PlainServer, document  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# When the process is killed, after the start of the machines.
KILL_AFTER_S = float(os.environ.get('KILL_AFTER_S', '0.15'))
# The platform starts a process that ended again after a short delay.
RESTART_DELAY_S = 1.0
# For how long the operator tries, and clients send.
TRIED_S = 45.0


async def play(record, fleet):
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a')):
        fleet.add(f'core-{number}', 'replica', zone)
    for number, zone in enumerate(('north-a', 'middle-a', 'south-a')):
        fleet.add(f'front-{number}', 'entry', zone)
    servers = [
        PlainServer(fleet, record, 'plain', fleet.new_ip(), zone)
        for zone in ('north-a', 'middle-a', 'south-a')
    ]
    for server in servers:
        await server.start()
    fleet.start()
    record('all machines are started; first_start is true')
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        victim = fleet.machines['core-0']
        victim.kill()
        record('core-0 is killed; its disk is kept')
        await asyncio.sleep(RESTART_DELAY_S)
        victim.start(first_start=False)
        record('core-0 is started again; first_start is false')
    operator = Operator(fleet, record)
    clients = Clients(fleet, record)
    tasks = [asyncio.create_task(clients.watch_ready())]
    put = asyncio.create_task(operator.order('POST', '/v1/Config.Put', document(1), TRIED_S))
    if not TROUBLE:
        await put
        await asyncio.sleep(3)
    tasks.append(asyncio.create_task(clients.press(['r'], 5)))
    if TROUBLE:
        await put
    await asyncio.sleep(10)
    answer = put.result()
    await clients.stop()
    for task in tasks:
        task.cancel()
    served, sent = clients.share(0, record.now())
    record('configuration acknowledged', answer is not None and answer[0] == 200, 'served', served, 'of', sent)
    print(f'configuration acknowledged: {answer is not None}; served {served} of {sent} requests')
    if not sent:
        return 2
    return 0 if served else 1


if __name__ == '__main__':
    main(HERE, play)
