//! The C binding of DRMAA 1.0.
