"""
Case 2: a faulty server spoils some of its answers, and callers get them as successes.

"""

import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from back_end import BackEnd
from fleet import (
    BROKEN,
    CALLERS_PORT,
    HELD,
    NOT_RUN,
    CannotRun,
    Fleet,
    Operator,
    Record,
    call,
    wait_until,
)

HERE = Path(__file__).resolve().parent

# `garble`: half of the servers spoil 2 in 100 of their answers.
SPOILS_EACH = 50
REQUESTS = 1000
CLIENTS = 4
PATHS = {'POST': '/filing/x', 'GET': '/lookup/x'}


def route(name, prefix, kind):
    return {
        'name': name,
        'host': 'review.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': True,
    }


def document():
    return {
        'version': 1,
        'routes': [
            route('filing', '/filing/', 'unsafe'),
            route('lookup', '/lookup/', 'safe'),
        ],
        'services': [{'name': 'app', 'max_conns': 48}],
        'limits': {},
    }


def send(fleet, number):
    """
    One client request; returns its id, its method and the reply.

    """
    method = 'POST' if number % 2 else 'GET'
    request_id = f'request-{number}'
    headers = {
        'Host': 'review.example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '4000',
    }
    body = b'filing' if method == 'POST' else b''
    entry = fleet.entries[number // 2 % len(fleet.entries)]
    reply = call(entry, CALLERS_PORT, method, PATHS[method], headers, body, 5.0)
    fleet.record.write(f'client sent {method} {request_id} to {entry}: {reply}')
    return request_id, method, reply


def is_broken(request_id, reply):
    """
    Whether a success lacks the server's signature, or isn't the whole body of the server's answer.

    """
    if not 200 <= reply.status < 300:
        return False
    whole = f'answer to {request_id}'.encode()
    return 'x-server-stamp' not in reply.headers or reply.body != whole


def run(record, trouble):
    fleet = Fleet(record)
    operator = Operator(fleet)
    servers = []
    try:
        fleet.start()
        if operator.put(document(), 20).status != 200:
            raise CannotRun('the configuration was not taken')
        servers = [BackEnd(fleet, f'{fleet.net}.3{n}', 'app', f'i-{n}', 0.005) for n in (1, 2)]
        numbers = iter(range(10_000, 20_000))
        for _ in range(2 * len(fleet.entries)):
            wait_until(lambda: send(fleet, next(numbers))[2].status == 200, 15, 'a request served')
        time.sleep(1.5)
        if trouble:
            record.write(f'server i-1 spoils one of {SPOILS_EACH} answers from now on')
            servers[0].spoils_each = SPOILS_EACH
        with ThreadPoolExecutor(CLIENTS) as pool:
            sent = list(pool.map(lambda number: send(fleet, number), range(REQUESTS)))
        broken = [item for item in sent if is_broken(item[0], item[2])]
        for request_id, method, reply in broken:
            record.write(
                f'BROKEN: {method} {request_id} got {reply.status} with '
                f'stamp={reply.headers.get("x-server-stamp")} body={reply.body!r}'
            )
        record.write(f'requests: {len(sent)}; successes without a signature: {len(broken)}')
        return BROKEN if broken else HELD
    finally:
        for server in servers:
            server.end()
        fleet.close()


def main():
    record = Record(HERE / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble={trouble}')
    try:
        code = run(record, trouble)
    except (CannotRun, OSError) as error:
        record.write(f'could not run: {error}')
        code = NOT_RUN
    record.write(f'exit {code}')
    return code


if __name__ == '__main__':
    sys.exit(main())
