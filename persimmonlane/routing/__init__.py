"""Routing: the service, organisation and limits that apply to a request."""
