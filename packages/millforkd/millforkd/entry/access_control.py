"""
Authenticates callers and operators by bearer token; only hashes of tokens are kept.

"""

import hashlib
import hmac
from dataclasses import dataclass

from millfork_core.ids import OrganisationId
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_state.config import ORGANISATIONS, Organisation, decode
from millfork_state.view import View
from millfork_web.models import Request

BEARER = 'bearer '


@dataclass(frozen=True, slots=True)
class Operator:
    """
    An authenticated operator; `organisation` is None for the administrator of the fleet.

    """

    organisation: OrganisationId | None

    @property
    def is_admin(self) -> bool:
        return self.organisation is None


def hash_token(token: bytes) -> str:
    return hashlib.sha256(token).hexdigest()


class AccessControl:
    """
    Authenticates callers and operators by their organisation's token hashes in the current
    configuration, and the administrator by the token from the settings.

    """

    def __init__(self, view: View, admin_token: bytes | None) -> None:
        self.view = view
        self.admin_hash = hash_token(admin_token) if admin_token else ''
        self.revision = -1
        # The organisation of each caller token and of each operator token, by the token's hash.
        self.callers: dict[str, OrganisationId] = {}
        self.operators: dict[str, OrganisationId] = {}
        self.organisations: dict[OrganisationId, Organisation] = {}

    def _refresh(self) -> None:
        if self.revision == self.view.revision:
            return
        self.revision = self.view.revision
        self.callers = {}
        self.operators = {}
        self.organisations = {}
        for key, value in self.view.values_with_prefix(ORGANISATIONS).items():
            name = OrganisationId(key.removeprefix(ORGANISATIONS))
            organisation = decode(value, Organisation)
            self.organisations[name] = organisation
            self.callers.update(dict.fromkeys(organisation.caller_tokens, name))
            self.operators.update(dict.fromkeys(organisation.operator_tokens, name))

    def authenticate_caller(self, request: Request) -> OrganisationId:
        """
        Return the organisation whose caller token the request carries.

        :raises Refused: if the token is missing or unknown.

        """
        self._refresh()
        organisation = self.callers.get(_hash_of_bearer_token(request))
        if organisation is None:
            raise Refused(
                Refusal(Reason.UNAUTHENTICATED, detail='a known bearer token is required')
            )
        return organisation

    def authenticate_operator(self, request: Request) -> Operator:
        """
        Return the operator that sent a control request.

        :raises Refused: if the token is missing or unknown.

        """
        self._refresh()
        token_hash = _hash_of_bearer_token(request)
        if self.admin_hash and hmac.compare_digest(token_hash, self.admin_hash):
            return Operator(None)
        organisation = self.operators.get(token_hash)
        if organisation is None:
            detail = "a known operator's token is required"
            raise Refused(Refusal(Reason.UNAUTHENTICATED, detail=detail))
        return Operator(organisation)

    def may_use(self, organisation: OrganisationId, service: str) -> bool:
        self._refresh()
        record = self.organisations.get(organisation)
        return record is not None and service in record.services

    def share(self, organisation: OrganisationId) -> int:
        self._refresh()
        record = self.organisations.get(organisation)
        return record.share if record else 1


def _hash_of_bearer_token(request: Request) -> str:
    value = request.header('authorization')
    if value[: len(BEARER)].lower() != BEARER:
        return ''
    return hash_token(value[len(BEARER) :].strip().encode('latin-1'))
