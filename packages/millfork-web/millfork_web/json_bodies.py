"""
Tells whether a JSON document is complete.

"""

from typing import Final

import msgspec

JSON_TYPE: Final = 'application/json'
# What msgspec says of a document that ends too early; it calls other errors malformed.
TRUNCATED_MESSAGE: Final = 'truncated'


def is_json(content_type: str) -> bool:
    return content_type.partition(';')[0].strip().lower() == JSON_TYPE


def is_truncated_json(body: bytes | bytearray) -> bool:
    """
    Whether `body` is the beginning of a JSON document. Documents that are invalid for another
    reason are not.

    """
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return TRUNCATED_MESSAGE in str(error)
    return False
