"""Run the command line with ``python -m oriolejunction``."""

from oriolejunction import cli

if __name__ == "__main__":
    cli.main()
