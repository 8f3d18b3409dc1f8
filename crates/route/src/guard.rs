//! Accounting of one call in flight.

use std::{cell::RefCell, rc::Rc, time::Instant};

use crate::{
    Outcome,
    load::LengthClass,
    pool::{Pool, StartedCall},
    target::Target,
};

/// Accounts for one call on a target; dropping it without [`finish`](Self::finish) counts as
/// cancelled and says nothing about the target.
#[derive(Debug)]
pub struct InFlightGuard {
    pool: Rc<RefCell<Pool>>,
    target: Rc<Target>,
    class: LengthClass,
    call: StartedCall,
    first_byte_at: Option<Instant>,
}

impl InFlightGuard {
    pub(crate) fn new(
        pool: Rc<RefCell<Pool>>,
        target: Rc<Target>,
        class: LengthClass,
        call: StartedCall,
    ) -> Self {
        target.state.borrow_mut().load.add(class, call.priority);
        Self { pool, target, class, call, first_byte_at: None }
    }

    /// Returns whether the call probes an ejected target.
    pub fn is_probe(&self) -> bool {
        self.call.probe
    }

    /// Takes note of the first byte of the response; later calls have no effect.
    pub fn first_byte(&mut self, now: Instant) {
        if self.first_byte_at.is_none() {
            self.first_byte_at = Some(now);
            self.pool.borrow_mut().first_byte(&self.target, &self.call, now);
        }
    }

    /// Ends the call. `tokens` is the number of generated tokens, 0 if it is not known.
    pub fn finish(mut self, outcome: Outcome, tokens: u64, now: Instant) {
        if outcome == Outcome::Ok {
            match self.first_byte_at {
                Some(first) => {
                    let duration = now.saturating_duration_since(first);
                    self.pool.borrow_mut().generated(&self.target, tokens, duration, now);
                }
                None => self.first_byte(now),
            }
        }
        self.pool.borrow_mut().finish(&self.target, &self.call, outcome, now);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.target.state.borrow_mut();
        state.load.remove(self.class, self.call.priority);
        state.health.call_ended(self.call.number);
        if self.call.probe {
            state.health.abandon_probe();
        }
    }
}
