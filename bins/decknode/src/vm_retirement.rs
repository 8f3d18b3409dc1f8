//! Completes the platform's requests to empty a VM before its removal. Nothing on the disks of VMs
//! has to be moved first, so each request is completed at once.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_fleet::follow::ObjectChange;
use deck_plat::{Object, Precondition, StoreError};

use crate::leadership::LeadershipContext;

/// Interval at which the next pending request is answered.
const ANSWER_INTERVAL: Duration = Duration::from_millis(300);

/// Marks requests to empty a VM as completed until `cancel` is cancelled.
pub async fn answer_requests(context: &LeadershipContext, cancel: CancellationToken) {
    let pending_requests: Rc<RefCell<VecDeque<Object>>> = Rc::default();
    let (follower, received_requests, follow_cancel) =
        (context.follower.clone(), pending_requests.clone(), cancel.clone());
    monoio::spawn(async move {
        follower
            .follow_retirements(
                move |change| match change {
                    ObjectChange::Listed(objects) => received_requests.borrow_mut().extend(objects),
                    ObjectChange::Put(object) => received_requests.borrow_mut().push_back(object),
                    ObjectChange::Deleted(_) => {}
                },
                follow_cancel,
            )
            .await;
    });
    while cancel.run_until_cancelled(monoio::time::sleep(ANSWER_INTERVAL)).await.is_some() {
        let next_request = pending_requests.borrow_mut().pop_front();
        let Some(object) = next_request else { continue };
        // A VM is removed with its disk once its status is completed.
        if !context.follower.protocol().is_retirement_request(&object.value) {
            log::warn!(target: "retire", "not a request to empty a VM vm={:?}", object.name);
            continue;
        }
        let completed_status = context.follower.protocol().encode_completed_retirement();
        if object.status == completed_status {
            continue;
        }
        let condition = Precondition::Revision(object.revision);
        match context
            .store
            .put_status(&object.kind, &object.name, condition, &completed_status)
            .await
        {
            Ok(_) => log::info!(target: "retire", "VM reported as empty vm={}", object.name),
            // The watch delivers the conflicting change, which queues the request again.
            Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                log::warn!(target: "retire", "writing the status failed vm={} error={error}", object.name);
                pending_requests.borrow_mut().push_back(object);
            }
        }
    }
}
