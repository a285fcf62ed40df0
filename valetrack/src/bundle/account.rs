//! Client accounts: their keys, ranks and rates.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;
use sha2::{Digest, Sha256};

/// Bytes of a key's digest.
const DIGEST_BYTES: usize = 32;

/// What a client account may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AccountRule {
    /// Name of the account, as upstreams are told.
    pub name: Arc<str>,
    /// Rank of its calls, which goes before that of their route; none where the route's holds.
    pub priority: Option<u8>,
    /// Calls a second over all nodes together, in thousandths; zero for no limit.
    pub rate_milli_per_s: u64,
    /// Calls that it may send at once beyond that, in thousandths.
    pub burst_milli: u64,
}

impl AccountRule {
    /// Returns whether its calls are counted.
    pub const fn is_limited(&self) -> bool {
        self.rate_milli_per_s > 0
    }
}

/// Why an account cannot be taken into a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountFault {
    /// Another account has this name.
    NameTaken,
    /// Another account has one of its keys.
    KeyTaken,
}

impl AccountFault {
    /// Returns what whoever wrote the account is told.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NameTaken => "another account has this name",
            Self::KeyTaken => "another account has one of its keys",
        }
    }
}

/// All client accounts of a bundle.
///
/// Keys are looked up by their digests: neither a lookup nor a comparison takes a time that tells how much of a guess
/// was right, and the table holds no key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct AccountTable {
    accounts: HashMap<Arc<str>, Arc<AccountRule>>,
    #[serde(skip)]
    by_key: HashMap<[u8; DIGEST_BYTES], Arc<AccountRule>>,
}

impl AccountTable {
    /// Returns whether there are no accounts, so that no call needs a key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Adds an account with its keys; one without keys stands there and lets nobody in.
    ///
    /// # Errors
    ///
    /// Returns what it has in common with another account; nothing is added then.
    pub fn add<'k>(&mut self, rule: AccountRule, keys: impl IntoIterator<Item = &'k str>) -> Result<(), AccountFault> {
        if self.accounts.contains_key(&rule.name) {
            return Err(AccountFault::NameTaken);
        }
        let digests: Vec<_> = keys.into_iter().map(digest).collect();
        if digests.iter().any(|digest| self.by_key.contains_key(digest)) {
            return Err(AccountFault::KeyTaken);
        }
        let rule = Arc::new(rule);
        self.by_key.extend(digests.into_iter().map(|digest| (digest, rule.clone())));
        self.accounts.insert(rule.name.clone(), rule);
        Ok(())
    }

    /// Returns the account that a key belongs to.
    pub fn of_key(&self, key: &str) -> Option<&Arc<AccountRule>> {
        self.by_key.get(&digest(key))
    }

    /// Returns the account of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<AccountRule>> {
        self.accounts.get(name)
    }
}

fn digest(key: &str) -> [u8; DIGEST_BYTES] {
    Sha256::digest(key.as_bytes()).into()
}
