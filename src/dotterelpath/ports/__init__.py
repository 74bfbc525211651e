"""Protocol types between the decisions and the outside."""
