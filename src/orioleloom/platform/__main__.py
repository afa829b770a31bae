import sys

from orioleloom.platform import _daemon

sys.exit(_daemon.main())
