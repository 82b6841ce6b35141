//! Orders to the stand-in engine over real HTTP.

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
fn an_engine_takes_an_order_once_and_refuses_an_old_number_if_it_checks() {
    // Symptom: the desk and real engines disagree on what an answer means. Events: an order, the
    // same again, one under an older number, one to an engine that is gone. Cause: both sides of
    // the HTTP face are written from the same idea only if a test says so.
    struct Case {
        fencing: FencingMode,
        old_is_taken: bool,
    }
    let cases = [
        Case { fencing: FencingMode::Checks, old_is_taken: false },
        Case { fencing: FencingMode::Ignores, old_is_taken: true },
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
            assert_eq!((old.is_ok(), refused), (case.old_is_taken, !case.old_is_taken));
            let orders = platform.orders(&target).await.unwrap();
            let expected =
                if case.old_is_taken { vec!["order-1", "order-2"] } else { vec!["order-1"] };
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
