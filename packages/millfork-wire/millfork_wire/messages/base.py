"""
Base class of the messages.

"""


class Message:
    """
    Base class of every message, and of the structs that messages contain.

    """

    __slots__ = ()
