"""Records of jobs in the platform's store, and their fold."""
