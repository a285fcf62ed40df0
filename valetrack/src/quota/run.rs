//! I/O shell of the quotas, on the thread of calls and links: requests credits from homes, and grants them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use tokio::sync::watch;

use super::allowance::{Allowances, Step};
use super::home::{Grant, QuotaHome};
use super::rank::HomeRanking;
use crate::bundle::{AccountRule, InForce};
use crate::clock::{now_us, steady_us};
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{Members, Phase};
use crate::metric::Metrics;

/// Time that a home has to answer: several round trips between failure domains on a busy machine.
const REPLY_TIMEOUT_MS: u64 = 150;
/// Time for which a home that did not answer is skipped.
const SKIP_US: u64 = 1_000_000;

/// Dependencies of the quotas.
pub struct QuotaParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Channel to the link thread.
    pub to_link: Sender<LinkJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// View of the VMs.
    pub members: watch::Receiver<Arc<Members>>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
}

/// Quotas of one node, as entry and as home.
pub struct Quotas {
    parts: QuotaParts,
    allowances: RefCell<Allowances>,
    home: RefCell<QuotaHome>,
    ranking: RefCell<HomeRanking>,
    /// Homes that did not answer, with the time until which they are skipped, in microseconds.
    skipped: RefCell<HashMap<Arc<str>, u64>>,
}

impl Quotas {
    /// Creates quotas without a record of any account.
    pub fn new(parts: QuotaParts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            allowances: RefCell::default(),
            home: RefCell::default(),
            ranking: RefCell::default(),
            skipped: RefCell::default(),
        })
    }

    /// Removes accounts that the bundle in force no longer names, and tracks the number of nodes; runs as long as the
    /// node.
    pub async fn follow(self: Rc<Self>) {
        let mut bundle = self.parts.bundle.clone();
        let mut members = self.parts.members.clone();
        loop {
            if let Some(in_force) = bundle.borrow_and_update().as_ref() {
                self.home.borrow_mut().retain(&in_force.bundle.accounts);
                self.allowances.borrow_mut().retain(&in_force.bundle.accounts);
            }
            let nodes = members.borrow_and_update().iter().filter(|member| member.phase == Phase::Serving).count();
            self.allowances.borrow_mut().set_nodes(nodes as u32);
            let changed = tokio::select! {
                changed = bundle.changed() => changed,
                changed = members.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Admits a call of an account, waiting for credits if necessary.
    ///
    /// # Errors
    ///
    /// Returns the estimated time until the account is below its limit again, in milliseconds.
    pub async fn admit(&self, account: &Arc<str>) -> Result<(), u32> {
        let Some(rule) = self.rule(account).filter(|rule| rule.is_limited()) else {
            return Ok(());
        };
        let step = self.allowances.borrow_mut().begin(&rule, now_us());
        let step = match step {
            Step::Request { calls } => self.request_credits(&rule, calls).await,
            Step::Admit | Step::Refuse { .. } => step,
        };
        match step {
            Step::Admit => Ok(()),
            Step::Request { .. } => Err(0),
            Step::Refuse { retry_after_ms } => {
                self.parts.metrics.over_rate.inc();
                Err(retry_after_ms)
            }
        }
    }

    /// Restores the credit of a call that certainly did not start.
    pub fn restore_credit(&self, account: &Arc<str>) {
        self.allowances.borrow_mut().restore_credit(account, now_us());
    }

    fn rule(&self, account: &str) -> Option<Arc<AccountRule>> {
        let bundle = self.parts.bundle.borrow();
        bundle.as_ref()?.bundle.accounts.get(account).cloned()
    }

    /// Requests credits from the account's home, and from its stand-in if the home does not answer.
    async fn request_credits(&self, rule: &AccountRule, calls: u32) -> Step {
        let members = self.parts.members.borrow().clone();
        let homes = self.ranking.borrow_mut().homes(&rule.name, &members).to_vec();
        let mut instead_of = None;
        for home in homes {
            if self.is_skipped(&home.vm) {
                instead_of = Some(home.vm);
                continue;
            }
            if let Some(grant) = self.request_from(&home, rule, calls, instead_of.as_ref()).await {
                return self.allowances.borrow_mut().apply_grant(&rule.name, grant, now_us());
            }
            self.skipped.borrow_mut().insert(home.vm.clone(), now_us() + SKIP_US);
            instead_of = Some(home.vm);
        }
        log::info!("event=quota.unanswered account={}", rule.name);
        self.parts.metrics.quota_unanswered.inc();
        self.allowances.borrow_mut().admit_by_share(rule, now_us())
    }

    fn is_skipped(&self, vm: &str) -> bool {
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, until_us| now_us() < *until_us);
        skipped.contains_key(vm)
    }

    async fn request_from(
        &self,
        home: &Target,
        rule: &AccountRule,
        calls: u32,
        instead_of: Option<&Arc<str>>,
    ) -> Option<Grant> {
        if home.vm == self.parts.vm {
            return self.grant(&rule.name, calls, instead_of).await;
        }
        self.parts.metrics.quota_requests.inc();
        let ask = Ask::Quota { account: rule.name.clone(), calls, instead_of: instead_of.cloned() };
        let request = PeerRequest { ask, body: Bytes::new() };
        let limit = Duration::from_millis(REPLY_TIMEOUT_MS);
        let LinkResult::Reply(answered) = peer::ask_within(&self.parts.to_link, home.clone(), request, limit).await
        else {
            return None;
        };
        match answered.head.reply {
            Reply::Quota { calls, retry_after_ms } => Some(Grant { calls, retry_after_ms }),
            _ => None,
        }
    }

    /// Grants credits to an entry that regards this node as the account's home; none if the account is unknown, or if
    /// `instead_of`, the home that this node would stand in for, answers this node.
    pub async fn grant(&self, account: &Arc<str>, calls: u32, instead_of: Option<&Arc<str>>) -> Option<Grant> {
        let rule = self.rule(account)?;
        if let Some(home) = instead_of
            && self.is_responsive(home).await
        {
            return None;
        }
        Some(self.home.borrow_mut().grant(&rule, calls, steady_us()))
    }

    /// Returns whether another node answers a request of this one.
    async fn is_responsive(&self, vm: &Arc<str>) -> bool {
        if self.is_skipped(vm) {
            return false;
        }
        let addr = self.parts.members.borrow().get(vm).map(|member| member.link_addr);
        let Some(addr) = addr else {
            return false;
        };
        let request = PeerRequest { ask: Ask::Evacuation, body: Bytes::new() };
        let target = Target { vm: vm.clone(), addr };
        let limit = Duration::from_millis(REPLY_TIMEOUT_MS / 2);
        let result = peer::ask_within(&self.parts.to_link, target, request, limit).await;
        let is_responsive = matches!(result, LinkResult::Reply(_));
        if !is_responsive {
            self.skipped.borrow_mut().insert(vm.clone(), now_us() + SKIP_US);
        }
        is_responsive
    }
}
