"""Client of the workers."""

from orioleloom.worker_api._client import WorkerClient

__all__ = ['WorkerClient']
