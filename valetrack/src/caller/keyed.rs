//! Calls with a key: finds the home of the key and asks it, again if need be.
//!
//! Asking twice is safe, since the home joins presses of one key; so a broken link to a home is
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
use crate::link::message::{Answered, Ask, CallHead, Question, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::member::{Candidate, Members};
use crate::placement::run::Placer;
use crate::placement::{Placed, Verdict};
use crate::timeline::log as events;

/// Pause before the same nodes are asked again, in milliseconds.
const AGAIN_MS: u64 = 20;
/// A home has this much longer than the deadline for its reply, in milliseconds.
const SLACK_MS: u64 = 50;
/// Redirects that are followed before a pause.
const MOVES_MAX: u32 = 3;

/// What one node said of a press.
enum Said {
    /// The final answer.
    Final(Placed),
    /// Another VM is the home.
    Moved(Arc<str>),
    /// The page is about to be handed over.
    Later,
    /// Not this node, and it does not know which.
    NotHome,
    /// The node was never sent the press.
    Unsent,
    /// The press was sent and no reply came.
    Broken,
}

/// A page of a service.
type PageSlot = (Arc<str>, u16);

/// Finds homes and asks them.
pub struct KeyedRouter {
    placer: Rc<Placer>,
    members: watch::Receiver<Arc<Members>>,
    /// Homes that answered last, by service and page.
    homes: RefCell<HashMap<PageSlot, Arc<str>>>,
}

impl KeyedRouter {
    /// Makes a router that knows no home yet.
    pub fn new(placer: Rc<Placer>, members: watch::Receiver<Arc<Members>>) -> Self {
        Self { placer, members, homes: Default::default() }
    }

    /// Asks the home of a key until it has answered or the deadline has passed.
    pub async fn press(&self, head: CallHead, body: Bytes) -> Placed {
        let deadline = Moment::now() + Duration::from_millis(head.deadline_ms.into());
        let key = head.key.clone().unwrap_or_else(|| Arc::from(""));
        let page = page_of(digest(&head.service, &key));
        loop {
            let mut again = false;
            for node in self.candidates(&head.service, page) {
                match self.ask_and_follow(node, page, &head, &body, deadline).await {
                    Said::Final(placed) => return placed,
                    Said::Later | Said::Broken | Said::Moved(_) => {
                        again = true;
                        break;
                    }
                    Said::Unsent => again = true,
                    Said::NotHome => {}
                }
            }
            let next = Moment::now() + Duration::from_millis(AGAIN_MS);
            if !again || next >= deadline {
                break;
            }
            sleep(Duration::from_millis(AGAIN_MS)).await;
        }
        // The key may have run under an earlier press, so only its home could say that it did not.
        Placed::Verdict(Verdict::Unknown { code: Code::HomeUnreachable })
    }

    /// Returns the nodes that may be the home, the likeliest first.
    fn candidates(&self, service: &Arc<str>, page: u16) -> Vec<Candidate> {
        let members = self.members.borrow();
        let mut nodes: Vec<Candidate> = members.servers_of(service).collect();
        rank(service, page, &mut nodes, |node| node.vm.clone());
        let homes = self.homes.borrow();
        if let Some(home) = homes.get(&(service.clone(), page)) {
            // The sort is stable: the others keep their rank.
            nodes.sort_by_key(|node| node.vm != *home);
        }
        nodes
    }

    async fn ask_and_follow(
        &self,
        node: Candidate,
        page: u16,
        head: &CallHead,
        body: &Bytes,
        deadline: Moment,
    ) -> Said {
        let slot = (head.service.clone(), page);
        let mut target = Target { vm: node.vm, addr: node.link_addr };
        let mut said = Said::NotHome;
        for _ in 0..MOVES_MAX {
            said = self.ask(&target, head, body, deadline).await;
            match &said {
                Said::Moved(home) => match self.target_of(home) {
                    Some(moved) => target = moved,
                    None => return Said::Later,
                },
                Said::Final(_) => {
                    self.homes.borrow_mut().insert(slot, target.vm);
                    return said;
                }
                Said::Unsent | Said::Broken | Said::NotHome => {
                    self.homes.borrow_mut().remove(&slot);
                    return said;
                }
                Said::Later => return said,
            }
        }
        said
    }

    fn target_of(&self, vm: &Arc<str>) -> Option<Target> {
        let members = self.members.borrow();
        let member = members.get(vm)?;
        Some(Target { vm: member.vm.clone(), addr: member.link_addr })
    }

    async fn ask(&self, target: &Target, head: &CallHead, body: &Bytes, deadline: Moment) -> Said {
        let left = deadline.left();
        let attempt = self.placer.next_attempt();
        let head = CallHead { attempt, deadline_ms: left.as_millis() as u32, hlc: events::stamp(), ..head.clone() };
        let question = Question { ask: Ask::RunKeyed(head), body: body.clone() };
        let limit = left + Duration::from_millis(SLACK_MS);
        match self.placer.ask(target.clone(), question, limit).await {
            LinkResult::Reply(answered) => said(attempt, *answered),
            LinkResult::Unsent => Said::Unsent,
            LinkResult::Broken => Said::Broken,
        }
    }
}

fn said(attempt: AttemptId, answered: Answered) -> Said {
    events::observe(answered.head.riding.hlc);
    match answered.head.reply {
        Reply::Answer(head) if head.attempt == attempt => Said::Final(Placed::Answer(head, answered.body)),
        Reply::Moved { attempt: moved, home } if moved == attempt => Said::Moved(home),
        Reply::NotHome { attempt: refused, code } if refused == attempt => {
            if code == Code::Leaving.number() {
                Said::Later
            } else {
                Said::NotHome
            }
        }
        Reply::Bounce { attempt: bounced, .. } if bounced == attempt => Said::NotHome,
        _ => Said::Broken,
    }
}
