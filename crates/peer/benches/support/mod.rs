//! Helpers of the benchmark and the example: a handler, a server and a pool.

use {
    bytes::Bytes,
    gullglade_peer::{
        HandlerTable, PeerConfig, PeerFault, PeerHandler, PeerIdentity, PeerPool, PeerReplySink,
        PeerSecret, PeerServer,
    },
    gullglade_units::{
        ClusterName, FailureDomain, Incarnation, LocalFuture, ProcessContext, RegionName, VmName,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Body size in bytes, typical of a small call or the event of one token.
pub(crate) const BODY: usize = 200;

/// Call time limit, longer than any call takes.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

/// Echoes calls. `test.messages` streams as many messages as the body says, a little-endian `u64`;
/// `test.wait` streams one message and never ends.
struct CostHandler;

impl PeerHandler for CostHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        _method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(std::future::ready(Ok(body)))
    }

    fn stream<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
        mut reply: PeerReplySink,
    ) -> LocalFuture<'a, Result<(), PeerFault>> {
        Box::pin(async move {
            let message = Bytes::from(vec![1; BODY]);
            if method == "test.wait" {
                reply.send(message).await?;
                return std::future::pending().await;
            }
            let count = u64::from_le_bytes(body[..].try_into().map_err(PeerFault::malformed)?);
            for _ in 0..count {
                reply.send(message.clone()).await?;
            }
            Ok(())
        })
    }
}

fn config(vm: &str) -> PeerConfig {
    let identity = PeerIdentity {
        vm: VmName::try_from(vm).unwrap(),
        region: RegionName::try_from("puget").unwrap(),
        domain: FailureDomain::try_from("puget-a").unwrap(),
        incarnation: Incarnation(1),
    };
    let cluster = ClusterName::try_from("cost").unwrap();
    PeerConfig::new(identity, cluster, PeerSecret::try_from("a secret for benches").unwrap())
}

/// Creates an empty pool.
pub(crate) fn pool() -> PeerPool {
    PeerPool::new(config("a"), ProcessContext::system(), Rc::default())
}

/// Starts a server on a free loopback port and returns its address.
pub(crate) fn serve() -> SocketAddr {
    let handlers = Rc::new(HandlerTable::new());
    handlers.register("test", Rc::new(CostHandler));
    let any = "127.0.0.1:0".parse().unwrap();
    let context = ProcessContext::system();
    let server = PeerServer::bind(any, config("b"), context, Rc::default(), handlers).unwrap();
    let address = server.local_addr();
    monoio::spawn(server.run());
    address
}
