"""Jobs in the platform's store: their records, and the ledger folded from them."""
