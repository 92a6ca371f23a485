"""Files below the data folder."""
