"""Parts that the cases of the second review share."""
