//! Short form of targets for the feed: a list of thousands of targets goes to hundreds of nodes at
//! the same time, when a fleet starts again.

use std::{collections::HashMap, net::SocketAddr};

use deck_core::id::{TargetId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::{Target, TargetChanges, TargetState};

/// Changes of targets in which each name of a service, data centre or model stands once.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PackedChanges {
    /// Whether these are all targets.
    all: bool,
    /// Names that rows refer to by their index.
    names: Vec<String>,
    rows: Vec<Row>,
    removed: Vec<TargetId>,
}

/// One target: id, service, address, data centre, whether it is draining, slots, start, and the
/// versions of its models.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Row(TargetId, usize, SocketAddr, usize, bool, u32, u64, Vec<(usize, WeightVersion)>);

impl PackedChanges {
    pub(crate) fn pack(changes: &TargetChanges) -> Self {
        let (all, targets, removed) = match changes {
            TargetChanges::All(targets) => (true, targets, Vec::new()),
            TargetChanges::Some { changed, removed } => (false, changed, removed.clone()),
        };
        let mut names = Names::default();
        let mut row = |target: &Target| {
            let versions = target.models.iter();
            Row(
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
        Self { all, names: names.list, rows, removed }
    }

    /// Returns the changes. A row that refers to a name that is missing is left out.
    pub(crate) fn unpack(self) -> TargetChanges {
        let name = |index: usize| self.names.get(index).cloned();
        let target = |row: Row| {
            let Row(id, service, address, data_centre, draining, slots, started_at_ms, versions) =
                row;
            let models = versions.into_iter().map(|(model, version)| Some((name(model)?, version)));
            Some(Target {
                id,
                service: name(service)?,
                address,
                data_centre: name(data_centre)?,
                state: if draining { TargetState::Draining } else { TargetState::Ready },
                slots,
                models: models.collect::<Option<_>>()?,
                started_at_ms,
            })
        };
        let targets = self.rows.into_iter().filter_map(target).collect();
        match self.all {
            true => TargetChanges::All(targets),
            false => TargetChanges::Some { changed: targets, removed: self.removed },
        }
    }
}

/// Names and their indices.
#[derive(Debug, Default)]
struct Names {
    list: Vec<String>,
    indices: HashMap<String, usize>,
}

impl Names {
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
