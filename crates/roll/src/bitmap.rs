//! Bitmap of the groups of a step that a trainer has received.

use quick_error::quick_error;

quick_error! {
    /// Error in the text encoding of a group bitmap.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BitmapError {
        /// The text is not an even number of hexadecimal digits.
        NotHex(found: String) {
            display("{found:?} is not an even number of hexadecimal digits")
        }
        /// A bit beyond the last group of the step is set.
        OutOfRange(group: u32, groups: u32) {
            display("group {group} is set, but a step has {groups} groups")
        }
    }
}

/// Set of the groups of one step. The text encoding is hexadecimal bytes; group `g` is bit `g % 8`
/// (least significant bit first) of byte `g / 8`. Missing trailing bytes count as zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupBitmap {
    bytes: Vec<u8>,
}

impl GroupBitmap {
    /// Parses the text encoding for a step with `groups` groups.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not hexadecimal or names a group that does not exist.
    pub fn try_parse(text: &str, groups: u32) -> Result<Self, BitmapError> {
        let not_hex = || BitmapError::NotHex(text.chars().take(64).collect());
        if !text.len().is_multiple_of(2) || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(not_hex());
        }
        let hex_pairs = (0..text.len()).step_by(2).map(|at| text.get(at..at + 2));
        let bytes: Option<Vec<u8>> =
            hex_pairs.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect();
        let bitmap = Self { bytes: bytes.ok_or_else(not_hex)? };
        let out_of_range = bitmap.iter().find(|group| *group >= groups);
        match out_of_range {
            Some(group) => Err(BitmapError::OutOfRange(group, groups)),
            None => Ok(bitmap),
        }
    }

    /// Returns whether the group is in the set.
    pub fn contains(&self, group: u32) -> bool {
        self.bytes.get(group as usize / 8).is_some_and(|byte| byte & (1 << (group % 8)) != 0)
    }

    /// Adds a group to the set.
    pub fn insert(&mut self, group: u32) {
        let byte = group as usize / 8;
        if self.bytes.len() <= byte {
            self.bytes.resize(byte + 1, 0);
        }
        self.bytes[byte] |= 1 << (group % 8);
    }

    /// Returns the groups in the set in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        (0..self.bytes.len() as u32 * 8).filter(|group| self.contains(*group))
    }
}

impl std::fmt::Display for GroupBitmap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
