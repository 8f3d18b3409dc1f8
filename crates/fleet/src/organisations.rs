//! Organisations of the deployment and the keys that identify them.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    hash::{BuildHasher, RandomState},
    rc::Rc,
};

use deck_core::id::OrganisationId;

/// Key with which a caller identifies its organisation. Its text is never shown in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Organisation as operators configure it.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, which targets receive with each request of the organisation.
    pub name: OrganisationId,
    /// Priority of its requests, which replaces that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Organisations of a configuration, found by their keys.
///
/// Keys are stored as hashes with random secrets, so that the time of a look-up says nothing about
/// the keys, and no dump of the state contains one.
#[derive(Clone, Default)]
pub struct Organisations {
    hashers: [RandomState; 2],
    /// Organisations by the hash of each of their keys.
    by_key: HashMap<u128, Rc<Organisation>>,
    /// All organisations, in the order of the configuration. Invariant: their names are unique.
    all: Vec<Rc<Organisation>>,
}

impl fmt::Debug for Organisations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.all).finish()
    }
}

impl Organisations {
    /// Creates the look-up table from organisations and their keys.
    ///
    /// # Errors
    ///
    /// Names the entry of an unusable or duplicate name, an empty key or a key that two organisations have.
    pub fn new(entries: Vec<(Organisation, Vec<ApiKey>)>) -> Result<Self, String> {
        let mut organisations = Self::default();
        let mut names = HashSet::new();
        for (organisation, keys) in entries {
            let name = &organisation.name;
            if name.is_empty() {
                return Err("an organisation has no name".to_owned());
            }
            // Targets receive the name in a header.
            if name.chars().any(char::is_control) || name.trim() != name {
                return Err(format!("no header can carry the name {name:?} of an organisation"));
            }
            if !names.insert(name.clone()) {
                return Err(format!("two organisations are named {name:?}"));
            }
            let organisation = Rc::new(organisation);
            for (position, key) in keys.iter().enumerate() {
                let name = &organisation.name;
                if key.0.is_empty() {
                    return Err(format!("key {position} of organisation {name:?} is empty"));
                }
                let hash = organisations.hash(key);
                match organisations.by_key.insert(hash, organisation.clone()) {
                    Some(other) if other.name != *name => {
                        let other = &other.name;
                        return Err(format!(
                            "key {position} of organisation {name:?} is also one of {other:?}"
                        ));
                    }
                    _ => {}
                }
            }
            organisations.all.push(organisation);
        }
        Ok(organisations)
    }

    /// Returns the organisation that has the key.
    pub fn of_key(&self, key: &ApiKey) -> Option<&Rc<Organisation>> {
        self.by_key.get(&self.hash(key))
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.all.iter()
    }

    fn hash(&self, key: &ApiKey) -> u128 {
        let [high, low] = [0, 1].map(|index| u128::from(self.hashers[index].hash_one(&key.0)));
        high << 64 | low
    }
}
