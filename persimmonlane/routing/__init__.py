"""Routing.

Which service, organisation and limits a request has by the document in force.
"""
