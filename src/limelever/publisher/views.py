"""All scope views of a publisher, indexed by scope and by service."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.publisher.resources import ResourceTable, Step
from limelever.publisher.scope import (
    EVERYTHING_SCOPES,
    Scope,
    touched_services,
    touches_every_scope,
    touches_tenants,
)
from limelever.publisher.view import ScopeView


class ScopeViews:
    """Creates a view for the first subscriber of a scope and removes it after the last."""

    def __init__(self, table: ResourceTable) -> None:
        self._table = table
        self._views: dict[Scope, ScopeView] = {}
        self._subscribers: dict[Scope, int] = {}
        self._by_service: dict[str, dict[Scope, None]] = {}
        self._dirty: dict[Scope, ScopeView] = {}

    def __len__(self) -> int:
        return len(self._views)

    def get(self, scope: Scope) -> ScopeView:
        """Return the view of a scope that has subscribers."""
        return self._views[scope]

    def join(self, scope: Scope) -> ScopeView:
        """Add a subscriber to ``scope`` and return its view."""
        view = self._views.get(scope)
        if view is None:
            view = ScopeView(scope, self._table)
            self._views[scope] = view
            for service in scope.services:
                self._by_service.setdefault(service, {})[scope] = None
        self._subscribers[scope] = self._subscribers.get(scope, 0) + 1
        return view

    def leave(self, scope: Scope) -> None:
        """Remove a subscriber from ``scope``."""
        self._subscribers[scope] -= 1
        if self._subscribers[scope]:
            return
        del self._subscribers[scope]
        del self._views[scope]
        self._dirty.pop(scope, None)
        for service in scope.services:
            self._by_service[service].pop(scope, None)
            if not self._by_service[service]:
                del self._by_service[service]

    def mark(self, step: Step) -> None:
        """Mark the views that a step may have changed as dirty."""
        if not step.before:
            return
        for scope in EVERYTHING_SCOPES:
            self._mark(scope, step.from_version)
        for service in touched_services(step, self._table):
            for scope in self._by_service.get(service, ()):
                self._mark(scope, step.from_version)
        in_all, in_tenants = touches_every_scope(step), touches_tenants(step)
        if in_all or in_tenants:
            for scope in self._views:
                if in_all or scope.tenants:
                    self._mark(scope, step.from_version)

    def take_dirty(self) -> Iterable[ScopeView]:
        """Remove and return the marked views; the caller refreshes them."""
        dirty = tuple(self._dirty.values())
        self._dirty.clear()
        return dirty

    def clean(self, scope: Scope) -> None:
        """Remove the mark of one scope; the caller refreshes its view."""
        self._dirty.pop(scope, None)

    def _mark(self, scope: Scope, unchanged_through: int) -> None:
        view = self._views.get(scope)
        if view is not None:
            view.mark_dirty(unchanged_through)
            self._dirty[scope] = view
