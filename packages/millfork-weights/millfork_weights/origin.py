"""
HTTP client of the origin (the weight store).

"""

from typing import Final

from millfork_web.client import Client, ExchangeFailed

FETCH_TIMEOUT_S: Final = 60.0
STATUS_OK: Final = 200
STATUS_PARTIAL_CONTENT: Final = 206


class OriginFailed(Exception):
    """
    The origin did not return the requested bytes.

    """


class Origin:
    """
    Fetches manifests and chunks from the origin.

    """

    def __init__(self, host: str, port: int, source: str) -> None:
        self.client = Client(host, port, source)

    async def manifest(self, name: str, version: str) -> bytes:
        """
        Fetch the origin's current manifest of a version, unverified.

        :raises OriginFailed: if the origin does not return one.

        """
        return await self._get(f'/models/{name}/{version}/manifest', [], STATUS_OK)

    async def chunk(self, name: str, version: str, start: int, size: int) -> bytes:
        """
        Fetch `size` bytes of a version's weights from offset `start`, unverified.

        :raises OriginFailed: if the origin does not return them.

        """
        range_header = [('range', f'bytes={start}-{start + size - 1}')]
        return await self._get(
            f'/models/{name}/{version}/weights', range_header, STATUS_PARTIAL_CONTENT
        )

    async def _get(self, path: str, headers: list[tuple[str, str]], status: int) -> bytes:
        try:
            response = await self.client.fetch('GET', path, headers, timeout=FETCH_TIMEOUT_S)
        except ExchangeFailed as error:
            raise OriginFailed(str(error)) from error
        if response.status != status:
            raise OriginFailed(f'{path} answered {response.status}')
        return response.body
