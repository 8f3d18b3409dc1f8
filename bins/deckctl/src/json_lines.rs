//! Line numbers of the values of a JSON document.

use std::collections::HashMap;

/// Returns the line, counted from 1, of each value by its path, such as `Routes[3].Host`. The line of a
/// field is that of its name.
///
/// The text has to be valid JSON; for other text the result is incomplete.
pub fn value_lines(text: &str) -> HashMap<String, usize> {
    let mut scanner =
        Scanner { bytes: text.as_bytes(), position: 0, line: 1, lines: HashMap::new() };
    scanner.skip_whitespace();
    scanner.scan_value(String::new(), scanner.line);
    scanner.lines
}

/// Reads a JSON document once, from its start to its end.
struct Scanner<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Line at `position`.
    line: usize,
    lines: HashMap<String, usize>,
}

impl Scanner<'_> {
    fn scan_value(&mut self, path: String, line: usize) {
        let start = self.peek();
        match start {
            Some(b'{') => self.scan_members(&path),
            Some(b'[') => self.scan_elements(&path),
            Some(b'"') => drop(self.scan_string()),
            _ => {
                self.skip_while(|byte| !matches!(byte, b',' | b']' | b'}') && !is_whitespace(byte))
            }
        }
        self.lines.insert(path, line);
    }

    fn scan_members(&mut self, path: &str) {
        self.position += 1;
        loop {
            self.skip_whitespace();
            if self.peek() != Some(b'"') {
                break;
            }
            let line = self.line;
            let name = self.scan_string();
            self.skip_while(|byte| byte == b':' || is_whitespace(byte));
            let member = if path.is_empty() { name } else { format!("{path}.{name}") };
            self.scan_value(member, line);
            self.skip_separator();
        }
        self.position += 1;
    }

    fn scan_elements(&mut self, path: &str) {
        self.position += 1;
        for index in 0.. {
            self.skip_whitespace();
            if matches!(self.peek(), None | Some(b']')) {
                break;
            }
            self.scan_value(format!("{path}[{index}]"), self.line);
            self.skip_separator();
        }
        self.position += 1;
    }

    /// Reads a string and returns its text, with escapes left as they are.
    fn scan_string(&mut self) -> String {
        self.position += 1;
        let start = self.position;
        while let Some(byte) = self.peek() {
            match byte {
                b'"' => break,
                b'\\' => self.position += 2,
                _ => self.position += 1,
            }
        }
        let end = self.position.min(self.bytes.len());
        self.position += 1;
        String::from_utf8_lossy(&self.bytes[start..end]).into_owned()
    }

    fn skip_separator(&mut self) {
        self.skip_whitespace();
        if self.peek() == Some(b',') {
            self.position += 1;
        }
    }

    fn skip_whitespace(&mut self) {
        self.skip_while(is_whitespace);
    }

    fn skip_while(&mut self, skips: impl Fn(u8) -> bool) {
        while let Some(byte) = self.peek().filter(|byte| skips(*byte)) {
            self.line += usize::from(byte == b'\n');
            self.position += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }
}

fn is_whitespace(byte: u8) -> bool {
    byte.is_ascii_whitespace()
}
