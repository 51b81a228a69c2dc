//! Transfers between instances that must arrive whole: values by hash and flow records.

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

const TAG_HEADER: &str = "pollenpin-tag-bin";
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
        false => Err(Status::unauthenticated("the tag is missing or wrong")),
    }
}

/// Calls peers.
#[derive(Debug, Clone)]
pub struct Client {
    name: String,
    keys: Keys,
}

impl Client {
    /// Creates a client; connections are made per call, since calls are rare.
    pub fn new(name: String, keys: Keys) -> Self {
        Self { name, keys }
    }

    /// Fetches a value; `None` when the peer does not hold it.
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

    /// Hands flow records to a peer and returns how many it took.
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
            .map_err(|status| Error::failed(format!("handing over to {address}"), status))
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

/// Answers peers.
#[derive(Debug)]
pub struct Service {
    keys: Keys,
    control: flume::Sender<ControlInput>,
    shards: Vec<flume::Sender<ShardEvent>>,
}

impl Service {
    /// Creates a service that asks the control part and feeds the shards.
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

    /// Serves until the process ends.
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
            .map_err(|_| Status::invalid_argument("a hash has 16 bytes"))?;
        let (reply, response) = oneshot::channel();
        let input = ControlInput::ReadValue { hash, reply };
        let queued = self.control.try_send(input);
        queued.map_err(|_| Status::unavailable("the control queue is full"))?;
        let value = response.await.ok().flatten();
        let value = value.ok_or_else(|| Status::not_found(format!("no value {hash}")))?;
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
                .map_err(|_| Status::unavailable("the instance is ending"))?;
        }
        Ok(Response::new(HandOverResponse { accepted }))
    }
}
