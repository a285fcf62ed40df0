//! Format of the text of a bundle.

use super::check::check;
use super::message::{Bundle, Fault};

/// Format in which the text of a bundle is written.
pub trait BundleFormat: Send + Sync {
    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found; at least one.
    fn parse(&self, text: &str) -> Result<Bundle, Vec<Fault>>;

    /// Returns the number that the text itself contains, if it contains one.
    fn number(&self, text: &str) -> Option<u64>;
}

/// Valetrack's own format, TOML.
#[derive(Debug, Clone, Copy, Default)]
pub struct TomlFormat;

impl BundleFormat for TomlFormat {
    fn parse(&self, text: &str) -> Result<Bundle, Vec<Fault>> {
        check(text)
    }

    fn number(&self, _text: &str) -> Option<u64> {
        // Publishing a bundle assigns its number.
        None
    }
}
