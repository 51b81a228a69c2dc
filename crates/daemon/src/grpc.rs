//! gRPC calls between instances, for transfers that need reliable delivery: values by hash and flow
//! records.

use std::net::SocketAddr;
use std::time::Duration;

use balance::event::ShardEvent;
use ids::ContentHash;
use prost::Message;
use tokio::sync::oneshot;
use tonic::metadata::{MetadataMap, MetadataValue};
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status};
use wire::control::control_client::ControlClient;
use wire::control::control_server::{Control, ControlServer};
use wire::control::{FetchRequest, FetchResponse, HandOverRequest, HandOverResponse, Record};
use wire::peer::FlowRecord;
use wire::seal::Keys;

use crate::control::ControlInput;
use crate::peer::group_by_shard;
use crate::{Error, Result};

/// Metadata key of the authentication tag.
const TAG_HEADER: &str = "pollenpin-tag-bin";
/// Separates these tags from other uses of the same keys.
const TAG_CONTEXT: &[u8] = b"pollenpin gRPC 1";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

fn compute_tag(keys: &Keys, method: &str, message: &impl Message) -> [u8; 16] {
    keys.tag(&[TAG_CONTEXT, method.as_bytes(), &message.encode_to_vec()])
}

fn verify_tag(
    keys: &Keys,
    method: &str,
    metadata: &MetadataMap,
    message: &impl Message,
) -> std::result::Result<(), Status> {
    let received = metadata
        .get_bin(TAG_HEADER)
        .and_then(|tag| tag.to_bytes().ok());
    let bytes = message.encode_to_vec();
    let is_valid =
        received.is_some_and(|tag| keys.verify(&[TAG_CONTEXT, method.as_bytes(), &bytes], &tag));
    match is_valid {
        true => Ok(()),
        false => Err(Status::unauthenticated(
            "the authentication tag is missing or invalid",
        )),
    }
}

/// Client for calls to peers. Each request carries an authentication tag.
#[derive(Debug, Clone)]
pub struct Client {
    name: String,
    keys: Keys,
}

impl Client {
    /// Creates a client. It opens a connection per call, since calls are rare.
    pub fn new(name: String, keys: Keys) -> Self {
        Self { name, keys }
    }

    /// Fetches a value from a peer; returns `None` if the peer does not hold it.
    pub async fn fetch(&self, address: SocketAddr, hash: ContentHash) -> Result<Option<Vec<u8>>> {
        let message = FetchRequest {
            hash: hash.0.to_vec(),
        };
        let step = format!("fetching {hash} from {address}");
        let request = self.sign("Fetch", message);
        match self.connect(address).await?.fetch(request).await {
            Ok(response) => Ok(Some(response.into_inner().value)),
            Err(status) if status.code() == tonic::Code::NotFound => Ok(None),
            Err(status) => Err(Error::failed(step, status)),
        }
    }

    /// Transfers flow records to a peer and returns how many it accepted.
    pub async fn hand_over(&self, address: SocketAddr, records: &[FlowRecord]) -> Result<u32> {
        let record = |record: &FlowRecord| Record {
            flow: record.flow,
            target: record.target,
            service: record.service.clone(),
            idle_ms: record.idle_ms,
        };
        let message = HandOverRequest {
            from: self.name.clone(),
            records: records.iter().map(record).collect(),
        };
        let request = self.sign("HandOver", message);
        let response = self.connect(address).await?.hand_over(request).await;
        response
            .map(|response| response.into_inner().accepted)
            .map_err(|status| {
                Error::failed(format!("handing over flow records to {address}"), status)
            })
    }

    fn sign<M: Message>(&self, method: &str, message: M) -> Request<M> {
        let value = MetadataValue::from_bytes(&compute_tag(&self.keys, method, &message));
        let mut request = Request::new(message);
        request.metadata_mut().insert_bin(TAG_HEADER, value);
        request
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<ControlClient<tonic::transport::Channel>> {
        let step = format!("connecting to {address}");
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::failed(step.clone(), error))?
            .connect_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        let channel = endpoint.connect().await;
        channel
            .map(ControlClient::new)
            .map_err(|error| Error::failed(step, error))
    }
}

/// Service that handles calls of peers.
#[derive(Debug)]
pub struct Service {
    keys: Keys,
    control: flume::Sender<ControlInput>,
    shards: Vec<flume::Sender<ShardEvent>>,
}

impl Service {
    /// Creates a service that reads values from the control plane and passes flow records to the
    /// shards.
    pub fn new(
        keys: Keys,
        control: flume::Sender<ControlInput>,
        shards: Vec<flume::Sender<ShardEvent>>,
    ) -> Self {
        Self {
            keys,
            control,
            shards,
        }
    }

    /// Serves calls until the task is aborted.
    pub async fn serve(self, listener: std::net::TcpListener) -> Result<()> {
        let step = "serving gRPC";
        listener.set_nonblocking(true).map_err(Error::io(step))?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(Error::io(step))?;
        Server::builder()
            .timeout(CALL_TIMEOUT)
            .add_service(ControlServer::new(self))
            .serve_with_incoming(tokio_stream::wrappers::TcpListenerStream::new(listener))
            .await
            .map_err(|error| Error::failed(step, error))
    }
}

#[tonic::async_trait]
impl Control for Service {
    async fn fetch(
        &self,
        request: Request<FetchRequest>,
    ) -> std::result::Result<Response<FetchResponse>, Status> {
        verify_tag(&self.keys, "Fetch", request.metadata(), request.get_ref())?;
        let hash = <[u8; 16]>::try_from(request.into_inner().hash)
            .map(ContentHash)
            .map_err(|_| Status::invalid_argument("the hash must have 16 bytes"))?;
        let (reply, response) = oneshot::channel();
        let input = ControlInput::ReadValue { hash, reply };
        let queued = self.control.try_send(input);
        queued.map_err(|_| Status::unavailable("the control queue is full"))?;
        let value = response.await.ok().flatten();
        let value = value.ok_or_else(|| Status::not_found(format!("no value with hash {hash}")))?;
        Ok(Response::new(FetchResponse { value }))
    }

    async fn hand_over(
        &self,
        request: Request<HandOverRequest>,
    ) -> std::result::Result<Response<HandOverResponse>, Status> {
        let (metadata, message) = (request.metadata(), request.get_ref());
        verify_tag(&self.keys, "HandOver", metadata, message)?;
        let records: Vec<_> = request
            .into_inner()
            .records
            .into_iter()
            .map(|record| FlowRecord {
                flow: record.flow,
                target: record.target,
                service: record.service,
                idle_ms: record.idle_ms,
            })
            .collect();
        let accepted = records.len() as u32;
        for (shard, records) in group_by_shard(records, self.shards.len()) {
            let sent = self.shards[shard].send_async(ShardEvent::FlowRecords(records));
            sent.await
                .map_err(|_| Status::unavailable("the instance is shutting down"))?;
        }
        Ok(Response::new(HandOverResponse { accepted }))
    }
}
