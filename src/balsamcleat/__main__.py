"""Run the command line with `python -m balsamcleat`."""

from balsamcleat.cli import main

if __name__ == "__main__":
    main()
