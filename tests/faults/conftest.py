import pathlib
import sys

# The harness modules lie beside the tests and are no package.
sys.path.insert(0, str(pathlib.Path(__file__).parent))
