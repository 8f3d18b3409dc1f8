//! What a check has found, and where.

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Allowed, but likely not what is meant.
    Warning,
    /// The configuration or an entry of it cannot work.
    Error,
}

/// Entry of a configuration, by its position in the list of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The configuration as a whole.
    Configuration,
    /// Limits on requests and connections of callers.
    Limits,
    /// Route.
    Route(usize),
    /// Service.
    Service(usize),
    /// Organisation.
    Organisation(usize),
}

/// Field of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(missing_docs, reason = "the names are those of the fields in deck-fleet")]
pub enum Field {
    Version,
    Name,
    Host,
    PathPrefix,
    Resumable,
    TargetLatency,
    Services,
    MaxAttempts,
    ResultDeadline,
    ItemDeadline,
    SingleVersion,
    Engine,
    Scaling,
    MaxHeadBytes,
    MaxBodyBytes,
    HeadTimeout,
    IdleTimeout,
    Keys,
}

/// What a check has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Entry that it is about.
    pub place: Place,
    /// Field of the entry; `None` if it is about the whole entry.
    pub field: Option<Field>,
    /// What is wrong, and what follows. Invariant: contains no key of an organisation.
    pub message: String,
}

impl Finding {
    pub(crate) fn error(place: Place, message: impl Into<String>) -> Self {
        Self { severity: Severity::Error, place, field: None, message: message.into() }
    }

    pub(crate) fn warning(place: Place, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(place, message) }
    }

    pub(crate) fn at(self, field: Field) -> Self {
        Self { field: Some(field), ..self }
    }
}
