//! Call of a new owner to its predecessor's process, which ends the predecessor for good and answers
//! with the leases that it has granted.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{
        partition::CellId,
        succession::{Predecessor, Superseded},
    },
    clock::SharedClock,
    ids::Epoch,
};
use tokio::time::sleep;

use crate::calls::CellClient;

/// Delay before an unanswered call is repeated: a predecessor that is cut off may be reachable again
/// soon.
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// Answer of a predecessor, with the time by which it was received.
pub type ReceivedAnswer = (Superseded, Instant);

/// Calls the predecessor for the owner of `epoch` until it answers. Returns `None` if it hasn't until
/// `leases_end`, when its leases have expired anyway, or if its address can't be read.
pub async fn ask_predecessor(
    predecessor: Predecessor,
    cell: CellId,
    epoch: Epoch,
    leases_end: Instant,
    clock: SharedClock,
) -> Option<ReceivedAnswer> {
    let address: SocketAddr = predecessor.address.parse().ok()?;
    // Its own connection, since a process of an earlier build closes it.
    let client = CellClient::default();
    while clock.now() < leases_end {
        let answer = client.supersede(address, cell, epoch).await;
        // The address may have another process by now.
        if let Some(answer) = answer.filter(|answer| answer.instance == predecessor.instance) {
            return Some((answer, clock.now()));
        }
        sleep(REPEAT_DELAY).await;
    }
    None
}
