//! `gladectl stub-service`: a stand-in plain service in a process of its own.

use {
    super::stub::{
        StartSnafu, StubCommandError, StubOptions, print_start, run_stub, stub_options,
        wait_for_signal,
    },
    bpaf::{Parser, construct, long},
    gullglade_stub::{ServiceConfig, StubService},
    gullglade_units::{ProcessContext, ServiceName},
    snafu::ResultExt,
    std::{process::ExitCode, time::Duration},
};

/// `gladectl stub-service`
#[derive(Debug, Clone)]
pub struct StubServiceCommand {
    options: StubOptions,
    services: Vec<ServiceName>,
    slots: usize,
    service_time: Duration,
}

/// The parser of `gladectl stub-service`.
pub(super) fn stub_service_parser() -> impl Parser<StubServiceCommand> {
    let options = stub_options();
    let services = long("service")
        .help("Service it serves; may be repeated")
        .argument::<ServiceName>("SERVICE")
        .some("a plain service needs at least one --service");
    let slots = long("slots")
        .help("Requests it works on at once")
        .argument::<usize>("COUNT")
        .guard(|slots| *slots > 0, "--slots must be at least 1")
        .fallback(8)
        .display_fallback();
    let service_time = long("service-time-ms")
        .help("Milliseconds that one request takes")
        .argument::<u64>("MS")
        .fallback(5)
        .display_fallback()
        .map(Duration::from_millis);
    construct!(StubServiceCommand { options, services, slots, service_time })
        .to_options()
        .descr("Run a stand-in plain service, an order book, until SIGINT or SIGTERM")
        .command("stub-service")
}

impl StubServiceCommand {
    /// Runs the service until a signal; requests in progress are finished.
    pub fn run(self) -> ExitCode {
        run_stub(self.serve())
    }

    async fn serve(self) -> Result<(), StubCommandError> {
        let service = StubService::start(self.config()?, ProcessContext::system());
        let service = service.context(StartSnafu)?;
        print_start(service.name(), "service", service.address());
        wait_for_signal().await?;
        service.leave().await;
        Ok(())
    }

    fn config(self) -> Result<ServiceConfig, StubCommandError> {
        let token = self.options.token()?;
        let StubOptions { name, region, domain, listen, gateways, leave_grace, .. } = self.options;
        Ok(ServiceConfig {
            name,
            region,
            domain,
            services: self.services,
            listen,
            slots: self.slots,
            service_time: self.service_time,
            incarnation: None,
            gateways,
            token,
            leave_grace,
            fault: Default::default(),
        })
    }
}
