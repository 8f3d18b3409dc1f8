//! Client of the platform's VM list, which lags behind the state of the VMs.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{DataCentreId, VmId};
use deck_net::{Client, NetError, http::Method};
use serde::{Deserialize, Serialize};

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// State, late.
    pub state: ListedState,
}

/// The VM list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// Reads the list from the platform.
///
/// # Errors
///
/// Returns an error if the list cannot be read within `timeout`.
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
