"""Start of the platform's program."""

import gc
import time

from orioleloom.platform import _daemon


def test_collections_leave_out_what_was_imported():
    """Guards against pauses of the event loop in full collections.

    A leader had a turn of 20 to 90 ms about once a second.
    """
    try:
        _daemon.freeze_imported_objects()
        assert gc.get_freeze_count() > 10_000
        began_s = time.perf_counter()
        gc.collect()
        frozen_s = time.perf_counter() - began_s
    finally:
        gc.unfreeze()
    began_s = time.perf_counter()
    gc.collect()
    assert frozen_s < (time.perf_counter() - began_s) / 4
