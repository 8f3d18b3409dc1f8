//! Typed and validated settings from INI files.
//!
//! Programs read their settings with [`Reader`]. Each read specifies the section and the key, so
//! that an error can name file, section, key, value and what is allowed. [`Reader::check_unknown_keys`] returns
//! an error for keys that were never read, such as misspelt ones.

pub mod common;

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use quick_error::quick_error;

quick_error! {
    /// Error in a settings file.
    #[derive(Debug)]
    pub enum ConfError {
        /// The file cannot be read.
        Io(file: PathBuf, error: std::io::Error) {
            display("{}: {error}", file.display())
            source(error)
        }
        /// The file is not valid INI.
        Syntax(file: PathBuf, message: String) {
            display("{}: {message}", file.display())
        }
        /// A required key is absent or empty.
        Missing(file: PathBuf, section: String, key: String, allowed: String) {
            display("{}: [{section}] {key}: missing; expected {allowed}", file.display())
        }
        /// A key has a value that is not allowed.
        Value(file: PathBuf, section: String, key: String, found: String, allowed: String) {
            display("{}: [{section}] {key} = {found}: not allowed; expected {allowed}", file.display())
        }
        /// The file has a key that the program does not know.
        Unknown(file: PathBuf, section: String, key: String) {
            display("{}: [{section}] {key}: unknown key", file.display())
        }
    }
}

/// Reader of the values in a settings file.
#[derive(Debug)]
pub struct Reader {
    file: PathBuf,
    ini: ini::Ini,
    /// Section and key of each value that was requested, present in the file or not.
    requested_keys: RefCell<BTreeSet<(String, String)>>,
}

impl Reader {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Io`] if the file cannot be read and [`ConfError::Syntax`] if it is not
    /// valid INI.
    pub fn try_open(file: &Path) -> Result<Self, ConfError> {
        let text =
            std::fs::read_to_string(file).map_err(|error| ConfError::Io(file.to_owned(), error))?;
        Self::try_parse(file, &text)
    }

    /// Parses settings from `text`; errors name `file` as the source.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Syntax`] if the text is not valid INI.
    pub fn try_parse(file: &Path, text: &str) -> Result<Self, ConfError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|error| ConfError::Syntax(file.to_owned(), error.to_string()))?;
        Ok(Self { file: file.to_owned(), ini, requested_keys: RefCell::default() })
    }

    /// Returns the value of a key as text; `None` if the key is absent.
    pub fn text(&self, section: &str, key: &str) -> Option<String> {
        self.requested_keys.borrow_mut().insert((section.to_owned(), key.to_owned()));
        self.ini.section(Some(section))?.get(key).map(str::to_owned)
    }

    /// Returns the value of a required key, which must not be empty; `allowed` describes the
    /// expected value in the error.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Missing`] if the key is absent or empty.
    pub fn required_text(
        &self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Result<String, ConfError> {
        match self.text(section, key) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(ConfError::Missing(
                self.file.clone(),
                section.to_owned(),
                key.to_owned(),
                allowed.to_owned(),
            )),
        }
    }

    /// Returns the value of a required key as an address of the form `ip:port`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is absent or its value is not an address.
    pub fn address(&self, section: &str, key: &str) -> Result<SocketAddr, ConfError> {
        let text = self.required_text(section, key, "ip:port")?;
        text.parse().map_err(|_| self.value_error(section, key, &text, "ip:port"))
    }

    /// Returns the value of a key as a list of addresses separated by commas; the list is empty if
    /// the key is absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Value`] if an entry is not an address.
    pub fn addresses(&self, section: &str, key: &str) -> Result<Vec<SocketAddr>, ConfError> {
        let text = self.text(section, key).unwrap_or_default();
        let entries = text.split(',').map(str::trim).filter(|entry| !entry.is_empty());
        entries
            .map(|entry| {
                entry
                    .parse()
                    .map_err(|_| self.value_error(section, key, &text, "ip:port[, ip:port]..."))
            })
            .collect()
    }

    /// Returns the value of a key as a number in `min..=max`, or `default` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Value`] if the value is not a number in the range.
    pub fn number<T>(
        &self,
        section: &str,
        key: &str,
        default: T,
        min: T,
        max: T,
    ) -> Result<T, ConfError>
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let Some(text) = self.text(section, key) else { return Ok(default) };
        match text.parse::<T>() {
            Ok(number) if number >= min && number <= max => Ok(number),
            _ => {
                Err(self.value_error(section, key, &text, &format!("a number from {min} to {max}")))
            }
        }
    }

    /// Returns the value of a key in milliseconds as a duration in `min_ms..=max_ms`, or
    /// `default_ms` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Value`] if the value is not a number in the range.
    pub fn millis(
        &self,
        section: &str,
        key: &str,
        default_ms: u64,
        min_ms: u64,
        max_ms: u64,
    ) -> Result<Duration, ConfError> {
        self.number(section, key, default_ms, min_ms, max_ms).map(Duration::from_millis)
    }

    /// Returns the value of a key, which must be one of `allowed`, or `default` if the key is
    /// absent.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Value`] if the value is not one of `allowed`.
    pub fn choice(
        &self,
        section: &str,
        key: &str,
        default: &str,
        allowed: &[&str],
    ) -> Result<String, ConfError> {
        let text = self.text(section, key).unwrap_or_else(|| default.to_owned());
        if allowed.contains(&text.as_str()) {
            Ok(text)
        } else {
            Err(self.value_error(section, key, &text, &format!("one of {}", allowed.join(", "))))
        }
    }

    /// Returns the error for a key whose value is not allowed.
    pub fn value_error(&self, section: &str, key: &str, found: &str, allowed: &str) -> ConfError {
        ConfError::Value(
            self.file.clone(),
            section.to_owned(),
            key.to_owned(),
            found.to_owned(),
            allowed.to_owned(),
        )
    }

    /// Checks that each key of the file has been read through this reader.
    ///
    /// # Errors
    ///
    /// Returns [`ConfError::Unknown`] for the first key that has not been read.
    pub fn check_unknown_keys(&self) -> Result<(), ConfError> {
        let requested_keys = self.requested_keys.borrow();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                if !requested_keys.contains(&(section.to_owned(), key.to_owned())) {
                    return Err(ConfError::Unknown(
                        self.file.clone(),
                        section.to_owned(),
                        key.to_owned(),
                    ));
                }
            }
        }
        Ok(())
    }
}
