"""
The keys under which the replicated state keeps digests of weights.

"""

from collections import defaultdict
from typing import Final

from millfork_state.keys import DIGESTS_PREFIX
from millfork_state.view import View

# The replicated state keeps the digests of this many versions of a model. Engines serve the newest
# two, and change to a third.
KEPT_VERSIONS: Final = 3


def digest_keys_by_model(view: View) -> dict[str, dict[int, str]]:
    """
    The keys of the recorded digests, by model and version.

    """
    found: defaultdict[str, dict[int, str]] = defaultdict(dict)
    for key in view.values_with_prefix(DIGESTS_PREFIX):
        model, _, version = key.removeprefix(DIGESTS_PREFIX).rpartition('@')
        found[model][int(version)] = key
    return found
