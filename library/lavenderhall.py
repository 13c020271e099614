"""Builds configurations of lavenderhall.

A program builds a Configuration and prints it as JSON:

    from lavenderhall import Configuration

    config = Configuration()
    config.region("erie")
    config.organisation("looms", tokens_per_second=2000, burst_tokens=40000)
    config.model("loom-70b", version="2026-11")
    config.engine("erie-gpu-1", "10.0.0.11:8000", region="erie", zone="erie-a",
                  models=["loom-70b"], slots=32)
    config.model_route("spec-review", model="loom-70b", traffic="long")
    print(config)

Programs contain no callers' keys: "lavenderhall key issue ORGANISATION" issues
one, and "lavenderhall apply" keeps those in force. Each call checks its
arguments and raises ConfigurationError with the call, what was found and what
was expected.
"""

import json
import re

__all__ = ["Configuration", "ConfigurationError"]

FORMAT = 1
TRAFFIC = ("interactive", "long", "background")
_NAME = re.compile(r"^[A-Za-z0-9._-]{1,100}$")


class ConfigurationError(ValueError):
    """Raised for a value that lavenderhall would reject."""


def _check_name(where, value):
    if not isinstance(value, str) or not _NAME.match(value):
        raise ConfigurationError(
            f"{where}: found {value!r}, expected 1 to 100 letters, digits, dots, "
            "hyphens or underscores")
    return value


def _check_integer(where, value, minimum, maximum):
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ConfigurationError(
            f"{where}: found {value!r}, expected a whole number from {minimum} to {maximum}")
    return value


def _check_bool(where, value):
    if not isinstance(value, bool):
        raise ConfigurationError(f"{where}: found {value!r}, expected True or False")
    return value


def _parse_address(where, value):
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isdigit() or not 1 <= int(port) <= 65535:
        raise ConfigurationError(f"{where}: found {value!r}, expected \"IP:PORT\"")
    return host, int(port)


class Configuration:
    """A configuration under construction. str() returns its canonical JSON."""

    def __init__(self):
        self._sections = {name: {} for name in
                          ("regions", "organisations", "models", "endpoints", "routes")}
        self._placement = {
            "block_tokens": 2048,
            "bytes_per_token": 4,
            "prefill_tokens_per_second": 8000,
            "cross_region_ms": 24,
            "weight_loads_at_once": 2,
        }

    def _add(self, section, entry):
        """Adds an entry, whose name must be new in the section."""
        name = entry["name"]
        if name in self._sections[section]:
            raise ConfigurationError(f"{section}: found {name!r} twice, expected each name once")
        self._sections[section][name] = entry

    def _check_reference(self, where, section, name):
        """Returns name, which must have been added to the section before."""
        if name not in self._sections[section]:
            names = ", ".join(sorted(self._sections[section])) or "none yet"
            raise ConfigurationError(
                f"{where}: found {name!r}, expected one of the {section} above ({names})")
        return name

    def region(self, name, share=1):
        """Adds a region. Organisations' rates are divided among the regions by share."""
        where = f"region {name!r}"
        self._add("regions", {"name": _check_name(where, name),
                              "share": _check_integer(where + " share", share, 1, 1000)})

    def organisation(self, name, tokens_per_second, burst_tokens):
        """Adds an organisation with its rate and burst over the whole fleet."""
        where = f"organisation {name!r}"
        max_tokens = 1_000_000_000
        self._add("organisations", {
            "name": _check_name(where, name),
            "tokens_per_second": _check_integer(where + " tokens_per_second", tokens_per_second, 0,
                                                max_tokens),
            "burst_tokens": _check_integer(where + " burst_tokens", burst_tokens, 0, max_tokens),
            "keys": [],
        })

    def model(self, name, version, adapters=None):
        """Adds a model at the version of its weights; adapters maps names to versions."""
        where = f"model {name!r}"
        adapter_list = [{"name": _check_name(where + " adapter", key),
                         "version": _check_name(where + " adapter version", value)}
                        for key, value in sorted((adapters or {}).items())]
        self._add("models", {"name": _check_name(where, name),
                             "version": _check_name(where + " version", version),
                             "adapters": adapter_list})

    def _endpoint(self, name, kind, address, region, zone, models, slots, draining):
        where = f"{kind} {name!r}"
        host, port = _parse_address(where + " address", address)
        self._add("endpoints", {
            "name": _check_name(where, name), "kind": kind, "host": host, "port": port,
            "region": self._check_reference(where + " region", "regions", region),
            "zone": _check_name(where + " zone", zone),
            "models": sorted(self._check_reference(where + " models", "models", model)
                             for model in models),
            "slots": _check_integer(where + " slots", slots, 1, 100_000),
            "draining": _check_bool(where + " draining", draining),
        })

    def engine(self, name, address, region, zone, models, slots=32, draining=False):
        """Adds an engine at "IP:PORT" that may serve the given models."""
        self._endpoint(name, "engine", address, region, zone, models, slots, draining)

    def service(self, name, address, region, zone, slots=32, draining=False):
        """Adds a plain service at "IP:PORT"."""
        self._endpoint(name, "service", address, region, zone, [], slots, draining)

    def _route(self, name, kind, traffic, open_for, repeatable, timeout_ms, gap_ms):
        where = f"route {name!r}"
        if traffic not in TRAFFIC:
            raise ConfigurationError(f"{where} traffic: found {traffic!r}, "
                                     f"expected one of {', '.join(TRAFFIC)}")
        day_ms = 24 * 3600 * 1000
        entry = {"name": _check_name(where, name), "kind": kind, "class": traffic,
                 "repeatable": _check_bool(where + " repeatable", repeatable),
                 "timeout_ms": _check_integer(where + " timeout_ms", timeout_ms, 1, day_ms),
                 "gap_ms": _check_integer(where + " gap_ms", gap_ms, 1, day_ms)}
        if open_for is not None:
            entry["open_for"] = self._check_reference(where + " open_for", "organisations",
                                                      open_for)
        return entry

    def model_route(self, name, model, adapter=None, traffic="interactive", open_for=None,
                    repeatable=True, timeout_ms=120_000, gap_ms=15_000):
        """Adds a route, which callers select by the field "model" of a request. With open_for,
        callers without a key are served too and charged to that organisation.
        """
        entry = self._route(name, "model", traffic, open_for, repeatable, timeout_ms, gap_ms)
        entry["model"] = self._check_reference(f"route {name!r} model", "models", model)
        if adapter is not None:
            names = [listed["name"] for listed in self._sections["models"][model]["adapters"]]
            if adapter not in names:
                raise ConfigurationError(f"route {name!r} adapter: found {adapter!r}, "
                                         f"expected one of {names}")
            entry["adapter"] = adapter
        self._add("routes", entry)

    def service_route(self, name, endpoints, repeatable, traffic="interactive", open_for=None,
                      timeout_ms=120_000, gap_ms=15_000):
        """Adds a route under /svc/NAME/. Set repeatable=False if a request must not run twice."""
        entry = self._route(name, "service", traffic, open_for, repeatable, timeout_ms, gap_ms)
        where = f"route {name!r} endpoints"
        for endpoint in endpoints:
            self._check_reference(where, "endpoints", endpoint)
            if self._sections["endpoints"][endpoint]["kind"] != "service":
                raise ConfigurationError(f"{where}: found the engine {endpoint!r}, "
                                         "expected a service")
        if not endpoints:
            raise ConfigurationError(f"{where}: found none, expected at least one")
        entry["endpoints"] = sorted(endpoints)
        self._add("routes", entry)

    def placement(self, **knobs):
        """Sets parameters of placement by name; see docs/operators/placement.md."""
        for name, value in knobs.items():
            if name not in self._placement:
                raise ConfigurationError(f"placement: found {name!r}, expected one of "
                                         f"{', '.join(sorted(self._placement))}")
            self._placement[name] = _check_integer(f"placement {name}", value, 0, 10_000_000)

    def to_dict(self):
        """Returns the configuration as plain data, lists sorted by name."""
        data = {section: [entries[name] for name in sorted(entries)]
                for section, entries in self._sections.items()}
        data["format"] = FORMAT
        data["placement"] = dict(self._placement)
        return data

    def __str__(self):
        return json.dumps(self.to_dict(), sort_keys=True, separators=(",", ":"),
                          ensure_ascii=False)
