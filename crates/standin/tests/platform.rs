//! Tests of the stand-in platform: watches, entity tags, faults and the call budget.

#![allow(clippy::expect_used)]

use std::path::PathBuf;
use std::time::{Duration, Instant};

use reqwest::{Client, StatusCode};
use standin::platform::{CallBudget, MAX_CALLS_PER_SECOND, Platform};

struct TestPlatform {
    url: String,
    values: PathBuf,
    client: Client,
}

async fn serve(test: &str) -> TestPlatform {
    let values = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&values);
    std::fs::create_dir_all(&values).expect("a writable directory");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let router = Platform::new(values.clone()).router();
    tokio::spawn(async move { axum::serve(listener, router).await });
    TestPlatform {
        url: format!("http://{address}"),
        values,
        client: Client::new(),
    }
}

impl TestPlatform {
    async fn read(&self, etag: &str, wait: &str) -> (StatusCode, String, String) {
        let request = self.client.get(format!("{}/v1/root", self.url));
        let request = request.header("if-none-match", etag).header("prefer", wait);
        let response = request.send().await.expect("a response");
        let (status, etag) = (response.status(), response.headers().get("etag").cloned());
        let etag = etag.map(|etag| etag.to_str().expect("a text").to_owned());
        (
            status,
            etag.unwrap_or_default(),
            response.text().await.expect("a text"),
        )
    }

    async fn control(&self, query: &str) {
        let url = format!("{}/control?{query}", self.url);
        self.client.post(url).send().await.expect("a response");
    }

    /// Replaces the value atomically, so that a watch never reads partial content.
    fn write_value(&self, text: &str) {
        let temporary = self.values.join("draft");
        std::fs::write(&temporary, text).expect("a writable directory");
        std::fs::rename(&temporary, self.values.join("root")).expect("one file system");
    }
}

/// Guards against a watch that misses a change or returns without one.
#[tokio::test]
async fn watch_waits_for_a_change() {
    let platform = serve("watch").await;
    assert_eq!(platform.read("", "wait=0").await.0, StatusCode::NOT_FOUND);
    platform.write_value("one");
    let (status, etag, text) = platform.read("", "wait=0").await;
    assert_eq!((status, text.as_str()), (StatusCode::OK, "one"));
    assert_eq!(
        platform.read(&etag, "wait=0").await.0,
        StatusCode::NOT_MODIFIED
    );
    let watch = platform.read(&etag, "wait=50");
    let change = async { platform.write_value("two") };
    let ((status, _, text), ()) = tokio::join!(watch, change);
    assert_eq!((status, text.as_str()), (StatusCode::OK, "two"));
}

/// Guards against modes of the control endpoint that have no effect.
#[tokio::test]
async fn control_endpoint_sets_the_mode() {
    let platform = serve("faults").await;
    platform.write_value("one");
    assert_eq!(platform.read("", "wait=0").await.0, StatusCode::OK);
    platform.control("mode=stale").await;
    platform.write_value("two");
    assert_eq!(platform.read("", "wait=0").await.2, "one");
    platform.control("mode=down").await;
    assert_eq!(
        platform.read("", "wait=0").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    platform.control("mode=normal").await;
    assert_eq!(platform.read("", "wait=0").await.2, "two");
}

/// Guards against keys that escape the directory of values.
#[tokio::test]
async fn keys_cannot_escape_the_directory() {
    let platform = serve("keys").await;
    let url = format!("{}/v1/part/..%2f..%2fkeys", platform.url);
    let response = platform.client.get(url).send().await.expect("a response");
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
}

/// Guards against a budget that is not enforced or not reset each second.
#[test]
fn budget_is_per_second() {
    let start = Instant::now();
    let mut budget = CallBudget::new(start);
    assert!((0..MAX_CALLS_PER_SECOND).all(|_| budget.try_take(start)));
    assert!(!budget.try_take(start));
    assert!(budget.try_take(start + Duration::from_secs(1)));
    let counts = budget.counts();
    assert_eq!(
        (counts.total, counts.refused, counts.peak),
        (MAX_CALLS_PER_SECOND + 2, 1, MAX_CALLS_PER_SECOND + 1)
    );
}
