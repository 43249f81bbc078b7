//! The state machine that a log replicates.

/// A deterministic state machine: the same commands in the same order lead to the same state.
pub trait StateMachine: Sized {
    /// The state before the first command.
    fn fresh() -> Self;
    /// Applies the command at an index. Must accept any bytes, with the same effect on all replicas.
    fn apply(&mut self, index: u64, command: &[u8]);
    /// The encoded state; equal states have equal bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// Decodes a state; `None` if the bytes are not a valid one.
    fn restore(bytes: &[u8]) -> Option<Self>;
}
