//! Shell of quotas, on the thread of calls and links: asks homes for credits, and grants them.

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
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{Members, Phase};
use crate::metric::Metrics;

/// Time that a home has to answer, in milliseconds: several ways between failure domains and back on a busy machine.
const ASK_MS: u64 = 150;
/// Time for which a home that did not answer is passed over, in microseconds.
const PASSED_OVER_US: u64 = 1_000_000;

/// What quotas are joined to.
pub struct QuotaParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Ring to the link thread.
    pub to_link: Sender<LinkJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// VMs.
    pub members: watch::Receiver<Arc<Members>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// The quotas of one node, as entry and as home.
pub struct Quotas {
    parts: QuotaParts,
    allowances: RefCell<Allowances>,
    home: RefCell<QuotaHome>,
    ranking: RefCell<HomeRanking>,
    /// Homes that did not answer, and until when they are passed over, in microseconds.
    passed_over: RefCell<HashMap<Arc<str>, u64>>,
}

impl Quotas {
    /// Makes quotas that know no account yet.
    pub fn new(parts: QuotaParts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            allowances: RefCell::default(),
            home: RefCell::default(),
            ranking: RefCell::default(),
            passed_over: RefCell::default(),
        })
    }

    /// Forgets accounts that are no longer named, and follows how many nodes there are; runs as long as the node.
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

    /// Admits a call of an account, or returns when to come back, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns when the account has room again, as far as is known.
    pub async fn admit(&self, account: &Arc<str>) -> Result<(), u32> {
        let Some(rule) = self.rule(account).filter(|rule| rule.is_limited()) else {
            return Ok(());
        };
        let step = self.allowances.borrow_mut().begin(&rule, now_us());
        let step = match step {
            Step::Ask { calls } => self.ask_homes(&rule, calls).await,
            Step::Admit | Step::Refuse { .. } => step,
        };
        match step {
            Step::Admit => Ok(()),
            Step::Ask { .. } => Err(0),
            Step::Refuse { retry_after_ms } => {
                self.parts.metrics.over_rate.inc();
                Err(retry_after_ms)
            }
        }
    }

    /// Takes back what a call was admitted by, since it certainly did not start.
    pub fn give_back(&self, account: &Arc<str>) {
        self.allowances.borrow_mut().give_back(account, now_us());
    }

    fn rule(&self, account: &str) -> Option<Arc<AccountRule>> {
        let bundle = self.parts.bundle.borrow();
        bundle.as_ref()?.bundle.accounts.get(account).cloned()
    }

    /// Asks the account's home for credits, and the node that stands in for it where it does not answer.
    async fn ask_homes(&self, rule: &AccountRule, calls: u32) -> Step {
        let members = self.parts.members.borrow().clone();
        let homes = self.ranking.borrow_mut().homes(&rule.name, &members).to_vec();
        let mut instead_of = None;
        for home in homes {
            if self.is_passed_over(&home.vm) {
                instead_of = Some(home.vm);
                continue;
            }
            if let Some(grant) = self.ask(&home, rule, calls, instead_of.as_ref()).await {
                return self.allowances.borrow_mut().granted(&rule.name, grant, now_us());
            }
            self.passed_over.borrow_mut().insert(home.vm.clone(), now_us() + PASSED_OVER_US);
            instead_of = Some(home.vm);
        }
        log::info!("event=quota.unanswered account={}", rule.name);
        self.parts.metrics.quota_unanswered.inc();
        self.allowances.borrow_mut().unanswered(rule, now_us())
    }

    fn is_passed_over(&self, vm: &str) -> bool {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until_us| now_us() < *until_us);
        passed_over.contains_key(vm)
    }

    async fn ask(&self, home: &Target, rule: &AccountRule, calls: u32, instead_of: Option<&Arc<str>>) -> Option<Grant> {
        if home.vm == self.parts.vm {
            return self.grant(&rule.name, calls, instead_of).await;
        }
        self.parts.metrics.quota_questions.inc();
        let ask = Ask::Quota { account: rule.name.clone(), calls, instead_of: instead_of.cloned() };
        let question = Question { ask, body: Bytes::new() };
        let limit = Duration::from_millis(ASK_MS);
        let LinkResult::Reply(answered) = peer::ask_within(&self.parts.to_link, home.clone(), question, limit).await
        else {
            return None;
        };
        match answered.head.reply {
            Reply::Quota { calls, retry_after_ms } => Some(Grant { calls, retry_after_ms }),
            _ => None,
        }
    }

    /// Grants credits to an entry that takes this node for the account's home; none where the account is unknown, or
    /// the home that this node is to stand in for answers it.
    pub async fn grant(&self, account: &Arc<str>, calls: u32, instead_of: Option<&Arc<str>>) -> Option<Grant> {
        let rule = self.rule(account)?;
        if let Some(home) = instead_of
            && self.answers(home).await
        {
            return None;
        }
        Some(self.home.borrow_mut().grant(&rule, calls, steady_us()))
    }

    /// Returns whether another node answers this one.
    async fn answers(&self, vm: &Arc<str>) -> bool {
        if self.is_passed_over(vm) {
            return false;
        }
        let addr = self.parts.members.borrow().get(vm).map(|member| member.link_addr);
        let Some(addr) = addr else {
            return false;
        };
        let question = Question { ask: Ask::Evacuation, body: Bytes::new() };
        let target = Target { vm: vm.clone(), addr };
        let limit = Duration::from_millis(ASK_MS / 2);
        let result = peer::ask_within(&self.parts.to_link, target, question, limit).await;
        let answers = matches!(result, LinkResult::Reply(_));
        if !answers {
            self.passed_over.borrow_mut().insert(vm.clone(), now_us() + PASSED_OVER_US);
        }
        answers
    }
}
