"""
Base class of the messages.

"""


class Message:
    """
    Base class of all messages, and of the structs that are part of messages.

    """

    __slots__ = ()
