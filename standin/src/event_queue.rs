//! The event queue of a simulation in virtual time.

use std::collections::BTreeMap;

/// Events ordered by time; events at the same time keep the order in which they were scheduled.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(u64, u64), E>,
    next_id: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), next_id: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        self.events.insert((at_us, self.next_id), event);
        self.next_id += 1;
    }

    /// Removes the next event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let ((at_us, _), event) = self.events.pop_first()?;
        Some((at_us, event))
    }
}
