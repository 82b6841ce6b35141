//! `gladectl get`: what stands, and who changed it.

use {
    super::configuration::{ControlClient, ToolError, control_options},
    bpaf::{Parser, construct, long, positional},
    gullglade_control::{AcceptedChange, ServiceRecord},
    gullglade_units::ServiceName,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// `gladectl get`
#[derive(Debug, Clone)]
pub struct GetCommand {
    history: bool,
    local: bool,
    at: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
    service: Option<ServiceName>,
}

/// The parser of `gladectl get`.
pub(super) fn get_parser() -> impl Parser<GetCommand> {
    let history = long("history").help("Show who changed what, newest first").switch();
    let local = long("local")
        .help("Show what the process at the address has in force, which may be behind")
        .switch();
    let (at, token_file) = control_options();
    let service = positional::<ServiceName>("SERVICE")
        .help("The service; without it all services are listed")
        .optional();
    construct!(GetCommand { history, local, at, token_file, service })
        .to_options()
        .descr("Show the documents that stand, their versions and their history")
        .command("get")
}

impl GetCommand {
    /// Prints a document's text, with its version in a comment line before it, or a list.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.show())
    }

    async fn show(&self) -> Result<(), ToolError> {
        let client = ControlClient::new(self.at.clone(), self.token_file.clone())?;
        match &self.service {
            _ if self.history => self.show_history(&client).await,
            Some(service) => self.show_service(&client, service).await,
            None => {
                let path = format!("/v1/services{}", self.query());
                client.get::<Vec<AcceptedChange>>(&path).await?.iter().for_each(print_change);
                Ok(())
            }
        }
    }

    fn query(&self) -> &'static str {
        if self.local { "?local" } else { "" }
    }

    async fn show_service(
        &self,
        client: &ControlClient,
        service: &ServiceName,
    ) -> Result<(), ToolError> {
        let path = format!("/v1/services/{service}{}", self.query());
        let record: ServiceRecord = client.get(&path).await?;
        // On the error stream, so that the text itself can be redirected into a file.
        eprintln!("# version {}, change {}", record.change.version, record.change.id);
        match &record.text {
            Some(text) => print!("{text}"),
            None => eprintln!("# the service was removed; --base {}", record.change.version),
        }
        Ok(())
    }

    async fn show_history(&self, client: &ControlClient) -> Result<(), ToolError> {
        let path = match &self.service {
            Some(service) => format!("/v1/history?service={service}"),
            None => "/v1/history".to_owned(),
        };
        client.get::<Vec<AcceptedChange>>(&path).await?.iter().for_each(print_change);
        Ok(())
    }
}

fn print_change(change: &AcceptedChange) {
    println!(
        "{} version {} index {} at {} by {} change {}",
        change.service, change.version, change.index.0, change.wall, change.author, change.id
    );
}
