//! Client of the platform's VM list. The list may be outdated: it lags behind the state of the VMs.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{DataCentreId, VmId};
use deck_net::{Client, NetError, http::Method};
use serde::{Deserialize, Serialize};

/// State of a VM according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The VM is running.
    Live,
    /// The VM is about to stop.
    Leaving,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address of the VM's listener for connections from other VMs.
    pub address: SocketAddr,
    /// State of the VM, which may be outdated.
    pub state: ListedState,
}

/// List of the VMs of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Entries, one for each VM.
    pub vms: Vec<ListedVm>,
}

/// Fetches the list from the platform.
///
/// # Errors
///
/// Returns an error if the list cannot be fetched within `timeout`.
pub async fn fetch(
    client: &Client,
    address: SocketAddr,
    timeout: Duration,
) -> Result<VmList, NetError> {
    let call = client.json::<(), VmList>(Method::GET, address, "/v1/vms", None);
    match monoio::time::timeout(timeout, call).await {
        Ok(Ok((status, list))) if status.is_success() => Ok(list),
        Ok(Ok((status, _))) => Err(NetError::Decode(format!("status {status}"))),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(NetError::Exchange(address, "timeout".to_owned())),
    }
}
