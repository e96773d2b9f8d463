"""
Keys of the replicated state in seeded fleets.

"""

from typing import Final

from millfork_core.ids import Fingerprint, ZoneId

# Key of the operator's document (the configuration), which is stored compressed and with its
# version.
DOCUMENT_KEY: Final = 'document'
# Prefix of the keys that hold the weights version to serve, one key per model.
VERSION_PREFIX: Final = 'weights/'
# Prefix of the keys of quarantined requests and parts of prompts, which are no longer sent to back
# ends. The fingerprint of the request or part follows the prefix.
QUARANTINE_PREFIX: Final = 'quarantine/'
# Prefix of the keys that count the trials of quarantined parts of prompts. The fingerprint of the
# part follows the prefix.
TRIAL_PREFIX: Final = 'quarantine-trials/'
# Prefix of the keys of evacuated zones, whose back ends are sent no more requests. The name of the
# zone follows the prefix.
EVACUATION_PREFIX: Final = 'evacuations/'

# Prefix of the keys of the digests of the pieces of weights, one key per model and version. The
# value has the number of digests that are recorded as its version.
DIGESTS_PREFIX: Final = 'digests/'
# Prefix of the keys of the leave notices of back ends. The id of the back end follows the prefix.
DEPARTURE_PREFIX: Final = 'departures/'


def version_key(model: str) -> str:
    """
    The key that holds the weights version that engines serve for a model.

    """
    return f'{VERSION_PREFIX}{model}'


def quarantine_key(fingerprint: Fingerprint) -> str:
    """
    The key of a quarantined request, which is no longer sent to back ends.

    """
    return f'{QUARANTINE_PREFIX}{fingerprint}'


def trial_key(fingerprint: Fingerprint) -> str:
    """
    The key that counts the trials of a quarantined part of prompts.

    """
    return f'{TRIAL_PREFIX}{fingerprint}'


def digests_key(weights: str) -> str:
    """
    The key of the digests of one version of a model's weights.

    """
    return f'{DIGESTS_PREFIX}{weights}'


def departure_key(instance: str) -> str:
    """
    The key of the leave notice of a back end.

    """
    return f'{DEPARTURE_PREFIX}{instance}'


def evacuation_key(zone: ZoneId) -> str:
    """
    The key of an evacuated zone.

    """
    return f'{EVACUATION_PREFIX}{zone}'
