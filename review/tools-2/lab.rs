//! Shared parts of the second review's drivers: HTTP calls, JSON, processes and settings of a small
//! deployment. Needs the standard library only.

#![allow(dead_code)]

use std::{
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const HOST: &str = "h.example";

/// A value of a JSON text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut position = 0;
        let value = parse_value(text, &mut position)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { f64::NAN }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn encode(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(value) => value.to_string(),
            Json::Number(value) => value.to_string(),
            Json::Text(text) => quote(text),
            Json::List(list) => {
                let parts: Vec<String> = list.iter().map(Json::encode).collect();
                format!("[{}]", parts.join(","))
            }
            Json::Table(fields) => {
                let parts: Vec<String> =
                    fields.iter().map(|(k, v)| format!("{}:{}", quote(k), v.encode())).collect();
                format!("{{{}}}", parts.join(","))
            }
        }
    }

    /// Replaces a field of a table.
    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Table(fields) = self {
            fields.retain(|(key, _)| key != name);
            fields.push((name.to_owned(), value));
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            c if (c as u32) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", c as u32);
            }
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

fn skip_space(text: &[u8], position: &mut usize) {
    while text.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn parse_value(text: &[u8], position: &mut usize) -> Option<Json> {
    skip_space(text, position);
    match text.get(*position)? {
        b'{' => {
            *position += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, position);
                if text.get(*position)? == &b'}' {
                    *position += 1;
                    return Some(Json::Table(fields));
                }
                let Json::Text(name) = parse_value(text, position)? else { return None };
                skip_space(text, position);
                (text.get(*position)? == &b':').then_some(())?;
                *position += 1;
                fields.push((name, parse_value(text, position)?));
                skip_space(text, position);
                if text.get(*position)? == &b',' {
                    *position += 1;
                }
            }
        }
        b'[' => {
            *position += 1;
            let mut list = Vec::new();
            loop {
                skip_space(text, position);
                if text.get(*position)? == &b']' {
                    *position += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(text, position)?);
                skip_space(text, position);
                if text.get(*position)? == &b',' {
                    *position += 1;
                }
            }
        }
        b'"' => {
            *position += 1;
            let mut bytes = Vec::new();
            loop {
                match text.get(*position)? {
                    b'"' => {
                        *position += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&bytes).into_owned()));
                    }
                    b'\\' => {
                        *position += 1;
                        match text.get(*position)? {
                            b'n' => bytes.push(b'\n'),
                            b't' => bytes.push(b'\t'),
                            b'r' => bytes.push(b'\r'),
                            b'u' => {
                                let digits = text.get(*position + 1..*position + 5)?;
                                let digits = std::str::from_utf8(digits).ok()?;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                bytes.extend_from_slice(c.to_string().as_bytes());
                                *position += 4;
                            }
                            other => bytes.push(*other),
                        }
                        *position += 1;
                    }
                    byte => {
                        bytes.push(*byte);
                        *position += 1;
                    }
                }
            }
        }
        b't' => {
            *position += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *position += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *position += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *position;
            while text.get(*position).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *position += 1;
            }
            std::str::from_utf8(&text[start..*position]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and receives the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let deadline = Instant::now() + timeout;
    let mut stream =
        TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1))).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_write_timeout(Some(timeout)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let mut received = Vec::new();
    let mut part = [0; 65536];
    loop {
        if let Some(answer) = parse_answer(&received, false)? {
            return Ok(answer);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        stream.set_read_timeout(Some(left)).map_err(text)?;
        match stream.read(&mut part) {
            Ok(0) => {
                return parse_answer(&received, true)?
                    .ok_or_else(|| "closed without a whole answer".to_owned());
            }
            Ok(count) => received.extend_from_slice(&part[..count]),
            Err(error) => return Err(text(error)),
        }
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Returns the answer in the received bytes, if it is complete.
pub fn parse_answer(bytes: &[u8], is_closed: bool) -> Result<Option<Answer>, String> {
    let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") else { return Ok(None) };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let status = status.ok_or("no status")?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    if let Some(length) = answer.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
        if rest.len() < length {
            return Ok(None);
        }
        answer.body = rest[..length].to_vec();
        return Ok(Some(answer));
    }
    if answer.header("transfer-encoding").is_some() {
        let mut position = 0;
        loop {
            let Some(line) = rest[position..].windows(2).position(|part| part == b"\r\n") else {
                return Ok(None);
            };
            let size = String::from_utf8_lossy(&rest[position..position + line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(text)?;
            position += line + 2;
            if rest.len() < position + size + 2 {
                return Ok(None);
            }
            if size == 0 {
                return Ok(Some(answer));
            }
            answer.body.extend_from_slice(&rest[position..position + size]);
            position += size + 2;
        }
    }
    if is_closed {
        answer.body = rest.to_vec();
        return Ok(Some(answer));
    }
    Ok(None)
}

/// Record of a case, and its temporary folder.
pub struct Case {
    pub name: String,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    started: Instant,
    record: fs::File,
}

impl Case {
    pub fn new(name: &str, folder: &Path) -> Self {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let temporary = std::env::temp_dir().join(format!("review-{name}-{nanos}"));
        fs::create_dir_all(&temporary).expect("temporary folder");
        let record = fs::File::create(folder.join("record.txt")).expect("record");
        Self {
            name: name.to_owned(),
            folder: folder.to_owned(),
            temporary,
            trouble,
            started: Instant::now(),
            record,
        }
    }

    /// Writes a line to the record.
    pub fn note(&mut self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// A process that is killed when it is dropped.
pub struct Process(pub Option<Child>);

impl Process {
    pub fn id(&self) -> u32 {
        self.0.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.0.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the project's stand-in of the platform; returns it and the address of its store.
pub fn start_platform(case: &Case, options: &[&str]) -> Result<(Process, SocketAddr), String> {
    let log = fs::File::create(case.temporary.join("platform.log")).map_err(text)?;
    let mut child = Command::new("target/release/deckstandin")
        .args(["platform", "--listen", "127.0.0.1:0"])
        .args(options)
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .map_err(text)?;
    let output = child.stdout.take().ok_or("no output")?;
    let process = Process(Some(child));
    let mut lines = BufReader::new(output).lines();
    while let Some(Ok(line)) = lines.next() {
        if let Some(address) = line.strip_prefix("listening store ") {
            let address = address.trim().parse().map_err(text)?;
            std::thread::spawn(move || lines.for_each(drop));
            return Ok((process, address));
        }
    }
    Err("the stand-in of the platform did not start".to_owned())
}

/// A node of the project.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub is_edge: bool,
    pub process: Process,
}

impl Node {
    /// Starts the process with the command of the deploy file.
    ///
    /// `Bootstrap` is true only at the first start of the whole system.
    pub fn start(&mut self) -> Result<(), String> {
        if self.log.exists() {
            let settings = fs::read_to_string(&self.settings).map_err(text)?;
            let settings = settings.replace("Bootstrap = true", "Bootstrap = false");
            fs::write(&self.settings, settings).map_err(text)?;
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).map_err(text)?;
        let mut command = Command::new("target/release/decknode");
        if self.is_edge {
            command.args(["--metrics-port", "9464"]);
        }
        let errors = log.try_clone().map_err(text)?;
        let child = command
            .env_clear()
            .env("COWSLIPDECK_CONFIG", &self.settings)
            .stdout(log)
            .stderr(errors)
            .stdin(Stdio::null())
            .spawn()
            .map_err(text)?;
        self.process = Process(Some(child));
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let answer =
            call(self.ready, "GET", "/v1/readyz", &[], b"", Duration::from_millis(800));
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Setup {
    pub edges: usize,
    pub disks: usize,
    pub require_fence: bool,
    pub extra_bounds: String,
    pub extra: String,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            edges: 3,
            disks: 1,
            require_fence: true,
            extra_bounds: String::new(),
            extra: String::new(),
        }
    }
}

/// Writes the settings of all nodes, as on the wire page of a small site; starts none.
/// Each node has a loopback address of its own, so that all use the same ports.
pub fn nodes(case: &Case, store: SocketAddr, setup: &Setup) -> Result<Vec<Node>, String> {
    let net = std::process::id() % 200 + 20;
    let ip = |index: usize| format!("127.{net}.7.{}", 10 + index);
    let is_free = |port: u16| {
        (0..setup.edges + setup.disks).all(|index| {
            (0..3).all(|offset| TcpListener::bind(format!("{}:{}", ip(index), port + offset)).is_ok())
        })
    };
    let first_port = (21_000..29_000).step_by(10).find(|port| is_free(*port));
    let first_port: u16 = first_port.ok_or("no free ports")?;
    let seeds: Vec<String> =
        (0..setup.edges.min(3)).map(|i| format!("\"{}:{}\"", ip(i), first_port + 2)).collect();
    let mut nodes = Vec::new();
    for index in 0..setup.edges + setup.disks {
        let is_edge = index < setup.edges;
        let ip = ip(index);
        let name = if is_edge { format!("edge-{index}") } else { format!("storage-{index}") };
        let (callers, ready, peers) =
            (format!("{ip}:{first_port}"), format!("{ip}:{}", first_port + 1), format!("{ip}:{}", first_port + 2));
        let class = if is_edge { "edge" } else { "storage" };
        let mut text = format!(
            "Node = \"{name}\"\nRole = \"{class}\"\nInstanceClass = \"{class}\"\nIp = \"{ip}\"\n\
             Zone = \"a\"\nRegion = \"r\"\nInternalPorts = [{}, {}]\nSeeds = [{}]\nBootstrap = true\n\
             LossCounts = {}\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n",
            first_port + 2, first_port + 9, seeds.join(","), !is_edge
        );
        if !is_edge {
            let _ = writeln!(text, "DataDir = {:?}", case.temporary.join(format!("data-{index}")));
        }
        text += &setup.extra;
        text += "[Listen]\n";
        if is_edge {
            let _ = write!(
                text,
                "Frontend = \"{callers}\"\nReady = \"{ready}\"\nControl = \"{peers}\"\n"
            );
        }
        let memory = if is_edge { 260 } else { 290 };
        let _ = write!(
            text,
            "[Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = {memory}\nMaxFds = 4100\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4.6\n\
             DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             DowngradeSlackMs = 250\nMaxStretchMs = 5000\nRecoveryS = 12\nPassMs = 120\n\
             RetryAfterS = 0\nFinishS = 10\nStatusS = 120\nCancelMs = 3000\nSettleMs = 1000\n\
             QuotaOvershoot = 0.1\nRequireFence = {}\nLeaseMs = 3000\nThawSlackMs = 300\n{}\
             [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\n\
             ReadsPerS = 2000\nHistoryS = 20\nMaxValueBytes = 1048576\nMinTtlMs = 1000\n",
            setup.require_fence, setup.extra_bounds
        );
        let settings = case.temporary.join(format!("{name}.toml"));
        fs::write(&settings, text).map_err(self::text)?;
        nodes.push(Node {
            log: case.temporary.join(format!("{name}.log")),
            name,
            callers: callers.parse().map_err(self::text)?,
            ready: ready.parse().map_err(self::text)?,
            peers: peers.parse().map_err(self::text)?,
            settings,
            is_edge,
            process: Process(None),
        });
    }
    Ok(nodes)
}

/// Waits until all nodes that serve callers are ready.
pub fn wait_until_ready(nodes: &[Node], limit: Duration) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    for node in nodes.iter().filter(|node| node.is_edge) {
        while !node.is_ready() {
            if Instant::now() >= deadline {
                return Err(format!("{} is not ready", node.name));
            }
            pause(100);
        }
    }
    Ok(())
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sets faults of the stand-in of the platform.
pub fn set_faults(store: SocketAddr, faults: &str) -> Result<(), String> {
    let answer =
        call(store, "POST", "/admin/faults", &[], faults.as_bytes(), Duration::from_secs(2))?;
    (answer.status == 200).then_some(()).ok_or(format!("faults refused {}", answer.status))
}

/// Returns what the servers of the stand-in have received.
pub fn records(store: SocketAddr) -> Result<Vec<Json>, String> {
    let answer = call(store, "GET", "/admin/records", &[], b"", Duration::from_secs(5))?;
    Ok(answer.json().list().to_vec())
}

/// Returns the name of the node that holds the leader's lease.
pub fn leader(store: SocketAddr) -> Option<String> {
    for kind in ["Lease", "leases", "lease"] {
        let path = format!("/v1/objects/{kind}/leader");
        if let Ok(answer) = call(store, "GET", &path, &[], b"", Duration::from_secs(2))
            && answer.status == 200
        {
            let holder = answer.json().get("Spec").get("spec").get("holder").text().to_owned();
            if !holder.is_empty() {
                return Some(holder);
            }
        }
    }
    None
}

/// Returns the resident memory of a process at its peak and now, in MB.
pub fn memory_mb(pid: u32) -> Option<(f64, f64)> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    };
    Some((field("VmHWM:")?, field("VmRSS:")?))
}

/// Ends a case: removes its folder unless `KEEP` is set, and exits.
pub fn finish(mut case: Case, outcome: Result<bool, String>) -> ! {
    let code = match outcome {
        Ok(true) => {
            case.note("RESULT the rule held");
            HELD
        }
        Ok(false) => {
            case.note("RESULT the rule was broken");
            BROKEN
        }
        Err(error) => {
            case.note(&format!("RESULT the case could not run: {error}"));
            NOT_RUN
        }
    };
    if std::env::var("KEEP").is_ok() {
        println!("kept {}", case.temporary.display());
    } else {
        let _ = fs::remove_dir_all(&case.temporary);
    }
    std::process::exit(code)
}
