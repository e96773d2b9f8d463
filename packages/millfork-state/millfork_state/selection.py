"""
The instances that a deployment selects.

"""

from millfork_state.config import DEPLOYMENTS, LABELS, Deployment, InstanceFacts, decode, matches
from millfork_state.roster import Roster
from millfork_state.view import View


def deployments(view: View) -> dict[str, Deployment]:
    """
    The deployments in force, keyed by `ORG/NAME`.

    """
    return {
        key.removeprefix(DEPLOYMENTS): decode(value, Deployment)
        for key, value in view.values_with_prefix(DEPLOYMENTS).items()
    }


def is_selected(view: View, name: str, deployment: Deployment, facts: InstanceFacts) -> bool:
    """
    Whether the deployment selects an instance, by the labels that the deployment's organisation
    attached to the instance and the platform's labels, which take precedence.

    """
    organisation = name.split('/', 1)[0]
    stored = view.items.get(f'{LABELS}{organisation}/{facts.instance}')
    attached = decode(stored.value, dict[str, str]) if stored else {}
    return matches(deployment.selector, {**attached, **facts.to_labels()})


def select_endpoints(
    view: View, roster: Roster, name: str, deployment: Deployment
) -> list[InstanceFacts]:
    """
    The endpoints that a deployment selects, sorted by id.

    """
    found = [facts for facts in roster.endpoints() if is_selected(view, name, deployment, facts)]
    return sorted(found, key=lambda facts: facts.instance)
