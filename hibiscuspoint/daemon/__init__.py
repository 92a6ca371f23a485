"""The hibiscuspointd daemon."""
