"""
The last tenant is taken out of the configuration, and its key goes on working.

"""

import os
import sys
import time
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

CONFIG_APPLY_S = 2.0
REQUESTS = 10
OLD_KEY, UNKNOWN_KEY = 'taken7away7key', 'never7held7key'


def document(version, tenants):
    route = {
        'name': 'r',
        'host': 'review.example',
        'path_prefix': '/review/',
        'kind': 'unsafe',
        'timeout_ms': 4000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': False,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': 'app', 'max_conns': 48}],
        'limits': {},
        'tenants': tenants,
    }


class Client:
    def __init__(self, fleet):
        self.fleet = fleet
        self.count = 0

    def send(self, key, entry):
        self.count += 1
        request_id = f'request-{self.count}'
        headers = {
            'Host': 'review.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '4000',
            'Authorization': f'Bearer {key}',
        }
        reply = call(entry, CALLERS_PORT, 'POST', '/review/x', headers, b'filing', 5.0)
        self.fleet.record.write(f'client sent {request_id} key={key} to {entry}: {reply}')
        return request_id, reply


def run(record, trouble):
    fleet = Fleet(record)
    operator, client = Operator(fleet), Client(fleet)
    tenant = {'name': 'only-tenant', 'api_keys': [OLD_KEY], 'priority': 1}
    server = None
    try:
        fleet.start()
        if operator.put(document(1, [tenant]), 20).status != 200:
            raise CannotRun('the first configuration was not taken')
        server = BackEnd(fleet, f'{fleet.net}.31', 'app', 'i-1')
        for entry in fleet.entries:
            wait_until(
                lambda entry=entry: client.send(OLD_KEY, entry)[1].status == 200,
                15,
                'a request served',
            )
        for entry in fleet.entries:
            if client.send(UNKNOWN_KEY, entry)[1].status != 401:
                raise CannotRun('an unknown key was not refused before the change')

        if trouble:
            record.write('the only tenant is taken out of the configuration')
            tenants = []
        else:
            tenants = [{**tenant, 'api_keys': ['a7new7key']}]
        if operator.put(document(2, tenants), 10).status != 200:
            record.write('the change was refused, which is no break of this rule')
            return HELD
        # The rule allows `config_apply_ms` after the acknowledgement; one second more is waited.
        time.sleep(CONFIG_APPLY_S + 1.0)
        sent = [
            client.send(key, entry)[0]
            for _ in range(REQUESTS)
            for key in (OLD_KEY, UNKNOWN_KEY)
            for entry in fleet.entries
        ]
        ran = {request_id for _, request_id, _ in server.runs}
        broken = [request_id for request_id in sent if request_id in ran]
        record.write(f'sent with keys that no tenant holds: {len(sent)}; run: {len(broken)}')
        return BROKEN if broken else HELD
    finally:
        if server is not None:
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
