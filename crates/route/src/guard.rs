//! Guard that counts a call as in flight on its target.

use std::{cell::RefCell, rc::Rc, time::Instant};

use crate::{
    Outcome,
    load::LengthClass,
    pool::{Pool, StartedCall},
    target::Target,
};

/// Counts a call as in flight on its target until it is finished or dropped. Dropping it without
/// [`finish`](Self::finish) means that the call was cancelled and does not affect the target's
/// health.
#[derive(Debug)]
pub struct InFlightGuard {
    pool: Rc<RefCell<Pool>>,
    target: Rc<Target>,
    length_class: LengthClass,
    call: StartedCall,
    first_byte_at: Option<Instant>,
}

impl InFlightGuard {
    pub(crate) fn new(
        pool: Rc<RefCell<Pool>>,
        target: Rc<Target>,
        length_class: LengthClass,
        call: StartedCall,
    ) -> Self {
        target.state.borrow_mut().load.add(length_class, call.priority);
        Self { pool, target, length_class, call, first_byte_at: None }
    }

    /// Returns whether the call is a health probe of an ejected target.
    pub fn is_probe(&self) -> bool {
        self.call.is_probe
    }

    /// Records the time of the first response byte; only the first invocation has an effect.
    pub fn first_byte(&mut self, now: Instant) {
        if self.first_byte_at.is_none() {
            self.first_byte_at = Some(now);
            self.pool.borrow_mut().record_first_byte(&self.target, &self.call, now);
        }
    }

    /// Ends the call and records its outcome. `tokens` is the number of generated tokens, or 0 if
    /// unknown.
    pub fn finish(mut self, outcome: Outcome, tokens: u64, now: Instant) {
        if outcome == Outcome::Ok {
            match self.first_byte_at {
                Some(first) => {
                    let duration = now.saturating_duration_since(first);
                    self.pool.borrow_mut().record_generation(&self.target, tokens, duration, now);
                }
                None => self.first_byte(now),
            }
        }
        self.pool.borrow_mut().finish_call(&self.target, &self.call, outcome, now);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.target.state.borrow_mut();
        state.load.remove(self.length_class, self.call.priority);
        state.health.remove_pending_call(self.call.call_number);
        if self.call.is_probe {
            state.health.cancel_probe();
        }
    }
}
