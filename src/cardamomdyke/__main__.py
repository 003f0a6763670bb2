"""Entry point of ``python -m cardamomdyke``."""

from cardamomdyke.cli.commands import main

main()
