//! I/O shell of the quotas, on the thread of calls and links: requests credits from homes, and grants them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use tokio::sync::{Mutex, watch};

use super::allowance::{Allowances, Step};
use super::home::{Grant, QuotaHome};
use super::promise::{PromiseReply, Promises, Renewal};
use super::rank::{HomeRanking, Role, ranks_before};
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
/// Time for which a node that answered that it grants nothing is skipped. It is shorter, because the reason is usually
/// a promise or a view that changes within a second.
const NO_QUOTA_SKIP_US: u64 = 200_000;
/// Time after which a reply is ignored although no timeout has elapsed.
const OUTDATED_US: u64 = 2 * REPLY_TIMEOUT_MS * 1_000;

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
    /// Homes and stand-ins that did not answer or granted nothing, with the time until which they are skipped, in
    /// microseconds.
    skipped: RefCell<HashMap<Arc<str>, u64>>,
    /// Ranking in which this node decides on its own part in granting.
    own_ranking: RefCell<HomeRanking>,
    promises: RefCell<Promises>,
    /// Held during a request for a promise, by stand-in, so that requests for credits wait for the same reply.
    promise_requests: RefCell<HashMap<Arc<str>, Rc<Mutex<()>>>>,
}

/// Reply to a request for credits.
enum CreditReply {
    Granted(Grant),
    /// The node answered that it grants nothing.
    NoQuota,
    Unanswered,
}

impl Quotas {
    /// Creates quotas without a record of any account.
    pub fn new(parts: QuotaParts) -> Rc<Self> {
        Rc::new(Self {
            allowances: RefCell::new(Allowances::with_share_phase(fastrand::f64())),
            own_ranking: RefCell::new(HomeRanking::including(parts.vm.clone())),
            promises: RefCell::new(Promises::new(steady_us())),
            promise_requests: RefCell::default(),
            parts,
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
                self.home.borrow_mut().retain(&in_force.bundle.accounts, now_us());
                self.allowances.borrow_mut().retain(&in_force.bundle.accounts);
            }
            let view = members.borrow_and_update().clone();
            let nodes = view.iter().filter(|member| member.phase == Phase::Serving).count();
            self.allowances.borrow_mut().set_nodes(nodes as u32);
            self.forget_unknown(&view);
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
            let skip_us = match self.request_from(&home, rule, calls, instead_of.as_ref()).await {
                CreditReply::Granted(grant) => {
                    return self.allowances.borrow_mut().apply_grant(&rule.name, grant, now_us());
                }
                CreditReply::NoQuota => NO_QUOTA_SKIP_US,
                CreditReply::Unanswered => SKIP_US,
            };
            self.skip(&home.vm, skip_us);
            instead_of = Some(home.vm);
        }
        log::info!("event=quota.unanswered account={}", rule.name);
        self.parts.metrics.quota_unanswered.inc();
        self.allowances.borrow_mut().admit_by_share(rule, now_us())
    }

    fn skip(&self, vm: &Arc<str>, skip_us: u64) {
        self.skipped.borrow_mut().insert(vm.clone(), now_us() + skip_us);
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
    ) -> CreditReply {
        if home.vm == self.parts.vm {
            let grant = self.grant(&rule.name, calls, instead_of).await;
            return grant.map_or(CreditReply::NoQuota, CreditReply::Granted);
        }
        self.parts.metrics.quota_requests.inc();
        let ask = Ask::Quota { account: rule.name.clone(), calls, instead_of: instead_of.cloned() };
        let asked_us = now_us();
        let reply = self.ask(home.clone(), ask, REPLY_TIMEOUT_MS).await;
        // Timers are paused while the VM is suspended, and credits that were granted before count as used by then.
        let is_outdated = now_us().saturating_sub(asked_us) > OUTDATED_US;
        match reply {
            Some(Reply::Quota { calls, retry_after_ms }) if !is_outdated => {
                CreditReply::Granted(Grant { calls, retry_after_ms })
            }
            Some(Reply::NoQuota) => CreditReply::NoQuota,
            _ => CreditReply::Unanswered,
        }
    }

    /// Sends a request to another node; returns its reply if there is one within `timeout_ms`.
    async fn ask(&self, target: Target, ask: Ask, timeout_ms: u64) -> Option<Reply> {
        let request = PeerRequest { ask, body: Bytes::new() };
        let limit = Duration::from_millis(timeout_ms);
        match peer::ask_within(&self.parts.to_link, target, request, limit).await {
            LinkResult::Reply(answered) => Some(answered.head.reply),
            LinkResult::Unsent | LinkResult::Broken => None,
        }
    }

    /// Grants credits to an entry that regards this node as the account's home or as its stand-in. A request for zero
    /// calls is the request for a promise of the node that `instead_of` names.
    ///
    /// Grants none if the account is unknown, if this node's view or a promise leaves the granting to another node, or
    /// if this node is the stand-in and the home answers it.
    pub async fn grant(&self, account: &Arc<str>, calls: u32, instead_of: Option<&Arc<str>>) -> Option<Grant> {
        if let (0, Some(receiver)) = (calls, instead_of) {
            return self.give_promise(account, receiver).to_grant();
        }
        let rule = self.rule(account)?;
        match self.role(account) {
            Role::Home { stand_in: Some(stand_in) } => self.renew_promise(account, &stand_in).await,
            Role::StandIn { home } if self.is_responsive(&home).await => return None,
            Role::Home { stand_in: None } | Role::StandIn { .. } | Role::Unranked => {}
        }
        // The view and the promises may have changed meanwhile.
        let role = self.role(account);
        let members = self.parts.members.borrow().clone();
        // A home that leaves grants nothing from the moment at which it announces that, so a promise to it is void.
        let is_leaving = |vm: &str| members.get(vm).is_some_and(|member| member.phase == Phase::Leaving);
        let outranks = |vm: &str| ranks_before(account, vm, &self.parts.vm) && !is_leaving(vm);
        let mut promises = self.promises.borrow_mut();
        let right = promises.right(&role, outranks, now_us(), steady_us())?;
        promises.given.record_grant(outranks);
        Some(self.home.borrow_mut().grant_within(&rule, right, calls, now_us()))
    }

    fn role(&self, account: &Arc<str>) -> Role {
        let members = self.parts.members.borrow().clone();
        self.own_ranking.borrow_mut().role(&self.parts.vm, account, &members)
    }

    /// Promises `receiver` not to grant credits of the accounts for which it ranks before this node.
    fn give_promise(&self, account: &Arc<str>, receiver: &Arc<str>) -> PromiseReply {
        let own = &self.parts.vm;
        let members = self.parts.members.borrow();
        let is_serving = |vm: &str| members.get(vm).is_some_and(|member| member.phase == Phase::Serving);
        let reply = match () {
            () if !ranks_before(account, receiver, own) || members.get(receiver).is_none() => PromiseReply::None,
            // The node that replaces the receiver in this node's view grants the credits.
            () if is_serving(own) && !is_serving(receiver) => PromiseReply::Denied,
            () => {
                self.home.borrow_mut().remove(|name| ranks_before(name, receiver, own));
                self.promises.borrow_mut().given.give(receiver, steady_us())
            }
        };
        self.parts.metrics.quota_promises.with_label_values(&["sent", reply.as_str()]).inc();
        reply
    }

    /// Requests the stand-in's promise if it is due. One request serves all accounts whose home and stand-in are these
    /// two nodes.
    async fn renew_promise(&self, account: &Arc<str>, stand_in: &Target) {
        let renewal = || self.promises.borrow().received.renewal(&stand_in.vm, now_us());
        let lock = self.promise_requests.borrow_mut().entry(stand_in.vm.clone()).or_default().clone();
        let _guard = match renewal() {
            Renewal::NotDue => return,
            Renewal::Early => match lock.try_lock() {
                Ok(guard) => guard,
                Err(_) => return,
            },
            Renewal::Required => lock.lock().await,
        };
        // Another request for credits may have renewed the promise while this one waited for the lock.
        if renewal() == Renewal::NotDue {
            return;
        }
        let asked_us = now_us();
        self.promises.borrow_mut().received.begin(&stand_in.vm);
        let ask = Ask::Quota { account: account.clone(), calls: 0, instead_of: Some(self.parts.vm.clone()) };
        let grant = match self.ask(stand_in.clone(), ask, REPLY_TIMEOUT_MS / 2).await {
            Some(Reply::Quota { calls, retry_after_ms }) => Some(Grant { calls, retry_after_ms }),
            _ => None,
        };
        let reply = PromiseReply::from_grant(grant);
        self.promises.borrow_mut().received.record(&stand_in.vm, reply, asked_us);
        self.parts.metrics.quota_promises.with_label_values(&["received", reply.as_str()]).inc();
        if !matches!(reply, PromiseReply::Given { .. }) {
            let (vm, reply) = (&stand_in.vm, reply.as_str());
            log::info!("event=quota.promise_missing stand_in={vm} reply={reply} account={account}");
        }
    }

    /// Removes the records of nodes that the view of the members no longer names.
    fn forget_unknown(&self, members: &Members) {
        let is_known = |vm: &str| members.get(vm).is_some();
        let mut promises = self.promises.borrow_mut();
        promises.given.retain(is_known, steady_us());
        promises.received.retain(is_known);
        self.promise_requests.borrow_mut().retain(|vm, _| is_known(vm));
    }

    /// Returns whether the home answers this node.
    async fn is_responsive(&self, home: &Target) -> bool {
        if self.is_skipped(&home.vm) {
            return false;
        }
        // The content of the reply is not used, and the request changes nothing at the home.
        let is_responsive = self.ask(home.clone(), Ask::Evacuation, REPLY_TIMEOUT_MS / 2).await.is_some();
        if !is_responsive {
            self.skip(&home.vm, SKIP_US);
        }
        is_responsive
    }
}
