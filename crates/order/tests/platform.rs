//! Tests of orders to the stub engine over HTTP.

use {
    gullglade_backend::FencingMode,
    gullglade_http::{ClientConfig, HttpClient, PooledClient},
    gullglade_order::{
        EngineTarget, FenceNumber, HttpPlatform, OrderAction, PlatformClient, PlatformError,
        PlatformOrder,
    },
    gullglade_stub::{EngineConfig, StubEngine},
    gullglade_units::{
        BackendName, ChangeId, FailureDomain, ModelName, ProcessContext, RegionName,
    },
    monoio::{LegacyDriver, RuntimeBuilder},
    std::{net::SocketAddr, rc::Rc},
};

fn order(id: &str, fence: u64, model: &str) -> PlatformOrder {
    PlatformOrder {
        id: ChangeId::try_from(id.to_owned()).unwrap(),
        fence: FenceNumber(fence),
        action: OrderAction::LoadModel {
            model: ModelName::try_from(model).unwrap(),
            version: None,
            bytes: 0,
        },
    }
}

fn engine(fencing: FencingMode, address: SocketAddr) -> EngineTarget {
    EngineTarget { backend: BackendName::try_from("engine-1").unwrap(), address, fencing }
}

fn config(fencing: FencingMode) -> EngineConfig {
    let mut config = EngineConfig::new(
        BackendName::try_from("engine-1").unwrap(),
        RegionName::try_from("puget").unwrap(),
        FailureDomain::try_from("one").unwrap(),
        ModelName::try_from("ballast").unwrap(),
    );
    config.fencing = fencing;
    config
}

#[test]
fn engine_takes_an_order_once_and_refuses_a_stale_number_if_it_checks() {
    // Guards against different interpretations of an answer by dispatcher and engine. Covers an
    // order, its resend, an order under an older number, and an order to an engine that has
    // stopped.
    struct Case {
        fencing: FencingMode,
        stale_order_is_taken: bool,
    }
    let cases = [
        Case { fencing: FencingMode::Checks, stale_order_is_taken: false },
        Case { fencing: FencingMode::Ignores, stale_order_is_taken: true },
    ];
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let context = ProcessContext::system();
        let client = PooledClient::new(ClientConfig::default(), context.clone());
        let platform = HttpPlatform::new(Rc::new(client) as Rc<dyn HttpClient>);
        for case in cases {
            let stub = StubEngine::start(config(case.fencing), context.clone()).unwrap();
            let target = engine(case.fencing, stub.address());
            let first = order("order-1", 7, "new");
            platform.send(&target, &first).await.unwrap();
            platform.send(&target, &first).await.unwrap();
            let old = platform.send(&target, &order("order-2", 6, "old")).await;
            let refused = matches!(old, Err(PlatformError::StaleFence { .. }));
            assert_eq!(
                (old.is_ok(), refused),
                (case.stale_order_is_taken, !case.stale_order_is_taken)
            );
            let orders = platform.orders(&target).await.unwrap();
            let expected = if case.stale_order_is_taken {
                vec!["order-1", "order-2"]
            } else {
                vec!["order-1"]
            };
            let taken: Vec<&str> = orders.taken.iter().map(ChangeId::as_str).collect();
            assert_eq!((orders.fence, taken), (FenceNumber(7), expected));
        }
        let stub = StubEngine::start(config(FencingMode::Checks), context.clone()).unwrap();
        let target = engine(FencingMode::Checks, stub.address());
        stub.kill();
        let gone = platform.send(&target, &order("order-3", 8, "new")).await.unwrap_err();
        assert!(matches!(gone, PlatformError::Unreachable { .. }), "{gone}");
    });
}
