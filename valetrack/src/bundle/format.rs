//! The border of a bundle's text: which language it is written in.

use super::check::check;
use super::message::{Bundle, Fault};

/// Reads the text of a bundle.
pub trait BundleFormat: Send + Sync {
    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found; at least one.
    fn parse(&self, text: &str) -> Result<Bundle, Vec<Fault>>;

    /// Returns the number that the text itself carries, if it carries one.
    fn number(&self, text: &str) -> Option<u64>;
}

/// Valetrack's own bundles, in TOML.
#[derive(Debug, Clone, Copy, Default)]
pub struct TomlFormat;

impl BundleFormat for TomlFormat {
    fn parse(&self, text: &str) -> Result<Bundle, Vec<Fault>> {
        check(text)
    }

    fn number(&self, _text: &str) -> Option<u64> {
        // The roll of a bundle gives it its number.
        None
    }
}
