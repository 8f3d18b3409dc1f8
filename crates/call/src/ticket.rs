//! Tickets: identifiers that only the issuing process may run, at most once.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use deck_core::id::{Incarnation, OrganisationId, VmId, random_id};

use crate::options::OnceOptions;

/// First part of every ticket; distinguishes tickets from keys that callers choose.
pub const TICKET_PREFIX: &str = "ticket.";

/// Used tickets in the order of issue beyond which they are removed.
const MAX_STALE_ENTRIES: usize = 1024;

/// Parts of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// VM that issued it.
    pub vm: VmId,
    /// Process that issued it.
    pub incarnation: Incarnation,
    /// Random part.
    pub nonce: String,
}

impl Ticket {
    /// Reads a ticket; `None` if the text is none.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(TICKET_PREFIX)?;
        // The name of the VM may contain dots, so the parts are taken from the end.
        let mut parts = rest.rsplitn(3, '.');
        let nonce = parts.next().filter(|nonce| nonce.len() == 32)?;
        let incarnation = parts.next()?.parse().ok()?;
        let vm = parts.next().filter(|vm| !vm.is_empty())?;
        Some(Self { vm: vm.to_owned(), incarnation, nonce: nonce.to_owned() })
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{TICKET_PREFIX}{}.{}.{}", self.vm, self.incarnation, self.nonce)
    }
}

struct IssuedTicket {
    nonce: String,
    issued_at: Instant,
}

/// Tickets that this process has issued and that are not used.
///
/// A ticket that is not here was used, has expired or was never issued: it is not run.
pub struct TicketIssuer {
    vm: VmId,
    incarnation: Incarnation,
    options: OnceOptions,
    unused: HashMap<String, OrganisationId>,
    issue_order: VecDeque<IssuedTicket>,
}

impl TicketIssuer {
    /// Returns an empty set for one process.
    pub fn new(vm: VmId, incarnation: Incarnation, options: OnceOptions) -> Self {
        Self { vm, incarnation, options, unused: HashMap::new(), issue_order: VecDeque::new() }
    }

    /// Issues a ticket; `None` if too many are not used.
    pub fn issue(&mut self, organisation: &str, now: Instant) -> Option<Ticket> {
        self.remove_expired(now);
        if self.unused.len() >= self.options.max_tickets {
            return None;
        }
        let nonce = random_id();
        self.unused.insert(nonce.clone(), organisation.to_owned());
        self.issue_order.push_back(IssuedTicket { nonce: nonce.clone(), issued_at: now });
        Some(Ticket { vm: self.vm.clone(), incarnation: self.incarnation, nonce })
    }

    /// Returns whether this process issued the ticket, as its name says.
    pub fn is_issued_here(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Takes an unused ticket of the organisation; a second call for it returns `false`.
    pub fn redeem(&mut self, ticket: &Ticket, organisation: &str, now: Instant) -> bool {
        self.remove_expired(now);
        let is_valid = self.unused.get(&ticket.nonce).is_some_and(|owner| owner == organisation);
        if is_valid {
            self.unused.remove(&ticket.nonce);
        }
        is_valid
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.issue_order.front() {
            let unused = self.unused.contains_key(&oldest.nonce);
            let expired =
                now.saturating_duration_since(oldest.issued_at) >= self.options.ticket_keep;
            if unused && !expired {
                break;
            }
            self.unused.remove(&oldest.nonce);
            self.issue_order.pop_front();
        }
        // Used tickets behind an unused one.
        if self.issue_order.len() > 2 * self.unused.len() + MAX_STALE_ENTRIES {
            let unused = &self.unused;
            self.issue_order.retain(|issued| unused.contains_key(&issued.nonce));
        }
    }
}
