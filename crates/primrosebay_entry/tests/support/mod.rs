//! The request path of an entry instance, with minion stand-ins on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use primrosebay_entry::requests::{RequestSettings, Requests};
use primrosebay_protocol::api::Failure;
use primrosebay_protocol::list::{Instance, Liveness, Role};
use primrosebay_standin::minion::{Faults, Minion, Settings};
use primrosebay_state::id::Incarnation;
use primrosebay_state::resources::Resources;
use primrosebay_state::time::Time;
use primrosebay_transport::minion::HttpMinions;
use tide::http::{Method, Request, Response, Url};

/// A request path with its minions, on a clock that only the test advances.
pub struct Fleet {
    pub requests: Arc<Requests<HttpMinions>>,
    pub minions: Vec<Minion>,
    pub clock: Arc<AtomicU64>,
}

impl Fleet {
    /// Starts `count` minions of the service `s`, all of them on the instance list.
    pub async fn start(count: usize, settings: RequestSettings) -> Self {
        let mut minions = Vec::new();
        for _ in 0..count {
            let address = "127.0.0.1:0".parse().unwrap();
            let minion = Minion::start(address, Settings::default()).await;
            minions.push(minion.unwrap());
        }
        let clock = Arc::new(AtomicU64::new(0));
        let read = Arc::clone(&clock);
        let requests = Arc::new(Requests::new(
            settings,
            "a".into(),
            Incarnation(1),
            HttpMinions::default(),
            Arc::new(move || Time(read.load(Ordering::SeqCst))),
        ));
        let fleet = Self {
            requests,
            minions,
            clock,
        };
        fleet.requests.update(&fleet.list());
        fleet
    }

    /// Returns the instance list entries of the minions.
    pub fn list(&self) -> Vec<Instance> {
        let addresses = self.minions.iter().map(Minion::address);
        addresses.enumerate().map(|(i, a)| instance(i, a)).collect()
    }

    pub fn set_faults(&self, faults: Faults) {
        for minion in &self.minions {
            minion.set_faults(faults);
        }
    }

    /// Returns how many times minions ran requests whose body begins with `key`.
    pub fn runs_of(&self, key: &str) -> u32 {
        self.minions.iter().map(|m| m.runs().of_request(key)).sum()
    }

    /// Returns the number of requests that have arrived at the minions.
    pub fn arrived(&self) -> u64 {
        self.minions.iter().map(Minion::arrived).sum()
    }

    /// Sends `body` for the account `team` and returns the status of the answer, with its body or,
    /// for a failure, the result code.
    pub async fn send(&self, body: &str, repeat: &str, deadline_ms: u64) -> (u16, String) {
        self.send_for("team", body, repeat, deadline_ms).await
    }

    /// Sends `body` like [`Fleet::send`], for another account.
    pub async fn send_for(
        &self,
        account: &str,
        body: &str,
        repeat: &str,
        deadline_ms: u64,
    ) -> (u16, String) {
        let url = Url::parse("http://entry/v1/services/s/requests").unwrap();
        let mut request = Request::new(Method::Post, url);
        request.insert_header("x-repeat", repeat);
        request.insert_header("x-deadline-ms", deadline_ms.to_string());
        request.insert_header("content-length", body.len().to_string());
        request.set_body(body);
        let answer = self
            .requests
            .answer(account.into(), "s", &mut request)
            .await;
        outcome(answer).await
    }

    /// Waits until `count` requests have arrived at the minions.
    pub async fn wait_arrived(&self, count: u64) {
        while self.arrived() < count {
            task::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Serves the request path over HTTP and returns its address.
    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::clone(&self.requests);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let requests = Arc::clone(&requests);
                task::spawn(serve(stream, requests));
            }
        });
        address
    }
}

async fn serve(stream: TcpStream, requests: Arc<Requests<HttpMinions>>) {
    let answer = |mut request: Request| {
        let requests = Arc::clone(&requests);
        async move { Ok(requests.answer("team".into(), "s", &mut request).await) }
    };
    let _ = Box::pin(async_h1::accept(stream, answer)).await;
}

async fn outcome(mut answer: Response) -> (u16, String) {
    let status = answer.status().into();
    let text = answer.body_string().await.unwrap_or_default();
    match serde_json::from_str::<Failure>(&text) {
        Ok(failure) => (status, failure.code.to_string()),
        Err(_) => (status, text),
    }
}

/// Returns the instance list entry of minion `i`.
pub fn instance(i: usize, address: SocketAddr) -> Instance {
    Instance {
        name: format!("m{i}").into(),
        role: Role::Minion,
        zone: "a".into(),
        rack: "".into(),
        service: "s".into(),
        address: address.to_string().into(),
        state: Liveness::Live,
        resources: Resources::ZERO,
    }
}

/// Runs `futures` concurrently and returns their results in order.
pub async fn join<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut all: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut results: Vec<Option<F::Output>> = all.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        let mut pending = false;
        for (future, result) in all.iter_mut().zip(&mut results) {
            if result.is_none() {
                match future.as_mut().poll(cx) {
                    std::task::Poll::Ready(value) => *result = Some(value),
                    std::task::Poll::Pending => pending = true,
                }
            }
        }
        if pending {
            std::task::Poll::Pending
        } else {
            std::task::Poll::Ready(())
        }
    })
    .await;
    results.into_iter().flatten().collect()
}
