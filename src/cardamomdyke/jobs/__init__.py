"""Jobs as the platform's store keeps them: records and their fold."""
