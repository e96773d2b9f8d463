"""
Role endpoint: admits requests to an engine or plain service.

"""
