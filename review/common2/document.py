"""The configuration as the operator writes it to the store."""

import json

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 67108864,
    "HeaderTimeoutS": 3,
    "IdleTimeoutS": 15,
}


def build_route(name, host, prefix, kind, service, timeout_s, target_s, attempts=2):
    """Return one route."""
    return {
        "Type": "Routes",
        "Metadata": {"Name": name},
        "Spec": {
            "Host": host,
            "Prefix": prefix,
            "Kind": kind,
            "TimeoutS": timeout_s,
            "TargetLatencyS": target_s,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": attempts,
            "AllowAnonymous": False,
        },
    }


def build_tenant(key, rate_per_s=0, burst=0):
    """Return what the configuration says of a tenant; a rate of 0 means no limit."""
    return {
        "ApiKeys": [key],
        "Priority": 1,
        "RatePerS": rate_per_s,
        "Burst": burst,
    }


def build(version, routes, services, tenants, limits=None):
    """Return the configuration in bytes.

    Args:
        version: Its number.
        routes: The routes.
        services: Names of the services.
        tenants: Of each tenant its name and its key, and its rate and burst if it has
            them.
        limits: The limits on requesters; None for those of the users' example.
    """
    resources = list(routes)
    resources += [
        {
            "Type": "Services",
            "Metadata": {"Name": name},
            "Spec": {
                "HealthPath": "/healthz",
                "MaxConnections": 390,
                "Protocol": "h1",
                "Tls": False,
            },
        }
        for name in services
    ]
    resources += [
        {
            "Type": "Tenants",
            "Metadata": {"Name": name},
            "Spec": build_tenant(*fields),
        }
        for name, *fields in tenants
    ]
    resources.append({"Type": "Limits", "Metadata": {}, "Spec": limits or LIMITS})
    return json.dumps(
        {
            "Version": f"{version:08x}",
            "BaseVersion": f"{version - 1:08x}",
            "Resources": resources,
        }
    ).encode()
