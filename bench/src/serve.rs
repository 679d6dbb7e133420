//! A whole set of stand-ins from one INI file.
