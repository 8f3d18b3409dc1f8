//! Compact encoding of target changes for the feed. When a fleet restarts, lists of thousands of
//! targets are sent to hundreds of nodes at the same time.

use std::{collections::HashMap, net::SocketAddr};

use deck_core::id::{TargetId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{Target, TargetChanges, TargetLifetime, TargetState};

/// Target changes in which each service, data centre or model name is stored only once.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PackedChanges {
    /// Whether the list of targets is complete.
    #[serde(rename = "all")]
    is_complete: bool,
    /// Names that `rows` refer to by index.
    names: Vec<String>,
    /// Added or changed targets, or all targets if the list is complete.
    rows: Vec<PackedTarget>,
    /// Ids of removed targets.
    removed: Vec<TargetId>,
    /// Indices into `names` of the software version of each row, for the rows that have one. Not part
    /// of the rows, whose length is fixed for nodes of earlier releases.
    #[serde(rename = "software", default, skip_serializing_if = "Vec::is_empty")]
    software_versions: Vec<(usize, usize)>,
    /// Lifetimes of the rows whose targets may be reclaimed or leave at a known time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lifetimes: Vec<(usize, TargetLifetime)>,
}

/// One target: id, service, address, data centre, whether it is draining, slots, start time, and
/// the versions of its models. Names are indices into [`PackedChanges::names`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PackedTarget(
    TargetId,
    usize,
    SocketAddr,
    usize,
    bool,
    u32,
    u64,
    Vec<(usize, WeightVersion)>,
);

impl PackedChanges {
    pub(crate) fn pack(changes: &TargetChanges) -> Self {
        let (is_complete, targets, removed) = match changes {
            TargetChanges::Complete(targets) => (true, targets, Vec::new()),
            TargetChanges::Incremental { changed, removed } => (false, changed, removed.clone()),
        };
        let mut names = NameTable::default();
        let mut row = |target: &Target| {
            let versions = target.models.iter();
            PackedTarget(
                target.id.clone(),
                names.index(&target.service),
                target.address,
                names.index(&target.data_centre),
                target.state == TargetState::Draining,
                target.slots,
                target.started_at_ms,
                versions.map(|(model, version)| (names.index(model), *version)).collect(),
            )
        };
        let rows = targets.iter().map(&mut row).collect();
        let software_versions = targets.iter().enumerate().filter_map(|(row, target)| {
            Some((row, names.index(target.software_version.as_deref()?)))
        });
        let software_versions = software_versions.collect();
        let lifetimes = targets.iter().map(|target| target.lifetime).enumerate();
        let lifetimes =
            lifetimes.filter(|(_, lifetime)| *lifetime != TargetLifetime::default()).collect();
        Self { is_complete, names: names.list, rows, removed, software_versions, lifetimes }
    }

    /// Returns whether the list of targets is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Decodes the changes. Targets that refer to a missing name are skipped.
    pub(crate) fn unpack(self) -> TargetChanges {
        let name = |index: usize| self.names.get(index).cloned();
        let software_versions: HashMap<usize, usize> = self.software_versions.into_iter().collect();
        let lifetimes: HashMap<usize, TargetLifetime> = self.lifetimes.into_iter().collect();
        let target = |(index, row): (usize, PackedTarget)| {
            let PackedTarget(
                id,
                service,
                address,
                data_centre,
                draining,
                slots,
                started_at_ms,
                versions,
            ) = row;
            let models = versions.into_iter().map(|(model, version)| Some((name(model)?, version)));
            Some(Target {
                id,
                service: name(service)?,
                address,
                data_centre: name(data_centre)?,
                state: if draining { TargetState::Draining } else { TargetState::Ready },
                software_version: match software_versions.get(&index) {
                    Some(version) => Some(name(*version)?),
                    None => None,
                },
                slots,
                models: models.collect::<Option<_>>()?,
                started_at_ms,
                lifetime: lifetimes.get(&index).copied().unwrap_or_default(),
            })
        };
        let targets = self.rows.into_iter().enumerate().filter_map(target).collect();
        match self.is_complete {
            true => TargetChanges::Complete(targets),
            false => TargetChanges::Incremental { changed: targets, removed: self.removed },
        }
    }
}

/// Distinct names and their indices.
#[derive(Debug, Default)]
struct NameTable {
    list: Vec<String>,
    indices: HashMap<String, usize>,
}

impl NameTable {
    /// Returns the index of a name, which is added if it is new.
    fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.list.len();
        self.list.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }
}
