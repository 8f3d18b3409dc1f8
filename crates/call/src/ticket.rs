//! Tickets: idempotency identifiers issued by this process, each valid for at most one execution.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use deck_core::id::{Incarnation, OrganisationId, VmId, random_id};

use crate::options::AtMostOnceOptions;

/// Prefix of every ticket, which distinguishes it from an idempotency key chosen by a caller.
pub const TICKET_PREFIX: &str = "ticket.";

/// Number of entries of used tickets in `issue_order` above which the queue is compacted.
const MAX_STALE_ENTRIES: usize = 1024;

/// Parsed ticket. Only the process that it names executes the call with the ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// VM that issued the ticket.
    pub vm: VmId,
    /// Incarnation of the process that issued the ticket.
    pub incarnation: Incarnation,
    /// Random identifier of the ticket.
    pub nonce: String,
}

impl Ticket {
    /// Parses a ticket; `None` if the text is not a ticket.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(TICKET_PREFIX)?;
        // The VM name may contain dots, so the text is split from the end.
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

/// Nonce and issue time of a ticket: an entry of `TicketIssuer::issue_order`.
struct IssuedTicket {
    nonce: String,
    issued_at: Instant,
}

/// Issues tickets and keeps those that are unused.
///
/// A ticket that is not kept was used, has expired or was never issued; its call is not executed.
pub struct TicketIssuer {
    vm: VmId,
    incarnation: Incarnation,
    options: AtMostOnceOptions,
    /// Organisation of each unused ticket, by nonce.
    unused: HashMap<String, OrganisationId>,
    /// Tickets, oldest first; may contain entries of used tickets.
    issue_order: VecDeque<IssuedTicket>,
}

impl TicketIssuer {
    /// Creates the issuer for the process with this VM and incarnation, which every ticket names.
    pub fn new(vm: VmId, incarnation: Incarnation, options: AtMostOnceOptions) -> Self {
        Self { vm, incarnation, options, unused: HashMap::new(), issue_order: VecDeque::new() }
    }

    /// Issues a ticket; `None` if too many tickets are unused.
    pub fn issue(&mut self, organisation: &str, now: Instant) -> Option<Ticket> {
        self.remove_expired(now);
        if self.unused.len() >= self.options.max_unused_tickets {
            return None;
        }
        let nonce = random_id();
        self.unused.insert(nonce.clone(), organisation.to_owned());
        self.issue_order.push_back(IssuedTicket { nonce: nonce.clone(), issued_at: now });
        Some(Ticket { vm: self.vm.clone(), incarnation: self.incarnation, nonce })
    }

    /// Returns `true` if the ticket names this process as its issuer.
    pub fn is_issued_here(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Uses up a ticket. Returns `false` if it was used before, has expired or belongs to another
    /// organisation.
    pub fn redeem(&mut self, ticket: &Ticket, organisation: &str, now: Instant) -> bool {
        self.remove_expired(now);
        let is_valid = self.unused.get(&ticket.nonce).is_some_and(|owner| owner == organisation);
        if is_valid {
            self.unused.remove(&ticket.nonce);
        }
        is_valid
    }

    /// Removes expired tickets, and entries of used ones.
    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.issue_order.front() {
            let unused = self.unused.contains_key(&oldest.nonce);
            let expired =
                now.saturating_duration_since(oldest.issued_at) >= self.options.ticket_lifetime;
            if unused && !expired {
                break;
            }
            self.unused.remove(&oldest.nonce);
            self.issue_order.pop_front();
        }
        // Entries of used tickets remain behind an unused one.
        if self.issue_order.len() > 2 * self.unused.len() + MAX_STALE_ENTRIES {
            let unused = &self.unused;
            self.issue_order.retain(|issued| unused.contains_key(&issued.nonce));
        }
    }
}
