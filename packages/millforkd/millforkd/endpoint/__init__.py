"""
Role endpoint: the door to an engine or plain service.

"""
