//! `gladectl held`: requests and prompt parts that are held back because backend servers ended
//! under them.

use {
    super::{
        configuration::{ToolError, addresses_option},
        operator::{OperatorClient, token_option},
    },
    bpaf::{Parser, construct, long},
    bytes::Bytes,
    gullglade_node::HeldRow,
    http::Method,
    std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, process::ExitCode},
};

/// Where control processes serve the list.
const PATH: &str = "/v1/held";

/// `gladectl held`
#[derive(Debug, Clone)]
pub struct HeldCommand {
    let_go: Option<String>,
    at: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

/// The parser of `gladectl held`.
pub(super) fn held_parser() -> impl Parser<HeldCommand> {
    let let_go = long("let-go")
        .help(
            "Send this request or prompt part again: what ended under it until now counts no more",
        )
        .argument::<String>("FINGERPRINT")
        .optional();
    let at = addresses_option("Control addresses of some control processes");
    let token_file = token_option();
    construct!(HeldCommand { let_go, at, token_file })
        .to_options()
        .descr("List the requests and prompt parts that are held back")
        .command("held")
}

impl HeldCommand {
    /// Lists them, or lets one go.
    pub fn run(self) -> ExitCode {
        super::configuration::run(self.ask())
    }

    async fn ask(&self) -> Result<(), ToolError> {
        let client = OperatorClient::new(self.token_file.clone())?;
        match &self.let_go {
            Some(fingerprint) => self.let_go(&client, fingerprint).await,
            None => self.list(&client).await,
        }
    }

    /// Each control process counts by itself; the list is what any of them holds back.
    async fn list(&self, client: &OperatorClient) -> Result<(), ToolError> {
        let mut rows = BTreeMap::new();
        for address in &self.at {
            let body = client.get(*address, PATH).await?;
            let told: Vec<HeldRow> = serde_json::from_slice(&body).map_err(|e| {
                let hint = "is it a control address, and gladectl the same version?";
                ToolError::new(format!("the reply of {address} is not understood: {e}; {hint}"))
            })?;
            rows.extend(told.into_iter().map(|row| (row.fingerprint.clone(), row)));
        }
        for HeldRow { fingerprint, ends, left_ms } in rows.into_values() {
            println!("{fingerprint} ended {ends} backend servers, held for {} s", left_ms / 1_000);
        }
        Ok(())
    }

    /// Tells each of them; one that knows nothing of it need not let go.
    async fn let_go(&self, client: &OperatorClient, fingerprint: &str) -> Result<(), ToolError> {
        let path = format!("{PATH}/{fingerprint}");
        let mut refusal = None;
        let mut count = 0;
        for address in &self.at {
            match client.call(*address, Method::DELETE, &path, Bytes::new()).await {
                Ok(_) => count += 1,
                Err(error) => refusal = Some(error),
            }
        }
        if count == 0 {
            let nobody = || ToolError::new("--at names nobody".to_owned());
            return Err(refusal.map_or_else(nobody, Into::into));
        }
        println!("{fingerprint}: let go by {count} of {} control processes", self.at.len());
        Ok(())
    }
}
