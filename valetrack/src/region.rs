//! Regions of a fleet: groups of failure domains that are close to each other.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::sync::Arc;

use crate::settings::is_name;

/// Largest number of failure domains in the setting; several times that of the largest supported fleet.
const DOMAINS_MAX: usize = 256;

/// Longest name of a region.
const REGION_MAX_BYTES: usize = 63;

/// Distance between two nodes, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are the same VM.
    SameVm,
    /// They share a failure domain.
    SameDomain,
    /// They are in different failure domains of one region.
    SameRegion,
    /// They are in different regions.
    Beyond,
}

/// Region of each failure domain, from the settings.
///
/// A domain that is not listed counts as a region of its own. With fewer than two regions listed, all domains are in
/// one region, and placement ignores regions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    by_domain: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether two or more regions are listed.
    has_several: bool,
}

impl Regions {
    /// Returns whether two or more regions are listed.
    pub fn has_several(&self) -> bool {
        self.has_several
    }

    /// Returns whether a failure domain is listed.
    pub fn lists(&self, domain: &str) -> bool {
        self.by_domain.contains_key(domain)
    }

    /// Returns the region of a failure domain; that of an unlisted domain has the domain's name.
    pub fn region_of<'a>(&'a self, domain: &'a str) -> &'a str {
        self.by_domain.get(domain).map_or(domain, |region| region)
    }

    /// Returns whether two failure domains are in the same region.
    pub fn is_same_region(&self, domain: &str, other: &str) -> bool {
        !self.has_several || self.place_of(domain) == self.place_of(other)
    }

    /// Returns the distance between nodes on different VMs, by their failure domains.
    pub fn distance(&self, domain: &str, other: &str) -> Distance {
        match () {
            () if domain == other => Distance::SameDomain,
            () if self.is_same_region(domain, other) => Distance::SameRegion,
            () => Distance::Beyond,
        }
    }

    /// Returns whether a failure domain is listed, and its region. Without the former, an unlisted domain would count as
    /// part of a listed region of the same name.
    fn place_of<'a>(&'a self, domain: &'a str) -> (bool, &'a str) {
        (self.lists(domain), self.region_of(domain))
    }
}

/// Returns whether a text may name a region. Platforms choose these names, and a node that refused one would not start,
/// so all printable names are accepted.
fn is_region_name(name: &str) -> bool {
    let allowed = |byte: u8| byte == b' ' || byte.is_ascii_graphic() && byte != b'=';
    !name.is_empty() && name.len() <= REGION_MAX_BYTES && name.bytes().all(allowed)
}

/// Error of a list of regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionsError {
    /// An item is not a valid failure domain and a valid region, separated by `=`.
    NoPair,
    /// A failure domain is listed twice.
    Duplicate,
    /// More failure domains are listed than are supported.
    TooMany,
}

impl FromStr for Regions {
    type Err = RegionsError;

    /// Parses pairs `domain=region` that are separated by commas; an empty text lists none.
    fn from_str(text: &str) -> Result<Self, RegionsError> {
        let mut by_domain = BTreeMap::new();
        // An empty text would otherwise be split into one empty pair.
        for pair in text.split(',').filter(|_| !text.is_empty()) {
            let (domain, region) = pair.split_once('=').ok_or(RegionsError::NoPair)?;
            if !is_name(domain) || !is_region_name(region) {
                return Err(RegionsError::NoPair);
            }
            if by_domain.len() >= DOMAINS_MAX {
                return Err(RegionsError::TooMany);
            }
            if by_domain.insert(Arc::from(domain), Arc::from(region)).is_some() {
                return Err(RegionsError::Duplicate);
            }
        }
        let regions: BTreeSet<&Arc<str>> = by_domain.values().collect();
        let has_several = regions.len() > 1;
        Ok(Self { by_domain, has_several })
    }
}
