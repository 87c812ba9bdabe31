"""The services and workspaces that a configuration change affects."""

from dataclasses import dataclass

from marjoramstile.configuration.documents import Configuration


@dataclass(frozen=True)
class Scope:
    """Services and workspaces whose requests a change affects."""

    services: frozenset[str] = frozenset()
    workspaces: frozenset[str] = frozenset()
    everything: bool = False

    def affects(self, service: str, workspace: str) -> bool:
        """Return whether a request of ``workspace`` to ``service`` is affected."""
        return (
            self.everything or service in self.services or workspace in self.workspaces
        )


EVERYTHING = Scope(everything=True)
NOTHING = Scope()


def changed_scope(old: Configuration, new: Configuration) -> Scope:
    """Return what a change affects; a change of the limits affects everything."""
    if old.limits != new.limits:
        return EVERYTHING
    services = old.language_services.keys() | old.plain_services
    services |= new.language_services.keys() | new.plain_services
    changed_services = {
        name
        for name in services
        if _with_references(old, name) != _with_references(new, name)
    }
    names = old.workspaces.keys() | new.workspaces.keys()
    changed_workspaces = {
        name for name in names if old.workspaces.get(name) != new.workspaces.get(name)
    }
    return Scope(frozenset(changed_services), frozenset(changed_workspaces))


def _with_references(configuration: Configuration, name: str) -> tuple:
    """Return a service with all the pools and endpoints that it refers to."""
    language = configuration.language_services.get(name)
    if language is not None:
        pools = [
            configuration.pools[pool_name]
            for pool_name in (language.prefill_pool, language.decode_pool)
        ]
        endpoint_names = [item for pool in pools for item in pool.endpoints]
        return (language, pools, _endpoints(configuration, endpoint_names))
    plain = configuration.plain_services.get(name)
    if plain is None:
        return ()
    endpoint_names = list(plain.endpoints)
    if plain.migration is not None:
        endpoint_names.append(plain.migration.old)
    return (plain, _endpoints(configuration, endpoint_names))


def _endpoints(configuration: Configuration, names: list[str]) -> list:
    return [configuration.endpoints[name] for name in names]
