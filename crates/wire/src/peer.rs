//! The service that daemons call on each other.
