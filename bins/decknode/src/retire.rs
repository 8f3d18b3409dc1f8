//! Requests to empty a VM. This system keeps nothing on disks, so such a VM can go at once.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_fleet::follow::Change;
use deck_plat::{Object, Precondition, StoreError};

use crate::lead::Duties;

/// Wait between two looks for requests to answer.
const ROUND: Duration = Duration::from_millis(300);

/// Answers requests until `cancel` is cancelled.
pub async fn run(duties: &Duties, cancel: CancellationToken) {
    let pending: Rc<RefCell<VecDeque<Object>>> = Rc::default();
    let (follower, requests, stop) = (duties.follower.clone(), pending.clone(), cancel.clone());
    monoio::spawn(async move {
        follower
            .retirements(
                move |change| match change {
                    Change::Listed(objects) => requests.borrow_mut().extend(objects),
                    Change::Put(object) => requests.borrow_mut().push_back(object),
                    Change::Deleted(_) => {}
                },
                stop,
            )
            .await;
    });
    while cancel.run_until_cancelled(monoio::time::sleep(ROUND)).await.is_some() {
        let next = pending.borrow_mut().pop_front();
        let Some(object) = next else { continue };
        let status = duties.follower.protocol().retirement_completed();
        if object.status == status {
            continue;
        }
        let condition = Precondition::Revision(object.revision);
        match duties.store.put_status(&object.kind, &object.name, condition, &status).await {
            Ok(_) => log::info!(target: "retire", "VM is empty vm={}", object.name),
            // The change that conflicts is on its way here.
            Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                log::warn!(target: "retire", "status not written vm={} error={error}", object.name);
                pending.borrow_mut().push_back(object);
            }
        }
    }
}
