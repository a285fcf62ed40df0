//! What happens next in a world of virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events by their moments; those of one moment come in the order in which they were put in.
#[derive(Debug)]
pub struct EventQueue<E> {
    moments: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, E>,
    next_id: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { moments: BinaryHeap::new(), events: HashMap::new(), next_id: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Puts in an event that happens at a moment, in microseconds.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        let id = self.next_id;
        self.next_id += 1;
        self.events.insert(id, event);
        self.moments.push(Reverse((at_us, id)));
    }

    /// Takes out the next event with its moment, in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at_us, id)) = self.moments.pop()?;
        // Each moment was put in with its event.
        self.events.remove(&id).map(|event| (at_us, event))
    }
}
