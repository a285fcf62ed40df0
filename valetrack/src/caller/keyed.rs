//! Keyed calls: finds the home of the key and sends it the call, repeatedly if necessary.
//!
//! Submitting a call twice is safe, because the home joins submissions of one key. A broken link to a home is therefore
//! no reason to give up before the deadline.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::claim::rank::{digest, page_of, rank};
use crate::clock::Moment;
use crate::code::Code;
use crate::gate::AttemptId;
use crate::link::message::{Ask, CallHead, PeerReply, PeerRequest, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{Candidate, Members};
use crate::placement::run::Placer;
use crate::placement::{Placed, Verdict};
use crate::timeline::log as events;

/// Pause before the call is sent to the same nodes again.
const RETRY_PAUSE_MS: u64 = 20;
/// Time that a home has for its reply beyond the deadline.
const REPLY_SLACK_MS: u64 = 50;
/// Redirects that are followed before a pause.
const REDIRECTS_MAX: u32 = 3;

/// Result of submitting a call to one node.
enum SubmitResult {
    /// The final answer.
    Final(Placed),
    /// Another VM is the home.
    Moved(Arc<str>),
    /// The page is about to be handed over, so the call has to be submitted again.
    Later,
    /// The node is not the home and has no record of the home.
    NotHome,
    /// The call was not sent to the node.
    Unsent,
    /// The call was sent and no reply arrived.
    Broken,
}

/// A service and the number of one of its pages.
type ServicePage = (Arc<str>, u16);

/// Submits keyed calls to the homes of their keys.
pub struct KeyedRouter {
    placer: Rc<Placer>,
    members: watch::Receiver<Arc<Members>>,
    /// Node that answered last as the home, by service and page.
    homes: RefCell<HashMap<ServicePage, Arc<str>>>,
}

impl KeyedRouter {
    /// Creates a router without a record of any home.
    pub fn new(placer: Rc<Placer>, members: watch::Receiver<Arc<Members>>) -> Self {
        Self { placer, members, homes: Default::default() }
    }

    /// Submits a call to the home of its key until the home has answered or the deadline has passed.
    pub async fn submit(&self, head: CallHead, body: Bytes) -> Placed {
        let deadline = Moment::now() + Duration::from_millis(head.deadline_ms.into());
        let key = head.key.clone().unwrap_or_else(|| Arc::from(""));
        let page = page_of(digest(&head.service, &key));
        loop {
            let mut retry = false;
            for node in self.candidates(&head.service, page) {
                match self.submit_and_follow(node, page, &head, &body, deadline).await {
                    SubmitResult::Final(placed) => return placed,
                    SubmitResult::Later | SubmitResult::Broken | SubmitResult::Moved(_) => {
                        retry = true;
                        break;
                    }
                    SubmitResult::Unsent => retry = true,
                    SubmitResult::NotHome => {}
                }
            }
            let next = Moment::now() + Duration::from_millis(RETRY_PAUSE_MS);
            if !retry || next >= deadline {
                break;
            }
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        // The key may have run in an earlier submission; only its home has the record that it did not.
        Placed::Verdict(Verdict::Unknown { code: Code::HomeUnreachable })
    }

    /// Returns the nodes that may be the home, the most likely one first.
    fn candidates(&self, service: &Arc<str>, page: u16) -> Vec<Candidate> {
        let members = self.members.borrow();
        let mut nodes: Vec<Candidate> = members.servers_of(service).collect();
        rank(service, page, &mut nodes, |node| node.vm.clone());
        let homes = self.homes.borrow();
        if let Some(home) = homes.get(&(service.clone(), page)) {
            // The sort is stable, so the others keep their rank.
            nodes.sort_by_key(|node| node.vm != *home);
        }
        nodes
    }

    async fn submit_and_follow(
        &self,
        node: Candidate,
        page: u16,
        head: &CallHead,
        body: &Bytes,
        deadline: Moment,
    ) -> SubmitResult {
        let service_page = (head.service.clone(), page);
        let mut target = Target { vm: node.vm, addr: node.link_addr };
        let mut result = SubmitResult::NotHome;
        for _ in 0..REDIRECTS_MAX {
            result = self.submit_once(&target, head, body, deadline).await;
            match &result {
                SubmitResult::Moved(home) => match self.target_of(home) {
                    Some(moved) => target = moved,
                    None => return SubmitResult::Later,
                },
                SubmitResult::Final(_) => {
                    self.homes.borrow_mut().insert(service_page, target.vm);
                    return result;
                }
                SubmitResult::Unsent | SubmitResult::Broken | SubmitResult::NotHome => {
                    self.homes.borrow_mut().remove(&service_page);
                    return result;
                }
                SubmitResult::Later => return result,
            }
        }
        result
    }

    fn target_of(&self, vm: &Arc<str>) -> Option<Target> {
        let members = self.members.borrow();
        let member = members.get(vm)?;
        Some(Target { vm: member.vm.clone(), addr: member.link_addr })
    }

    async fn submit_once(&self, target: &Target, head: &CallHead, body: &Bytes, deadline: Moment) -> SubmitResult {
        let left = deadline.left();
        let attempt = self.placer.next_attempt();
        let mut head = CallHead { attempt, deadline_ms: left.as_millis() as u32, hlc: events::stamp(), ..head.clone() };
        self.placer.departures.attach(None, &mut head.headers);
        let request = PeerRequest { ask: Ask::RunKeyed(head), body: body.clone() };
        let limit = left + Duration::from_millis(REPLY_SLACK_MS);
        match self.placer.ask(target.clone(), request, limit).await {
            LinkResult::Reply(answered) => result_of(attempt, *answered),
            LinkResult::Unsent => SubmitResult::Unsent,
            LinkResult::Broken => SubmitResult::Broken,
        }
    }
}

fn result_of(attempt: AttemptId, answered: PeerReply) -> SubmitResult {
    events::observe(answered.head.riding.hlc);
    match answered.head.reply {
        Reply::Answer(head) if head.attempt == attempt => SubmitResult::Final(Placed::Answer(head, answered.body)),
        Reply::Moved { attempt: moved, home } if moved == attempt => SubmitResult::Moved(home),
        Reply::NotHome { attempt: refused, code } if refused == attempt => {
            if code == Code::Leaving.number() {
                SubmitResult::Later
            } else {
                SubmitResult::NotHome
            }
        }
        Reply::Bounce { attempt: declined, .. } if declined == attempt => SubmitResult::NotHome,
        _ => SubmitResult::Broken,
    }
}
