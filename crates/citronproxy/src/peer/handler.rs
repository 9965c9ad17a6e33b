//! Interface that handles calls from other instances.

use {
    citron_core::{
        id::Revision,
        membership::{InstanceReport, InstanceStatus},
        table::Changes,
    },
    citron_wire::peer::{AcknowledgeRequest, AcknowledgeResponse, Asker},
    std::future::Future,
};

/// Handler of calls from other instances, implemented by the control thread.
pub trait PeerHandler: Clone + 'static {
    /// Current status of this instance.
    fn status(&self) -> InstanceStatus;

    /// Answers once the revision is settled in this instance, or that it is not after a
    /// time limit.
    fn acknowledge(&self, ask: AcknowledgeRequest) -> impl Future<Output = AcknowledgeResponse>;

    /// Rows that changed after `since`, and the status with the lease that covers exactly
    /// those rows.
    fn changes(&self, asker: Asker, since: Revision) -> (InstanceStatus, Changes);

    /// Handles the announcement that the table has reached a revision.
    fn announce(&self, revision: Revision);

    /// Handles another instance's report of demand and crashes.
    fn report(&self, report: InstanceReport);
}
