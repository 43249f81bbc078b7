//! The queue of discovery: it handles calls in turn, each at a cost.

use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// A call waits this long for its turn, or is refused.
const PATIENCE: Duration = Duration::from_secs(2);
/// Cost of a call that opens a watch or asks for the whole list.
const COST_OF_CALL: Duration = Duration::from_millis(2);
/// Cost of a row that is handed out.
const COST_OF_ROW: Duration = Duration::from_nanos(1500);

/// The call has waited for its turn for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

/// Callers in turn.
#[derive(Debug, Default)]
pub struct Queue {
    turn: Mutex<()>,
}

impl Queue {
    /// Waits for a call's turn and pays for it.
    pub async fn admit(&self) -> Result<(), Refused> {
        let turn = timeout(PATIENCE, self.turn.lock()).await.map_err(|_| Refused)?;
        sleep(COST_OF_CALL).await;
        drop(turn);
        Ok(())
    }

    /// Pays for the rows of an answer, in turn.
    pub async fn charge(&self, rows: usize) {
        let turn = self.turn.lock().await;
        sleep(COST_OF_ROW * rows as u32).await;
        drop(turn);
    }
}
