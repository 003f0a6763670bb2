"""Runs the command line as ``python -m cardamomdyke``."""

from cardamomdyke.cli.commands import main

main()
