"""
Example settings of the deployments in `SHAPES`, generated from their shapes.

`python -m millfork_standins.examples` writes them to `examples/`.

"""

from pathlib import Path
from typing import Any, Final

import yaml

from millfork_standins.deployments import SHAPES, Shape

FOLDER: Final = Path('examples')
NETWORKS: Final = {'lanting': '10.71', 'cedarline': '10.72'}
SECRETS_FOLDER: Final = '/etc/millfork'


def _common_settings(shape: Shape, zone_index: int, host_number: int) -> dict[str, Any]:
    location = shape.zone_locations[zone_index]
    network = NETWORKS[shape.name]
    return {
        'zone': location.zone,
        'region': location.region,
        'address': f'{network}.{zone_index + 1}.{host_number}',
        'fleet_key_file': f'{SECRETS_FOLDER}/fleet_key',
        'replicas': [
            {'instance': f'entry-{n + 1}', 'host': f'{network}.{n + 1}.1'}
            for n in range(shape.disks)
        ],
        'platform': {'host': f'{network}.250.1', 'port': 8500},
        'weights': {
            'origin': {'host': f'{network}.250.2', 'port': 8500},
            'origin_copies': shape.origin_copies,
        },
    }


def build_examples(shape: Shape) -> dict[str, dict[str, Any]]:
    """
    Return the content of each example file by file name: settings of entries with and without
    a disk, settings of endpoints with an engine and with a plain service, and a declaration.

    """
    entry_settings = {'role': 'entry', 'admin_token_file': f'{SECRETS_FOLDER}/admin_token'}
    plain_service = next(iter(shape.plain_services))
    return {
        'entry-with-disk.yaml': {
            'instance': 'entry-1',
            **_common_settings(shape, 0, 1),
            **entry_settings,
            'data_folder': '/var/lib/millfork',
        },
        'entry.yaml': {'instance': 'entry-4', **_common_settings(shape, 0, 2), **entry_settings},
        'endpoint-engine.yaml': {
            'instance': f'{shape.engine_service}-1',
            **_common_settings(shape, 0, 100),
            'role': 'endpoint',
            'data_folder': '/var/lib/millfork',
            'backend': {
                'kind': 'engine',
                'service': shape.engine_service,
                'address': {'host': f'{NETWORKS[shape.name]}.1.100', 'port': 8000},
            },
        },
        'endpoint-plain.yaml': {
            'instance': f'{plain_service}-1',
            **_common_settings(shape, 1, 101),
            'role': 'endpoint',
            'backend': {
                'kind': 'plain',
                'service': plain_service,
                'address': {'host': f'{NETWORKS[shape.name]}.2.101', 'port': 8000},
            },
        },
        'declaration.yaml': {
            'organisation': shape.organisations[0],
            'labels': {f'{shape.engine_service}-1': {'tier': 'canary'}},
            'deployments': {
                'main': {
                    'model': shape.model,
                    'version': 'v1',
                    'adapters': [],
                    'selector': {'service': shape.engine_service},
                },
                'canary': {
                    'model': shape.model,
                    'version': 'v2',
                    'selector': {
                        'tier': 'canary',
                        'zone': [location.zone for location in shape.zone_locations],
                    },
                },
            },
        },
    }


def write_examples(folder: Path) -> None:
    for shape in SHAPES.values():
        target = folder / shape.name
        target.mkdir(parents=True, exist_ok=True)
        for name, content in build_examples(shape).items():
            (target / name).write_text(yaml.safe_dump(content, sort_keys=False))


if __name__ == '__main__':
    write_examples(FOLDER)
