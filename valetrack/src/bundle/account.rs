//! Client accounts: keys, priorities and rates.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;
use sha2::{Digest, Sha256};

/// Bytes of a key's digest.
const DIGEST_BYTES: usize = 32;

/// Priority and limits of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AccountRule {
    /// Name of the account, which is sent to upstreams.
    pub name: Arc<str>,
    /// Priority of its calls, which overrides that of their route; none if the route's applies.
    pub priority: Option<u8>,
    /// Calls a second over all nodes together, in thousandths; zero for no limit.
    pub rate_milli_per_s: u64,
    /// Calls that it may send at once beyond the rate, in thousandths.
    pub burst_milli: u64,
}

impl AccountRule {
    /// Returns whether the account has a rate limit.
    pub const fn is_limited(&self) -> bool {
        self.rate_milli_per_s > 0
    }

    /// Returns the calls a second over all nodes together; zero for no limit.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_milli_per_s as f64 / 1_000.0
    }
}

/// Reason for which an account cannot be added to a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountFault {
    /// Another account has this name.
    NameTaken,
    /// Another account has one of its keys.
    KeyTaken,
}

impl AccountFault {
    /// Returns the message for the author of the bundle.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NameTaken => "another account has this name",
            Self::KeyTaken => "another account has one of its keys",
        }
    }
}

/// All client accounts of a bundle.
///
/// Keys are looked up by their digests, so that the time of a lookup or a comparison does not reveal how much of a
/// guessed key was right, and the table holds no key.
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

    /// Adds an account with its keys; an account without keys is listed and admits no calls.
    ///
    /// # Errors
    ///
    /// Returns the conflict with another account; nothing is added then.
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

    /// Returns all accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<AccountRule>> {
        self.accounts.values()
    }

    /// Returns the account of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<AccountRule>> {
        self.accounts.get(name)
    }
}

fn digest(key: &str) -> [u8; DIGEST_BYTES] {
    Sha256::digest(key.as_bytes()).into()
}
