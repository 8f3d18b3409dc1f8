//! Helpers of the review's scripts: JSON, a small HTTP client, processes and the record file. Uses
//! the standard library only, so that the scripts add no dependency.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (*self.bytes.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    map.insert(key, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if *self.bytes.get(self.at)? != b'"' {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    self.at += 1;
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let character = char::from_u32(code).unwrap_or('?');
                            text.extend(character.encode_utf8(&mut buffer).bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

/// Status and body of a response.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Json {
        Json::parse(&String::from_utf8_lossy(&self.body)).unwrap_or(Json::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut matching = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        matching.next().map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and receives the whole response; `None` if there is none.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let mut received = Vec::new();
    let deadline = Instant::now() + timeout;
    let mut buffer = [0; 65536];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
        if Instant::now() > deadline {
            return None;
        }
    }
    parse_answer(&received)
}

fn parse_answer(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: received[end + 4..].to_vec() };
    if answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        answer.body = decode_chunks(&answer.body)?;
    } else if let Some(length) = answer.header("content-length") {
        if length.parse::<usize>().ok()? != answer.body.len() {
            return None;
        }
    }
    Some(answer)
}

fn decode_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 4 + size..)?;
    }
}

/// File `record.txt` of a case, with the time since the start in each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().expect("lock").write_all(line.as_bytes());
    }
}

/// Process that is killed when the value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn start(name: &str, command: &mut Command, log: &Path) -> Process {
        let out = fs::OpenOptions::new().create(true).append(true).open(log).expect("log");
        let error = out.try_clone().expect("log");
        let child = command.stdin(Stdio::null()).stdout(out).stderr(error).spawn();
        Process { name: name.to_owned(), child: child.expect("the program starts") }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a system call without pointers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address with a free port below the range of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(37) % 9000;
    for _ in 0..9000 {
        let offset = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 20_000 + (start + offset) % 9000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// Runs a case and exits with its result, or with [`COULD_NOT_RUN`] if it panics.
pub fn run(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    std::process::exit(std::panic::catch_unwind(case).unwrap_or(COULD_NOT_RUN));
}

/// Root of the repository: the folder from which the deploy file's commands start.
pub fn repository() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_owned()))
}

/// Whether the script applies its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Temporary folder that is removed when the value is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// One machine of class `edge`: its addresses and its settings file.
pub struct Node {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
}

impl Node {
    /// Writes the settings of a node with the bounds of a small deployment.
    pub fn configure(
        folder: &Path,
        name: &str,
        zone: &str,
        platform: SocketAddr,
        bounds: &str,
    ) -> Node {
        let (frontend, ready, control) = (free_address(), free_address(), free_address());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "Node = \"{name}\"\nRole = \"node\"\nInstanceClass = \"edge\"\nServes = [\"edge\", \"control_plane\"]\n\
             Ip = \"127.0.0.1\"\nZone = \"{zone}\"\nRegion = \"region\"\nInternalPorts = [{port}, {port}]\n\
             Bootstrap = false\nLossCounts = false\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n\
             [Listen]\nFrontend = \"{frontend}\"\nReady = \"{ready}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = 0.25\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [Bounds]\n{bounds}\n\
             [Platform]\nAddress = \"{platform}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nMaxValueBytes = 1048576\nMinTtlMs = 1000\n",
            port = control.port(),
        );
        fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        Node { name: name.to_owned(), frontend, ready, control, settings, log, process: None }
    }

    /// Starts the program as `deploy/system.toml` does for the role on `edge`, without its metrics
    /// port, which all machines share there.
    pub fn start(&mut self) {
        let root = repository();
        let mut command = Command::new(root.join("target/release/decknode"));
        command.current_dir(&root).env("COWSLIPDECK_CONFIG", &self.settings);
        self.process = Some(Process::start(&self.name, &mut command, &self.log));
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/v1/readyz", &[], b"", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }
}

/// Bounds of `tsehay-claims`.
pub const TSEHAY_BOUNDS: &str = "SeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4.9\n\
    DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\nMaxStretchMs = 5000\n\
    RecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nFinishS = 10\nStatusS = 120\nCancelMs = 3000\nSettleMs = 1000\n\
    QuotaOvershoot = 0.1\nRequireFence = false\nLeaseMs = 3000\nThawSlackMs = 300";

/// Waits until `condition` holds; panics after `timeout`.
pub fn wait_until(what: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        // A panic unwinds, which ends all processes; see [`run`].
        assert!(Instant::now() <= deadline, "{what} within {} s", timeout.as_secs());
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
