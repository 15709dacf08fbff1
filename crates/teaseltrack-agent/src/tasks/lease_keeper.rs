//! Acquires and renews the instance's lease.
//!
//! The lease belongs to the instance, not to the process: a new agent process adopts it if the
//! worker still runs under it, and starts a new incarnation otherwise. If a renewal finds the row
//! changed, either a shard's owner marked the lease as lapsed, and a new incarnation starts, or a
//! newer agent process holds it, and this one abandons its tasks.

use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{Logger, info, warn};
use teaseltrack::{
    clock::SharedClock,
    ids::Incarnation,
    lease::{HeldLease, LeaseRow, LeaseState},
    retry::Backoff,
};
use teaseltrack_platform::{
    keys,
    store::{CommitOutcome, Condition, Row, Store, StoreError, Transaction, Write},
    stream::transaction_id,
};
use tokio::{
    sync::{oneshot, watch},
    time::sleep,
};

/// Minimum backoff after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after a failed call to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Minimum interval between two renewals, as a fraction of the renewal period.
const MIN_RENEWAL_PERIOD_FRACTION: f64 = 0.8;

/// The lease as published to the agent's other async tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// Incarnation of the lease.
    pub incarnation: Incarnation,
    /// Time by which all work under the lease must have stopped.
    pub deadline: Instant,
}

/// Keeps the instance's lease for one agent process.
pub struct LeaseKeeper {
    /// Logger.
    pub logger: Logger,
    /// The store.
    pub store: Store,
    /// Clock.
    pub clock: SharedClock,
    /// The instance.
    pub instance: String,
    /// Incarnation of this agent process.
    pub holder: Incarnation,
    /// Duration of the lease.
    pub ttl: Duration,
    /// Publishes the lease; `None` while there is none.
    pub view: watch::Sender<Option<LeaseView>>,
}

/// The lease row as committed by this process, with its version.
struct WrittenLease {
    row: LeaseRow,
    version: u64,
    lease: HeldLease,
}

impl LeaseKeeper {
    /// Holds the lease until `release` is received, or until a newer process holds it.
    ///
    /// `adopted_incarnation` is the incarnation under which the worker is already running.
    pub async fn run(
        self,
        adopted_incarnation: Option<Incarnation>,
        mut release: oneshot::Receiver<oneshot::Sender<()>>,
    ) {
        let Some(mut held) = self.acquire(adopted_incarnation).await else { return };
        // The first interval is fully random, so that instances started together renew at different
        // times.
        let mut min_fraction = 0.0;
        loop {
            self.publish(&held);
            let fraction = rand::rng().random_range(min_fraction..1.0);
            min_fraction = MIN_RENEWAL_PERIOD_FRACTION;
            let period = held.lease.renewal_period().mul_f64(fraction);
            tokio::select! {
                () = sleep(period) => {}
                reply = &mut release => {
                    self.release(held).await;
                    if let Ok(reply) = reply {
                        reply.send(()).ok();
                    }
                    return;
                }
            }
            let Some(renewed) = self.renew(held).await else { return };
            held = renewed;
        }
    }

    fn publish(&self, held: &WrittenLease) {
        let (incarnation, deadline) = (held.row.incarnation, held.lease.deadline());
        self.view.send_replace(Some(LeaseView { incarnation, deadline }));
    }

    /// Acquires the lease for this process; `None` if a newer process holds it.
    async fn acquire(&self, adopted_incarnation: Option<Incarnation>) -> Option<WrittenLease> {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            match self.try_acquire(adopted_incarnation).await {
                Ok(AcquireOutcome::Held(written)) => {
                    info!(self.logger, "lease acquired"; "incarnation" => written.row.incarnation);
                    return Some(written);
                }
                Ok(AcquireOutcome::Superseded) => {
                    warn!(self.logger, "lease is held by a newer agent process");
                    self.view.send_replace(None);
                    return None;
                }
                Ok(AcquireOutcome::Contended) => {}
                Err(error) => warn!(self.logger, "failed to acquire the lease"; "error" => %error),
            }
            let wait = backoff.after_failure(&mut rand::rng());
            sleep(wait).await;
        }
    }

    async fn try_acquire(
        &self,
        adopted_incarnation: Option<Incarnation>,
    ) -> Result<AcquireOutcome, StoreError> {
        let stored = self.store.read(&keys::lease(&self.instance)).await?;
        let version = stored.as_ref().map_or(0, |row| row.version);
        let stored: Option<LeaseRow> = stored.as_ref().map(Row::parse).transpose()?;
        if stored.as_ref().is_some_and(|row| row.holder > self.holder) {
            return Ok(AcquireOutcome::Superseded);
        }
        let incarnation = match &stored {
            Some(row)
                if row.state == LeaseState::Held
                    && adopted_incarnation == Some(row.incarnation) =>
            {
                row.incarnation
            }
            Some(row) => row.incarnation + 1,
            None => adopted_incarnation.unwrap_or(0) + 1,
        };
        let row = self.row(incarnation, LeaseState::Held);
        let sent_at = self.clock.now();
        match self.write(&row, version).await? {
            CommitOutcome::Committed { version } => Ok(AcquireOutcome::Held(WrittenLease {
                row,
                version,
                lease: HeldLease::new(self.ttl, sent_at),
            })),
            CommitOutcome::Conflict { .. } => Ok(AcquireOutcome::Contended),
        }
    }

    /// Renews the lease, retrying until the store responds; `None` if a newer process holds it.
    async fn renew(&self, mut held: WrittenLease) -> Option<WrittenLease> {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let row = self.row(held.row.incarnation, LeaseState::Held);
        loop {
            let sent_at = self.clock.now();
            match self.write(&row, held.version).await {
                Ok(CommitOutcome::Committed { version }) => {
                    held.lease.renew(sent_at);
                    return Some(WrittenLease { row, version, lease: held.lease });
                }
                Ok(CommitOutcome::Conflict { .. }) => break,
                Err(error) => warn!(self.logger, "failed to renew the lease"; "error" => %error),
            }
            let wait = backoff.after_failure(&mut rand::rng());
            sleep(wait).await;
        }
        // The row was changed by an earlier try of this renewal whose response was lost, by a
        // shard's owner that marked the lease as lapsed, or by a newer process. Acquiring the lease
        // again distinguishes these cases.
        let adopted_incarnation = self.own_incarnation(&row).await;
        if adopted_incarnation.is_none() {
            warn!(self.logger, "lease lost"; "incarnation" => row.incarnation);
        }
        self.acquire(adopted_incarnation).await
    }

    /// The incarnation of `row`, if the stored lease is still held by this process under it.
    async fn own_incarnation(&self, row: &LeaseRow) -> Option<Incarnation> {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            if let Ok(stored) = self.store.read(&keys::lease(&self.instance)).await {
                let stored: LeaseRow = stored?.parse().ok()?;
                let is_own = stored.holder == self.holder && stored.state == LeaseState::Held;
                return (is_own && stored.incarnation == row.incarnation)
                    .then_some(row.incarnation);
            }
            let wait = backoff.after_failure(&mut rand::rng());
            sleep(wait).await;
        }
    }

    async fn release(&self, held: WrittenLease) {
        let row = self.row(held.row.incarnation, LeaseState::Released);
        if let Err(error) = self.write(&row, held.version).await {
            warn!(self.logger, "failed to release the lease"; "error" => %error);
        }
        self.view.send_replace(None);
    }

    fn row(&self, incarnation: Incarnation, state: LeaseState) -> LeaseRow {
        LeaseRow {
            instance: self.instance.clone(),
            incarnation,
            holder: self.holder,
            ttl_ms: self.ttl.as_millis() as u64,
            state,
            transaction: transaction_id(&self.instance),
        }
    }

    async fn write(&self, row: &LeaseRow, version: u64) -> Result<CommitOutcome, StoreError> {
        let key = keys::lease(&self.instance);
        let transaction = Transaction {
            id: row.transaction.clone(),
            conditions: vec![Condition { key: key.clone(), version }],
            writes: vec![Write::put(key, row)],
        };
        self.store.commit(transaction).await
    }
}

enum AcquireOutcome {
    Held(WrittenLease),
    Superseded,
    Contended,
}
