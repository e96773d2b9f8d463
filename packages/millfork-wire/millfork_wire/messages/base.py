"""
The base of every message.

"""


class Message:
    """
    Base of every message that may stand in a frame.

    """

    __slots__ = ()
