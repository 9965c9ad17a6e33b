//! What an instance answers to others.

use {
    citron_core::{
        id::Revision,
        membership::{InstanceReport, InstanceStatus},
        table::Changes,
    },
    citron_wire::peer::{AcknowledgeRequest, AcknowledgeResponse, Asker},
    std::future::Future,
};

/// The side of control that other instances see.
pub trait PeerHandler: Clone + 'static {
    /// Where this instance stands now.
    fn status(&self) -> InstanceStatus;

    /// Answers once the revision is settled here, or says that it is not.
    fn acknowledge(&self, ask: AcknowledgeRequest) -> impl Future<Output = AcknowledgeResponse>;

    /// Rows after `since`, and the status that goes with exactly those rows.
    fn changes(&self, asker: Asker, since: Revision) -> (InstanceStatus, Changes);

    /// Hears that the table has reached a revision.
    fn announce(&self, revision: Revision);

    /// Hears of another instance's demand and crashes.
    fn report(&self, report: InstanceReport);
}
