//! Owner of the cell that runs in this process, and how a later owner ends it.
//!
//! A call with a higher epoch bars all owners of lower epochs from this process: one that runs ends,
//! and one whose takeover is still in progress never begins. The answer follows once none runs.

use std::collections::BTreeMap;

use teaseltrack::{
    cell::{
        ownership::MAX_EPOCH,
        partition::CellId,
        succession::{OwnerLeases, Predecessor, Superseded},
    },
    clock::SharedClock,
    ids::{Epoch, InstanceId},
};
use tokio::sync::watch;

#[derive(Debug, Default)]
struct State {
    /// Highest epoch that has called, by cell.
    superseded_by: BTreeMap<CellId, Epoch>,
    /// Cell and epoch of the owner that is loading or runs.
    running: Option<(CellId, Epoch)>,
    /// Leases of the last owner that has ended, with its cell.
    ended: Option<(CellId, OwnerLeases)>,
    /// Owner from which this process has last tried to take over the cell.
    predecessor: Option<Predecessor>,
}

impl State {
    fn is_superseded(&self, cell: CellId, epoch: Epoch) -> bool {
        self.superseded_by.get(&cell).is_some_and(|successor| *successor > epoch)
    }
}

/// Handle on the owner that runs in this process.
#[derive(Clone)]
pub struct LocalOwner {
    instance: InstanceId,
    clock: SharedClock,
    state: watch::Sender<State>,
}

impl LocalOwner {
    /// Creates the handle of a process that has run no owner yet.
    pub fn new(instance: InstanceId, clock: SharedClock) -> Self {
        Self { instance, clock, state: watch::Sender::default() }
    }

    /// Records the owner, if it may still grant leases, from which this process is about to take over.
    pub fn note_takeover(&self, predecessor: Option<Predecessor>) {
        self.state.send_modify(|state| state.predecessor = predecessor);
    }

    /// Predecessor of the owner of `epoch`, if this process has become that owner by a takeover that got
    /// no response. All its tries for an epoch have the same predecessor.
    pub fn predecessor_of(&self, epoch: Epoch) -> Option<Predecessor> {
        let predecessor = self.state.borrow().predecessor.clone();
        predecessor.filter(|predecessor| predecessor.epoch + 1 == epoch)
    }

    /// Begins an owner; returns `false` if a later one has called.
    pub fn begin(&self, cell: CellId, epoch: Epoch) -> bool {
        self.state.send_if_modified(|state| {
            let may_begin = !state.is_superseded(cell, epoch);
            if may_begin {
                state.running = Some((cell, epoch));
            }
            may_begin
        })
    }

    /// Ends the owner, which grants no lease from now on; `leases` is `None` if it has granted none.
    pub fn end(&self, cell: CellId, leases: Option<OwnerLeases>) {
        self.state.send_modify(|state| {
            state.running = None;
            state.ended = leases.map(|leases| (cell, leases));
        });
    }

    /// Waits until a later owner has called.
    pub async fn wait_until_superseded(&self, cell: CellId, epoch: Epoch) {
        let mut state = self.state.subscribe();
        drop(state.wait_for(|state| state.is_superseded(cell, epoch)).await);
    }

    /// Ends an owner of the cell with a lower epoch, and waits for its end. Returns `None` if the
    /// process runs a later owner.
    pub async fn supersede(&self, cell: CellId, epoch: Epoch) -> Option<Superseded> {
        if epoch > MAX_EPOCH {
            return None;
        }
        self.state.send_modify(|state| {
            let successor = state.superseded_by.entry(cell).or_default();
            *successor = epoch.max(*successor);
        });
        let mut state = self.state.subscribe();
        let has_ended = |state: &State| !matches!(state.running, Some((other, running)) if other == cell && running < epoch);
        let state = state.wait_for(has_ended).await.ok()?;
        if state.running.is_some_and(|(other, _)| other == cell) {
            return None;
        }
        let ended = state.ended.as_ref().filter(|(other, _)| *other == cell);
        let leases = ended.map(|(_, leases)| leases);
        Some(Superseded::new(self.instance.clone(), epoch, leases, self.clock.now()))
    }
}
