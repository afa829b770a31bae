import sys

from orioleloom import cli

if __name__ == '__main__':
    sys.exit(cli.main())
