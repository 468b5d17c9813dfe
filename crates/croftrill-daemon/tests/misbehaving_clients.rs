//! Crowds at the operators' port of a daemon in a process of its own: it lives, stays within the memory of
//! its settings, and answers an operator.

use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use croftrill_standin::store::StoreStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const MEMORY_MB: u64 = 96;
const CROWD: usize = 60;
/// Bytes of a body that is one byte short of its end.
const BODY_BYTES: usize = 4 * 1024 * 1024 - 1;
/// Longest time for a crowd to send what it can.
const CROWD_TIME: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that ends with the test.
struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn is_answered(operator: SocketAddr) -> bool {
    let exchange = async {
        let mut stream = TcpStream::connect(operator).await.ok()?;
        let request = "GET /v1/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer.starts_with("HTTP/1.1 200"))
    };
    timeout(TEST_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}

async fn wait_until_answered(operator: SocketAddr, when: &str) {
    let wait = async {
        while !is_answered(operator).await {
            sleep(RETRY_PAUSE).await;
        }
    };
    let answered = timeout(TEST_TIMEOUT, wait).await;
    assert!(answered.is_ok(), "an operator gets no answer {when}");
}

/// Returns the most resident memory of a process so far, in bytes.
fn peak_resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let text = line.expect("a peak").trim().trim_end_matches(" kB");
    text.parse::<u64>().expect("a number") * 1024
}

async fn send_body(operator: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(operator).await?;
    let head = format!(
        "POST /v1/plan HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        BODY_BYTES + 1
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b' '; BODY_BYTES]).await?;
    Ok(stream)
}

async fn play() {
    let (store_listener, store) = listen().await;
    let _store = StoreStandin::start(store_listener);
    let (front, peer, operator) = (listen().await.1, listen().await.1, listen().await.1);
    let settings = format!(
        "name = \"n1\"\nlisten = \"{front}\"\npeer = \"{peer}\"\noperator = \"{operator}\"\nstore = \"{store}\"\n\
         [limits]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = 600\n"
    );
    let path = std::env::temp_dir().join(format!("croftrill-operators-{}.toml", std::process::id()));
    fs::write(&path, settings).expect("a settings file");
    let child = Command::new(env!("CARGO_BIN_EXE_croftrilld"))
        .arg("--config")
        .arg(&path)
        .stdout(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    let mut daemon = Daemon(child);
    wait_until_answered(operator, "before the crowd").await;
    let crowd: Vec<_> = (0..CROWD)
        .map(|_| {
            spawn_local(async move {
                // An error is a connection that the daemon closed.
                let sent = timeout(CROWD_TIME, send_body(operator)).await;
                std::future::pending::<()>().await;
                drop(sent);
            })
        })
        .collect();
    sleep(CROWD_TIME).await;
    wait_until_answered(operator, "beside the crowd").await;
    crowd.iter().for_each(|client| client.abort());
    wait_until_answered(operator, "after the crowd").await;
    let ended = daemon.0.try_wait().expect("a child");
    assert!(ended.is_none(), "the process ended: {ended:?}");
    let peak = peak_resident_bytes(daemon.0.id());
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes of memory");
    let _ = fs::remove_file(&path);
}

/// Guards against operators' bodies that are kept although they never end.
#[test]
fn operators_bodies_short_of_their_end_stay_within_memory() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, play());
}
