//! Tests of this slice.
