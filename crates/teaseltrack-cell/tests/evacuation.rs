//! Evacuation requests as the owner reads them from the store.

mod util;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use teaseltrack::{
    cell::{evacuation::Evacuations, job::QueueConfiguration},
    clock::{Clock, SystemClock},
};
use teaseltrack_cell::evacuation::{OperatorSenders, follow_operator};
use teaseltrack_daemon::logs::silent;
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use util::{Rows, operator_source, store};

/// Far longer than the follower needs, so that the test passes on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const CONFIGURATION: &str = "operator/0/configuration";

fn request(zone: &str) -> String {
    format!("operator/0/evacuate/{zone}")
}

struct Follower {
    evacuations: watch::Receiver<Option<Evacuations>>,
    configuration: watch::Receiver<Option<Arc<QueueConfiguration>>>,
    task: JoinHandle<()>,
}

impl Follower {
    fn start(rows: &Arc<Mutex<Rows>>) -> Self {
        let (configuration_sender, configuration) = watch::channel(None);
        let (evacuation_sender, evacuations) = watch::channel(None);
        let senders =
            OperatorSenders { configuration: configuration_sender, evacuations: evacuation_sender };
        let clock = Arc::new(SystemClock);
        let following = follow_operator(store(rows), clock, operator_source(), senders, silent());
        Self { evacuations, configuration, task: tokio::spawn(following) }
    }

    /// Waits until exactly these zones are evacuated; returns the version.
    async fn expect(&mut self, zones: &[&str]) -> u64 {
        let zones: BTreeSet<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
        let is_expected =
            |known: &Option<Evacuations>| known.as_ref().is_some_and(|known| known.zones == zones);
        let known = timeout(TIMEOUT, self.evacuations.wait_for(is_expected));
        let known = known.await.expect("other zones are evacuated").expect("the follower runs");
        known.as_ref().map_or(0, |known| known.version)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Guards against requests that a new owner, or one whose reads fail, doesn't see, and against ones that
/// remain after they were taken back.
#[tokio::test]
async fn follow_operator_publishes_requests_with_lost_answers_and_history() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    rows.lock().unwrap().put(&request("a"), "not read");
    rows.lock().unwrap().put(CONFIGURATION, "{}");
    rows.lock().unwrap().failing_reads = 3;
    let mut follower = Follower::start(&rows);
    let first = follower.expect(&["a"]).await;
    timeout(TIMEOUT, follower.configuration.changed()).await.unwrap().unwrap();
    rows.lock().unwrap().failing_reads = 2;
    rows.lock().unwrap().put(&request("b"), "{}");
    let second = follower.expect(&["a", "b"]).await;
    rows.lock().unwrap().delete(&request("a"));
    rows.lock().unwrap().put("operator/0/evacuate/", "no zone");
    rows.lock().unwrap().put("operator/0/wave", "another request");
    let third = follower.expect(&["b"]).await;
    rows.lock().unwrap().delete(&request("b"));
    rows.lock().unwrap().put(&request("c"), "{}");
    rows.lock().unwrap().forget_history();
    let fourth = follower.expect(&["c"]).await;
    assert!(first < second && second < third && third < fourth);
}

/// Guards against requests that count as current although no call has succeeded since.
#[tokio::test]
async fn follow_operator_renews_the_time_only_with_answers() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let mut follower = Follower::start(&rows);
    follower.expect(&[]).await;
    let current_at =
        |follower: &Follower| follower.evacuations.borrow().as_ref().map(|known| known.current_at);
    let before = current_at(&follower);
    timeout(TIMEOUT, follower.evacuations.changed()).await.unwrap().unwrap();
    assert!(current_at(&follower) > before);
    rows.lock().unwrap().failing_reads = u32::MAX;
    let failing_since = SystemClock.now();
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(current_at(&follower) <= Some(failing_since));
}
